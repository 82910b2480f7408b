package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	// blockBytes is the length of the text of a block in the prefix cache of engines.
	blockBytes = 1024
	// maxSpillReportAge is the age up to which a report of an engine of another failure
	// domain is trusted.
	maxSpillReportAge = time.Second
)

// Grant is the permission to run a prompt at an engine. Done must be called once.
type Grant struct {
	placer  *Placer
	waiter  *waiter
	engine  *fleet.Engine
	lease   *group.Lease // nil for a single engine
	release func()       // releases the slot; may be called again
}

// Outcome is the result of running a granted prompt.
type Outcome struct {
	Err   error         // nil if the answer is complete
	Usage *engine.Usage // nil if the engine reported none
}

// acquire makes a grant of the engines that a request was assigned: it holds the memory
// of a group or takes the slot for a long prompt. If that fails, the request waits again,
// and both the grant and the error are nil.
func (p *Placer) acquire(ctx context.Context, w *waiter) (*Grant, error) {
	g := &Grant{placer: p, waiter: w, release: func() {}}
	w.attempts++
	p.mu.Lock()
	members := w.ticket.Members()
	g.engine = w.pool.engines[members[0]]
	p.mu.Unlock()
	failedMember, err := "", p.confirm(ctx, w, members)
	switch {
	case err != nil:
	case w.ticket.Grouped():
		g.lease, err = group.Acquire(ctx, fmt.Sprintf("%s-%d", w.prompt.ID, w.attempts), members, w.ticket.Share(), p.calls(w))
		if m := (*group.MemberError)(nil); errors.As(err, &m) && engineFailed(ctx, err) {
			failedMember = m.Upstream()
		}
	case w.ticket.Class().Big() && p.seams.Slot != nil:
		var release func()
		if release, err = p.seams.Slot(ctx, members[0], w.ticket.Share()); err == nil {
			g.release = sync.OnceFunc(release)
		}
	}
	if err == nil {
		return g, nil
	}
	p.log.Debug("Could not acquire the engines; the request waits again.", "request", w.prompt.ID, "engines", members, "err", err)
	p.metrics.Counter("holds_failed").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pool.HoldFailed(w.ticket, failedMember)
	p.scheduleTick()
	return nil, nil
}

// confirm asks chosen engines of other failure domains whether they accept new work: the
// entries that poll them pass reports on in time only within their own domain.
func (p *Placer) confirm(ctx context.Context, w *waiter, members []string) error {
	for _, name := range members {
		p.mu.Lock()
		e := w.pool.engines[name]
		p.mu.Unlock()
		if e.Upstream().Spec().FailureDomain == p.domain {
			continue
		}
		if err := e.Confirm(ctx, maxSpillReportAge); err != nil {
			return err
		}
	}
	return nil
}

// calls returns the calls to the engines of the waiter's pool.
func (p *Placer) calls(w *waiter) group.Calls {
	client := func(upstream string) *engine.Client {
		p.mu.Lock()
		defer p.mu.Unlock()
		return w.pool.engines[upstream].Client()
	}
	return group.Calls{
		Hold: func(ctx context.Context, upstream, hold string, tokens int, ttl time.Duration) error {
			return client(upstream).Hold(ctx, engine.HoldRequest{Hold: hold, Owner: p.owner, Tokens: tokens, TTL: ttl})
		},
		Renew: func(ctx context.Context, upstream, hold string, ttl time.Duration) error {
			return client(upstream).Renew(ctx, hold, ttl)
		},
		Release: func(ctx context.Context, upstream, hold string) error { return client(upstream).Release(ctx, hold) },
		Refused: func(err error) bool { return fault.Is(err, engine.KindRefused) },
	}
}

// engineFailed reports whether an error is a failure of the engine rather than a
// refusal or a cancellation by the caller.
func engineFailed(ctx context.Context, err error) bool {
	return (fault.Is(err, engine.KindUnsent) || fault.Is(err, engine.KindLost)) && ctx.Err() == nil
}

// Engine returns the client of the engine at which to open the stream.
func (g *Grant) Engine() *engine.Client { return g.engine.Client() }

// Request returns the request to the engine for the given stream id.
func (g *Grant) Request(stream string) engine.Request {
	prompt := g.waiter.prompt
	r := engine.Request{
		Stream:    stream,
		Owner:     g.placer.owner,
		Model:     prompt.Deployment.Spec().Model,
		Prompt:    prompt.Text,
		MaxTokens: prompt.MaxTokens,
		Priority:  g.waiter.ticket.Priority(),
		Seed:      prompt.Seed,
	}
	if g.lease != nil {
		r.Hold, r.Group = g.lease.Hold(0), g.lease.Size()
	}
	return r
}

// FirstToken records the first token, which ends the prefill. It releases the slot.
func (g *Grant) FirstToken() {
	g.release()
	p := g.placer
	if p.seams.Ran != nil && g.lease == nil {
		p.seams.Ran(g.engine.Client().Name(), g.waiter.blocks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g.waiter.pool.FirstToken(g.waiter.ticket)
	g.waiter.pool.Dispatch()
}

// Done ends the grant, releases its slot and holds, and records the outcome.
func (g *Grant) Done(out Outcome) {
	g.release()
	if g.lease != nil {
		g.lease.Close()
		if n := g.lease.Lapsed(); n > 0 {
			g.placer.log.Warn("Holds of the group expired while the request ran.", "request", g.waiter.prompt.ID, "lapsed", n)
		}
	}
	prompt := g.waiter.prompt
	o := scheduler.Outcome{Answered: out.Err == nil, Failed: g.failed(out.Err)}
	if out.Usage != nil {
		o.Tokens = out.Usage.CompletionTokens
		g.placer.sizes.Learn(prompt.Deployment.Name(), prompt.Workspace, prompt.Text, out.Usage.PromptTokens, o.Tokens)
	}
	g.placer.end(g.waiter, o)
}

// failed reports whether an error is a failure of the engine: not if the caller gave up
// or the deadline has passed.
func (g *Grant) failed(err error) bool {
	lost := fault.Is(err, engine.KindUnsent) || fault.Is(err, engine.KindLost) || fault.Is(err, engine.KindBadPiece)
	return lost && !errors.Is(err, context.Canceled) && time.Now().Before(g.waiter.prompt.Deadline)
}

// blocks returns the hash of each complete block of a text. Each hash is seeded with the one
// before it, as in the hashes that engines publish.
func blocks(text string) []uint64 {
	out := make([]uint64, 0, len(text)/blockBytes)
	var prev uint64
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		prev = xxh3.HashStringSeed(text[:blockBytes], prev)
		out = append(out, prev)
	}
	return out
}
