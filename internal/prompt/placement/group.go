package placement

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	holdTTL        = 15 * time.Second
	holdRenewEvery = holdTTL / 3
	holdRetry      = 500 * time.Millisecond
	releaseTimeout = 2 * time.Second
	// groupMargin is the share of an engine's memory that a group may take.
	groupMargin = 0.95
)

// group is memory held at several engines for one prompt.
type group struct {
	id      string
	members []*fleet.Engine // the first leads
	stop    context.CancelFunc
	done    chan struct{}
}

func (g *group) leader() string { return g.hold(0) }

func (g *group) size() int { return len(g.members) }

func (g *group) hold(i int) string { return fmt.Sprintf("%s.%d", g.id, i) }

// placeGroup holds engines of one failure domain, all or none, in the order of
// their names, which is the same at every entry: two entries can't deadlock.
func (p *Placer) placeGroup(ctx context.Context, pr Prompt, engines []*fleet.Engine) (*Grant, error) {
	sets := p.groups(pr, engines)
	if len(sets) == 0 {
		return nil, fail("place", KindTooLarge, fmt.Errorf("%d tokens fit no group of engines", pr.Tokens+pr.MaxTokens))
	}
	ctx, cancel := context.WithDeadline(ctx, pr.Deadline)
	defer cancel()
	for {
		for _, set := range sets {
			g, err := p.holdAll(ctx, pr, set)
			if err == nil {
				return p.grant(pr, set[0], g), nil
			}
			if !fault.Is(err, engine.KindRefused) {
				p.log.Warn("An engine can't be held.", "err", err)
			}
		}
		select {
		case <-time.After(holdRetry/2 + rand.N(holdRetry)):
		case <-ctx.Done():
			return nil, fail("hold", KindBusy, ctx.Err())
		}
	}
}

// groups returns for each failure domain the smallest group that holds the
// prompt, the own domain's first.
func (p *Placer) groups(pr Prompt, engines []*fleet.Engine) [][]*fleet.Engine {
	byDomain := map[string][]*fleet.Engine{}
	for _, e := range engines {
		d := e.Upstream().Spec().FailureDomain
		byDomain[d] = append(byDomain[d], e)
	}
	var sets [][]*fleet.Engine
	for _, list := range byDomain {
		if set := smallestGroup(list, pr.Tokens+pr.MaxTokens); set != nil {
			sets = append(sets, set)
		}
	}
	slices.SortFunc(sets, func(a, b []*fleet.Engine) int {
		return cmp.Or(cmp.Compare(p.distance(a[0]), p.distance(b[0])),
			strings.Compare(a[0].Client().Name(), b[0].Client().Name()))
	})
	return sets
}

func smallestGroup(list []*fleet.Engine, need int) []*fleet.Engine {
	for n := 2; n <= len(list); n++ {
		share := share(need, n)
		fits := slices.DeleteFunc(slices.Clone(list), func(e *fleet.Engine) bool {
			return float64(share) > groupMargin*float64(memory(e))
		})
		if len(fits) >= n {
			return fits[:n]
		}
	}
	return nil
}

func share(need, n int) int { return (need + n - 1) / n }

func (p *Placer) holdAll(ctx context.Context, pr Prompt, set []*fleet.Engine) (*group, error) {
	run, stop := context.WithCancel(context.Background())
	g := &group{id: pr.ID, members: set, stop: stop, done: make(chan struct{})}
	for i, e := range set {
		err := e.Client().Hold(ctx, engine.HoldRequest{
			Hold: g.hold(i), Owner: p.owner, Tokens: share(pr.Tokens+pr.MaxTokens, len(set)), TTL: holdTTL,
		})
		if err != nil {
			stop()
			g.release(i + 1) // the one that failed too: its answer may be lost
			return nil, err
		}
	}
	go g.renew(run)
	return g, nil
}

// renew keeps the holds of the members while the stream runs. The leader's hold
// becomes the stream's memory.
func (g *group) renew(ctx context.Context) {
	defer close(g.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(holdRenewEvery):
		}
		for i := 1; i < len(g.members); i++ {
			_ = g.members[i].Client().Renew(ctx, g.hold(i), holdTTL) // the next round tries again
		}
	}
}

func (g *group) close() {
	g.stop()
	<-g.done
	g.release(len(g.members))
}

// release gives back the first n holds. One that can't be reached ends by its time limit.
func (g *group) release(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for i := range n {
		_ = g.members[i].Client().Release(ctx, g.hold(i)) // its time limit ends it otherwise
	}
}
