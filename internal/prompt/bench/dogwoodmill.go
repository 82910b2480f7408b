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
	queueCount     = 4096
	queueBytes     = 512 << 20
	deploymentName = "assistant"
)

// schedulerPolicy runs the scheduler package as the policy of an entry.
type schedulerPolicy struct {
	sim     *sim
	entry   int
	pool    *scheduler.Pool
	engines []*model.Engine
	index   map[string]int
	sizes   *size.Estimator
	tickets map[*request]*scheduler.Ticket
	tried   map[*request]map[string]bool // engines that failed to take a request
}

func newSchedulerPolicy(s *sim, entry int) policy {
	r := rand.New(rand.NewPCG(s.res.sc.seed, uint64(entry)))
	p := &schedulerPolicy{
		sim: s, entry: entry, index: map[string]int{}, sizes: size.New(),
		tickets: map[*request]*scheduler.Ticket{}, tried: map[*request]map[string]bool{},
	}
	p.pool = scheduler.New(scheduler.Settings{
		Domain: domainName(s.domainOf(entry)), Now: p.clock, Rand: r.IntN,
		Entries: func() int { return len(s.entries) },
		Cached:  p.cachedBlocks,
	}, scheduler.Shared{
		Bounds: queue.NewBounds(queueCount, queueBytes), Retries: retry.New(), Running: rule.NewCounter(),
	})
	for _, e := range s.engines {
		name := fmt.Sprintf("engine-%02d", e.id)
		p.index[name] = e.id
		p.engines = append(p.engines, model.NewEngine(name, domainName(e.domain), engineMemory, prefillRate, circuit.New(r.Float64)))
	}
	p.pool.SetEngines(p.engines)
	return p
}

// cachedBlocks returns how many of the blocks an engine has cached according to its hints.
// The first block identifies the prefix.
func (p *schedulerPolicy) cachedBlocks(upstream string, blocks []uint64) int {
	if p.sim.hints[p.index[upstream]][int(blocks[0])] {
		return len(blocks)
	}
	return 0
}

// blocksOf returns the blocks of the shared prefix of a request, or nil.
func blocksOf(r *request) []uint64 {
	if r.prefix == 0 {
		return nil
	}
	out := make([]uint64, r.prefixTokens/blockTokens)
	out[0] = uint64(r.prefix)
	return out
}

func domainName(i int) string { return string(rune('a' + i)) }

func (p *schedulerPolicy) clock() time.Time { return timeAt(p.sim.now) }

func timeAt(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (p *schedulerPolicy) arrive(r *request) { p.submit(r) }

func (p *schedulerPolicy) submit(r *request) {
	workspace := fmt.Sprintf("workspace-%d", r.workspace)
	var t *scheduler.Ticket
	t, err := p.pool.Submit(scheduler.Job{
		ID: fmt.Sprint(r.id), Workspace: workspace, Tokens: r.prompt, MaxTokens: r.maxTokens,
		Output: p.sizes.Output(workspace, r.maxTokens), Bytes: r.prompt * 4,
		Blocks: blocksOf(r), Deadline: timeAt(r.deadline()), Tried: p.tried[r],
		Notify: func() { p.decided(r) },
	})
	if err != nil {
		p.sim.refuse(r)
		return
	}
	p.tickets[r] = t
	if t.Placed() {
		p.decided(r)
	}
}

// decided sends a request whose ticket is placed, or refuses it.
func (p *schedulerPolicy) decided(r *request) {
	t := p.tickets[r]
	if t.Err() != nil {
		delete(p.tickets, r)
		p.sim.refuse(r)
		return
	}
	var members []int
	for _, name := range t.Members() {
		members = append(members, p.index[name])
	}
	p.sim.send(r, members, t.Priority())
}

func (p *schedulerPolicy) report(engine int, l load) {
	e := p.engines[engine]
	rep := model.Report{
		At: timeAt(l.at), Running: l.running, Queued: l.queued, PrefillTokens: l.prefillTokens,
		MemoryUsed: l.memoryUsed, MemoryTotal: engineMemory,
	}
	if l.down {
		rep.Failures = maxAttempts
	}
	e.Report(rep)
}

func (p *schedulerPolicy) firstToken(r *request) { p.pool.FirstToken(p.tickets[r]) }

func (p *schedulerPolicy) ended(r *request, why reason) {
	t := p.tickets[r]
	if why == reasonNotStarted && t.Grouped() {
		p.pool.HoldFailed(t, "")
		return
	}
	delete(p.tickets, r)
	p.pool.Done(t, scheduler.Outcome{
		Answered: why == reasonDone, Failed: why == reasonLost || why == reasonNotStarted, Tokens: r.produced,
	})
	switch why {
	case reasonDone:
		p.sizes.Learn(deploymentName, fmt.Sprintf("workspace-%d", r.workspace), "", 0, r.produced)
	case reasonNotStarted:
		p.retry(r, t)
	case reasonTimeout, reasonLost:
	}
	p.pool.Dispatch()
}

func (p *schedulerPolicy) retry(r *request, t *scheduler.Ticket) {
	if r.attempts >= maxAttempts {
		p.sim.refuse(r)
		return
	}
	if p.tried[r] == nil {
		p.tried[r] = map[string]bool{}
	}
	p.tried[r][t.Members()[0]] = true
	p.submit(r)
}

func (p *schedulerPolicy) leave(r *request) {
	if t := p.tickets[r]; t != nil {
		delete(p.tickets, r)
		p.pool.Done(t, scheduler.Outcome{})
	}
}

func (p *schedulerPolicy) tick() { p.pool.Dispatch() }
