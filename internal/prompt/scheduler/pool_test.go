package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/rule"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
)

const (
	memory = 400_000
	rate   = 20_000
)

// fixture is a pool with engines and a manual clock.
type fixture struct {
	*scheduler.Pool
	now     time.Time
	engines []*model.Engine
	bounds  *queue.Bounds
	jobs    int
}

// newFixture returns a pool for an entry in failure domain a. The engines are spread over
// the failure domains a, b and c, and at most queued requests can wait.
func newFixture(engines, queued int) *fixture {
	f := &fixture{now: time.Unix(1_000, 0), bounds: queue.NewBounds(queued, 1<<30)}
	f.Pool = scheduler.New(scheduler.Settings{
		Domain: "a", Now: func() time.Time { return f.now }, Rand: func(int) int { return 0 },
	}, scheduler.Shared{Bounds: f.bounds, Retries: retry.New(), Running: rule.NewCounter()})
	for i := range engines {
		e := model.NewEngine(fmt.Sprintf("engine-%d", i+1), string("abc"[i%3]), memory, rate, circuit.New(func() float64 { return 1 }))
		f.engines = append(f.engines, e)
	}
	f.SetEngines(f.engines)
	return f
}

func (f *fixture) job(workspace string, tokens int, patience time.Duration) scheduler.Job {
	f.jobs++
	return scheduler.Job{
		ID: fmt.Sprint(f.jobs), Workspace: workspace, Tokens: tokens, MaxTokens: 100,
		Bytes: tokens, Deadline: f.now.Add(patience),
	}
}

// fill makes every engine report a backlog and used memory of other entries, in tokens.
func (f *fixture) fill(prefill, used int) {
	for _, e := range f.engines {
		e.Report(model.Report{At: f.now, Running: 1, PrefillTokens: prefill, MemoryUsed: used})
	}
}

func TestPrefersLocalFailureDomain(t *testing.T) {
	is := is.New(t)
	f := newFixture(6, 10)
	for range 2 {
		tk, err := f.Submit(f.job("guild", 1_000, time.Minute))
		is.NoErr(err)
		is.True(tk.Placed())
		is.True(tk.Members()[0] == "engine-1" || tk.Members()[0] == "engine-4")
	}
	for _, i := range []int{0, 3} {
		f.engines[i].Report(model.Report{At: f.now, Running: 9, PrefillTokens: 8_000})
	}
	tk, err := f.Submit(f.job("guild", 1_000, time.Minute))
	is.NoErr(err)
	is.True(tk.Members()[0] != "engine-1" && tk.Members()[0] != "engine-4") // the shorter wait outweighs remoteDomainPenalty
	is.Equal(f.Counts().Spilled, 1)
}

func TestShortPromptNotDelayedByLongPrefill(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	long, err := f.Submit(f.job("guild", 200_000, 2*time.Minute))
	is.NoErr(err)
	is.True(long.Placed())
	second, err := f.Submit(f.job("guild", 150_000, 2*time.Minute))
	is.NoErr(err)
	is.True(!second.Placed()) // one big prefill at a time
	short, err := f.Submit(f.job("guild", 1_000, 20*time.Second))
	is.NoErr(err)
	is.True(short.Placed())
	is.True(short.Priority() > long.Priority())

	f.now = f.now.Add(12 * time.Second)
	f.FirstToken(long)
	f.fill(0, 200_100)
	f.Dispatch()
	is.True(second.Placed())
}

func TestReservesMemoryForShortPrompts(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	f.fill(0, 240_000)
	big, err := f.Submit(f.job("guild", 120_000, 2*time.Minute)) // would leave 10% of the memory, less than the reserve
	is.NoErr(err)
	is.True(!big.Placed())
	short, err := f.Submit(f.job("guild", 3_000, time.Minute))
	is.NoErr(err)
	is.True(short.Placed())
}

func TestRefusesImmediately(t *testing.T) {
	f := newFixture(3, 2)
	leaving := newFixture(1, 2)
	leaving.engines[0].Report(model.Report{At: leaving.now, Leaving: true})
	busy := newFixture(1, 100)
	busy.fill(40_000, 0)
	for range 20 {
		_, _ = busy.Submit(busy.job("guild", 30_000, 25*time.Second)) // some of them are queued
	}
	full := newFixture(1, 1)
	full.fill(0, memory)
	_, _ = full.Submit(full.job("guild", 1_000, time.Minute))
	for _, tt := range []struct {
		name string
		f    *fixture
		job  scheduler.Job
		kind scheduler.Kind
	}{
		{"no engine", leaving, leaving.job("guild", 1_000, time.Minute), scheduler.KindNoEngine},
		{"too large for any group", f, f.job("guild", 3*memory, time.Hour), scheduler.KindTooLarge},
		{"deadline too short", f, f.job("guild", 300_000, 5*time.Second), scheduler.KindBusy},
		{"backlog too large", busy, busy.job("guild", 30_000, 25*time.Second), scheduler.KindBusy},
		{"queue full", full, full.job("guild", 1_000, time.Minute), scheduler.KindQueueFull},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := tt.f.Submit(tt.job)
			is.True(fault.Is(err, tt.kind))
			after := scheduler.RetryAfter(err)
			is.True(after >= time.Second && after <= time.Minute)
		})
	}
}

func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 1000)
	f.fill(0, memory)
	first := rule.Evaluate(foldRule(t, `{"priority":10}`), "guild", "assistant", 0)
	var after []time.Duration
	for range 4 {
		for range 5 {
			j := f.job(fmt.Sprintf("workspace-%d", f.jobs), 30_000, 70*time.Second)
			j.Verdict = first
			_, err := f.Submit(j)
			is.NoErr(err)
		}
		_, err := f.Submit(f.job("modest", 30_000, 21*time.Second))
		is.True(fault.Is(err, scheduler.KindBusy))
		after = append(after, scheduler.RetryAfter(err))
	}
	for i := 1; i < len(after); i++ {
		is.True(after[i] > after[i-1])
	}
}

func TestExpiresQueuedRequestBeforeDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	f.fill(0, memory) // nothing fits
	notified := 0
	j := f.job("guild", 20_000, 20*time.Second)
	j.Notify = func() { notified++ }
	tk, err := f.Submit(j)
	is.NoErr(err)
	for !f.now.After(j.Deadline) && tk.Err() == nil {
		f.now = f.now.Add(50 * time.Millisecond)
		f.fill(0, memory)
		f.Dispatch()
	}
	is.True(fault.Is(tk.Err(), scheduler.KindTooLate))
	is.True(f.now.Before(j.Deadline.Add(-time.Second)))
	is.Equal(notified, 1)
	is.Equal(f.bounds.Count(), 0)
}

func TestWaitingRequestsAge(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	f.fill(0, memory)
	old, err := f.Submit(f.job("guild", 200_000, 2*time.Minute))
	is.NoErr(err)
	f.now = f.now.Add(80 * time.Second)
	fresh, err := f.Submit(f.job("guild", 50_000, time.Minute))
	is.NoErr(err)
	f.fill(0, 100_000)
	f.Dispatch()
	is.True(old.Placed()) // though the other prompt is shorter
	is.True(!fresh.Placed())
}

func TestGreedyWorkspaceWaitsBehindOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 100)
	f.fill(0, memory)
	var greedy []*scheduler.Ticket
	for range 8 {
		tk, err := f.Submit(f.job("greedy", 20_000, time.Minute))
		is.NoErr(err)
		greedy = append(greedy, tk)
	}
	modest, err := f.Submit(f.job("modest", 20_000, time.Minute))
	is.NoErr(err)
	f.fill(0, memory-30_000-memory/20)
	f.Dispatch()
	is.True(greedy[0].Placed() != modest.Placed()) // room for one
	f.fill(0, memory-60_000-memory/20)
	f.Dispatch()
	is.True(modest.Placed())
	is.True(!greedy[7].Placed())
}

func TestRules(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	refuse := foldRule(t, `{"minPromptTokens":50000,"refuse":true}`)
	j := f.job("guild", 60_000, time.Minute)
	j.Verdict = rule.Evaluate(refuse, "guild", "assistant", j.Tokens)
	_, err := f.Submit(j)
	is.True(fault.Is(err, scheduler.KindRule))

	one := foldRule(t, `{"workspace":"guild","maxConcurrent":1}`)
	j = f.job("guild", 1_000, time.Minute)
	j.Verdict = rule.Evaluate(one, "guild", "assistant", j.Tokens)
	tk, err := f.Submit(j)
	is.NoErr(err)
	_, err = f.Submit(j)
	is.True(fault.Is(err, scheduler.KindRule))
	f.Done(tk, scheduler.Outcome{Answered: true})
	_, err = f.Submit(j)
	is.NoErr(err)

	f = newFixture(1, 10)
	f.fill(0, memory)
	_, err = f.Submit(f.job("guild", 1_000, 20*time.Second))
	is.NoErr(err)
	j = f.job("guild", 1_000, 30*time.Second)
	j.Verdict = rule.Evaluate(foldRule(t, `{"priority":5}`), "guild", "assistant", j.Tokens)
	first, err := f.Submit(j)
	is.NoErr(err)
	f.fill(0, memory-1_500)
	f.Dispatch()
	is.True(first.Placed())
}

// foldRule returns the rules of a configuration with one rule of the given spec.
func foldRule(t *testing.T, spec string) []*resource.Rule {
	t.Helper()
	fold := resource.NewFold()
	for i, c := range []resource.Change{
		{ID: "1", Op: resource.OpPut, Kind: resource.TypeWorkspace, Name: "guild", Spec: []byte(`{"weight":1}`)},
		{ID: "2", Op: resource.OpPut, Kind: resource.TypeRule, Name: "r", Spec: []byte(spec)},
	} {
		if out, _ := fold.Apply(uint64(i+1), c); out.Err() != nil {
			t.Fatal(out.Err())
		}
	}
	return fold.View().Rules()
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, 10)
	_, err := f.Submit(f.job("guild", 1_000, time.Minute))
	is.NoErr(err)
	retries := 0
	for range 50 {
		j := f.job("guild", 1_000, time.Minute)
		j.Tried = map[string]bool{"engine-1": true}
		tk, err := f.Submit(j)
		if err != nil {
			is.True(fault.Is(err, scheduler.KindRetries))
			break
		}
		is.True(tk.Members()[0] != "engine-1")
		f.Done(tk, scheduler.Outcome{Answered: true})
		retries++
	}
	is.Equal(retries, 20)
}

func TestSkipsAndProbesFailingEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 10) // engines 1 and 4 are in the entry's failure domain
	for range 2 {
		f.engines[0].Circuit().Failed(f.now)
	}
	for range 5 {
		tk, err := f.Submit(f.job("guild", 1_000, time.Minute))
		is.NoErr(err)
		is.True(tk.Members()[0] != "engine-1")
	}
	f.now = f.now.Add(time.Second)
	seen := false
	for range 5 {
		tk, err := f.Submit(f.job("guild", 1_000, time.Minute))
		is.NoErr(err)
		if tk.Members()[0] == "engine-1" {
			is.True(!seen) // one probe at a time
			seen = true
		}
	}
	is.True(seen)
}

func TestPlacesGroupAgainAfterFailedHold(t *testing.T) {
	is := is.New(t)
	f := newFixture(9, 10) // three per failure domain
	tk, err := f.Submit(f.job("guild", 900_000, 10*time.Minute))
	is.NoErr(err)
	is.Equal(tk.Members(), []string{"engine-1", "engine-4", "engine-7"})
	other, err := f.Submit(f.job("guild", 900_000, 10*time.Minute))
	is.NoErr(err)
	is.Equal(other.Members(), []string{"engine-2", "engine-5", "engine-8"}) // another failure domain
	f.HoldFailed(tk, "engine-4")
	is.True(!tk.Placed())
	f.now = f.now.Add(time.Second)
	f.Dispatch()
	is.True(tk.Placed())
	f.Done(tk, scheduler.Outcome{Answered: true})
	f.Done(other, scheduler.Outcome{Answered: true})
	for _, e := range f.engines {
		is.Equal(e.OwnTokens(), 0)
	}
}

// poolMachine drives a pool with random operations. Its tickets are those that are not done.
type poolMachine struct {
	*fixture
	tickets []*scheduler.Ticket
}

func (m *poolMachine) submit(t *rapid.T) {
	tokens := rapid.SampledFrom([]int{100, 4_000, 30_000, 90_000, 300_000, 1_000_000}).Draw(t, "tokens")
	patience := time.Duration(rapid.IntRange(1, 200).Draw(t, "patience")) * time.Second
	workspace := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")
	if tk, err := m.Submit(m.job(workspace, tokens, patience)); err == nil {
		m.tickets = append(m.tickets, tk)
	}
}

func (m *poolMachine) pick(t *rapid.T) *scheduler.Ticket {
	if len(m.tickets) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *poolMachine) remove(tk *scheduler.Ticket) {
	m.tickets = slices.DeleteFunc(m.tickets, func(x *scheduler.Ticket) bool { return x == tk })
}

func (m *poolMachine) done(t *rapid.T) {
	tk := m.pick(t)
	m.Done(tk, scheduler.Outcome{
		Answered: rapid.Bool().Draw(t, "answered"), Failed: rapid.Bool().Draw(t, "failed"), Tokens: 10,
	})
	m.remove(tk)
}

func (m *poolMachine) leave(t *rapid.T) {
	tk := m.pick(t)
	m.Leave(tk)
	m.remove(tk)
}

func (m *poolMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5_000).Draw(t, "ms")) * time.Millisecond)
	m.Dispatch()
}

func (m *poolMachine) check(t *rapid.T) {
	waiting, reserved, sum := 0, 0, 0
	for _, tk := range m.tickets {
		if tk.Placed() {
			reserved += tk.Share() * len(tk.Members())
		} else if tk.Err() == nil {
			waiting++
		}
	}
	for _, e := range m.engines {
		sum += e.OwnTokens()
		if e.OwnTokens() > memory {
			t.Fatalf("%s has %d tokens reserved", e.Name(), e.OwnTokens())
		}
	}
	if sum != reserved || waiting != m.bounds.Count() || waiting != m.Waiting() {
		t.Fatalf("reserved %d of %d, waiting %d and %d of %d", sum, reserved, m.bounds.Count(), m.Waiting(), waiting)
	}
}

func (m *poolMachine) end(t *rapid.T) {
	for _, tk := range m.tickets {
		m.Done(tk, scheduler.Outcome{})
	}
	for _, e := range m.engines {
		if e.OwnTokens() != 0 || e.Sends() != 0 || e.RunsBig(m.now.Add(time.Hour)) {
			t.Fatalf("%s still has %d tokens, %d sends, a backlog of %d", e.Name(), e.OwnTokens(), e.Sends(), e.TotalBacklog(m.now))
		}
	}
	if m.bounds.Count() != 0 || m.bounds.Bytes() != 0 {
		t.Fatalf("%d still queued", m.bounds.Count())
	}
}

// TestRapidPoolReleasesAll checks that a pool never reserves more memory of an engine than it
// has, and that it holds no resources once all tickets are done.
func TestRapidPoolReleasesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &poolMachine{fixture: newFixture(9, 20)}
		t.Repeat(map[string]func(*rapid.T){
			"submit":      m.submit,
			"first token": func(t *rapid.T) { m.FirstToken(m.pick(t)) },
			"done":        m.done,
			"leave":       m.leave,
			"hold failed": func(t *rapid.T) { m.HoldFailed(m.pick(t), "") },
			"time":        m.advance,
			"":            m.check,
		})
		m.end(t)
	})
}

// BenchmarkDecision measures a request from Submit to Done in a pool with engines of three
// failure domains.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{18, 280, 3_900} {
		for _, tokens := range []int{2_000, 200_000} {
			b.Run(fmt.Sprintf("upstreams=%d/tokens=%d", n, tokens), func(b *testing.B) {
				f := newFixture(n, 1000)
				b.ReportAllocs()
				for b.Loop() {
					tk, err := f.Submit(f.job("guild", tokens, 10*time.Minute))
					if err != nil {
						b.Fatal(err)
					}
					f.FirstToken(tk)
					f.Done(tk, scheduler.Outcome{Answered: true, Tokens: 50})
					f.now = f.now.Add(100 * time.Millisecond)
				}
			})
		}
	}
}

// A first token that was late because of an outage raises the stretch estimate. Without
// decay, the pool would refuse all further requests and never get a sample that lowers it.
func TestEstimatesRecoverAfterOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	for _, took := range []time.Duration{100 * time.Millisecond, 30 * time.Second} {
		tk, err := f.Submit(f.job("guild", 1_000, 2*time.Minute))
		is.NoErr(err)
		f.now = f.now.Add(took)
		f.FirstToken(tk)
		f.Done(tk, scheduler.Outcome{Answered: true, Tokens: 100})
	}
	_, err := f.Submit(f.job("guild", 1_000, 20*time.Second))
	is.True(fault.Is(err, scheduler.KindBusy)) // the estimate still reflects the outage
	f.now = f.now.Add(3 * time.Minute)
	tk, err := f.Submit(f.job("guild", 1_000, 20*time.Second))
	is.NoErr(err)
	is.True(tk.Placed())
}
