package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/rule"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/size"
)

const (
	queueCount = 4096
	queueBytes = 512 << 20
	deployed   = "assistant"
)

// ours is the decision code of an entry of dogwoodmill.
type ours struct {
	sim     *sim
	entry   int
	pool    *scheduler.Pool
	engines []*model.Engine
	index   map[string]int
	sizes   *size.Estimator
	tickets map[*request]*scheduler.Ticket
	tried   map[*request]map[string]bool
}

func newOurs(s *sim, entry int) policy {
	r := rand.New(rand.NewPCG(s.res.sc.seed, uint64(entry)))
	o := &ours{
		sim: s, entry: entry, index: map[string]int{}, sizes: size.New(),
		tickets: map[*request]*scheduler.Ticket{}, tried: map[*request]map[string]bool{},
	}
	o.pool = scheduler.New(scheduler.Settings{
		Domain: domainName(s.domainOf(entry)), Now: o.clock, Rand: r.IntN,
		Entries: func() int { return len(s.entries) },
		Cached:  o.cached,
	}, scheduler.Shared{
		Bounds: queue.NewBounds(queueCount, queueBytes), Retries: retry.New(), Running: rule.NewCounter(),
	})
	for _, e := range s.engines {
		name := fmt.Sprintf("engine-%02d", e.id)
		o.index[name] = e.id
		o.engines = append(o.engines, model.NewEngine(name, domainName(e.domain), engineMemory, prefillRate, circuit.New(r.Float64)))
	}
	o.pool.SetEngines(o.engines)
	return o
}

// cached returns the blocks of a prefix that an engine told to have. The first
// block names the prefix.
func (o *ours) cached(upstream string, blocks []uint64) int {
	if o.sim.hints[o.index[upstream]][int(blocks[0])] {
		return len(blocks)
	}
	return 0
}

// blocksOf returns the blocks of the prefix that a request shares with others.
func blocksOf(r *request) []uint64 {
	if r.prefix == 0 {
		return nil
	}
	out := make([]uint64, r.prefixTokens/blockTokens)
	out[0] = uint64(r.prefix)
	return out
}

func domainName(i int) string { return string(rune('a' + i)) }

func (o *ours) clock() time.Time { return at(o.sim.now) }

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (o *ours) arrive(r *request) { o.submit(r) }

func (o *ours) submit(r *request) {
	workspace := fmt.Sprintf("workspace-%d", r.workspace)
	var t *scheduler.Ticket
	t, err := o.pool.Submit(scheduler.Job{
		ID: fmt.Sprint(r.id), Workspace: workspace, Tokens: r.prompt, MaxTokens: r.maxTokens,
		Output: o.sizes.Output(workspace, r.maxTokens), Bytes: r.prompt * 4,
		Blocks: blocksOf(r), Deadline: at(r.deadline()), Tried: o.tried[r],
		Notify: func() { o.settled(r) },
	})
	if err != nil {
		o.sim.refuse(r)
		return
	}
	o.tickets[r] = t
	if t.Placed() {
		o.settled(r)
	}
}

// settled sends or refuses a request that waits no more.
func (o *ours) settled(r *request) {
	t := o.tickets[r]
	if t.Err() != nil {
		delete(o.tickets, r)
		o.sim.refuse(r)
		return
	}
	var members []int
	for _, name := range t.Members() {
		members = append(members, o.index[name])
	}
	o.sim.send(r, members, t.Priority())
}

func (o *ours) report(engine int, l load) {
	e := o.engines[engine]
	rep := model.Report{
		At: at(l.at), Running: l.running, Queued: l.queued, PrefillTokens: l.prefillTokens,
		MemoryUsed: l.memoryUsed, MemoryTotal: engineMemory,
	}
	if l.dead {
		rep.Failures = maxAttempts
	}
	e.Report(rep)
}

func (o *ours) first(r *request) { o.pool.FirstToken(o.tickets[r]) }

func (o *ours) ended(r *request, why reason) {
	t := o.tickets[r]
	if why == reasonUnsent && t.Grouped() {
		o.pool.HoldFailed(t, "")
		return
	}
	delete(o.tickets, r)
	o.pool.Done(t, scheduler.Outcome{
		Answered: why == reasonDone, Failed: why == reasonLost || why == reasonUnsent, Tokens: r.produced,
	})
	switch why {
	case reasonDone:
		o.sizes.Learn(deployed, fmt.Sprintf("workspace-%d", r.workspace), "", 0, r.produced)
	case reasonUnsent:
		o.retry(r, t)
	case reasonCut, reasonLost:
	}
	o.pool.Dispatch()
}

func (o *ours) retry(r *request, t *scheduler.Ticket) {
	if r.attempts >= maxAttempts {
		o.sim.refuse(r)
		return
	}
	if o.tried[r] == nil {
		o.tried[r] = map[string]bool{}
	}
	o.tried[r][t.Members()[0]] = true
	o.submit(r)
}

func (o *ours) leave(r *request) {
	if t := o.tickets[r]; t != nil {
		delete(o.tickets, r)
		o.pool.Done(t, scheduler.Outcome{})
	}
}

func (o *ours) tick() { o.pool.Dispatch() }
