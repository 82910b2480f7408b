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

// fixture is a pool with engines under a clock that the test moves.
type fixture struct {
	*scheduler.Pool
	now     time.Time
	engines []*model.Engine
	bounds  *queue.Bounds
	jobs    int
}

// newFixture spreads the engines over the domains a, b and c; the entry is in a.
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

// fill makes every engine report a backlog of somebody else's.
func (f *fixture) fill(prefill, used int) {
	for _, e := range f.engines {
		e.Report(model.Report{At: f.now, Running: 1, PrefillTokens: prefill, MemoryUsed: used})
	}
}

func TestOwnFailureDomainFirst(t *testing.T) {
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
	is.True(tk.Members()[0] != "engine-1" && tk.Members()[0] != "engine-4") // it pays for the hop
	is.Equal(f.Counts().Spilled, 1)
}

func TestShortPromptDoesNotWaitForALongPrefill(t *testing.T) {
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

func TestMemoryIsKeptForShortPrompts(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	f.fill(0, 240_000)
	big, err := f.Submit(f.job("guild", 120_000, 2*time.Minute)) // would leave a tenth
	is.NoErr(err)
	is.True(!big.Placed())
	short, err := f.Submit(f.job("guild", 3_000, time.Minute))
	is.NoErr(err)
	is.True(short.Placed())
}

func TestRefusalsComeAtOnce(t *testing.T) {
	f := newFixture(3, 2)
	leaving := newFixture(1, 2)
	leaving.engines[0].Report(model.Report{At: leaving.now, Leaving: true})
	busy := newFixture(1, 100)
	busy.fill(40_000, 0)
	for range 20 {
		_, _ = busy.Submit(busy.job("guild", 30_000, 25*time.Second)) // some of them wait
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
		{"not within the patience", f, f.job("guild", 300_000, 5*time.Second), scheduler.KindBusy},
		{"behind others", busy, busy.job("guild", 30_000, 25*time.Second), scheduler.KindBusy},
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
	first := rule.Judge(judge(t, `{"priority":10}`), "guild", "assistant", 0)
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

func TestVainWaitFailsBeforeThePatienceEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, 10)
	f.fill(0, memory) // nothing fits
	told := 0
	j := f.job("guild", 20_000, 20*time.Second)
	j.Notify = func() { told++ }
	tk, err := f.Submit(j)
	is.NoErr(err)
	for !f.now.After(j.Deadline) && tk.Err() == nil {
		f.now = f.now.Add(50 * time.Millisecond)
		f.fill(0, memory)
		f.Dispatch()
	}
	is.True(fault.Is(tk.Err(), scheduler.KindTooLate))
	is.True(f.now.Before(j.Deadline.Add(-time.Second)))
	is.Equal(told, 1)
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
	is.True(old.Placed()) // though the other is shorter
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
	refuse := judge(t, `{"minPromptTokens":50000,"refuse":true}`)
	j := f.job("guild", 60_000, time.Minute)
	j.Verdict = rule.Judge(refuse, "guild", "assistant", j.Tokens)
	_, err := f.Submit(j)
	is.True(fault.Is(err, scheduler.KindRule))

	one := judge(t, `{"workspace":"guild","maxConcurrent":1}`)
	j = f.job("guild", 1_000, time.Minute)
	j.Verdict = rule.Judge(one, "guild", "assistant", j.Tokens)
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
	j.Verdict = rule.Judge(judge(t, `{"priority":5}`), "guild", "assistant", j.Tokens)
	first, err := f.Submit(j)
	is.NoErr(err)
	f.fill(0, memory-1_500)
	f.Dispatch()
	is.True(first.Placed())
}

// judge returns a rule of the spec, by way of the fold.
func judge(t *testing.T, spec string) []*resource.Rule {
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

func TestRetriesHaveABudget(t *testing.T) {
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

func TestFailingEngineIsLeftOutAndProbed(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 10) // engines 1 and 4 are in the own domain
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
			is.True(!seen) // one probe
			seen = true
		}
	}
	is.True(seen)
}

func TestGroupWaitsForItsEngines(t *testing.T) {
	is := is.New(t)
	f := newFixture(9, 10) // three a domain
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

// live is a pool and the tickets that are not over.
type live struct {
	*fixture
	tickets []*scheduler.Ticket
}

func (l *live) submit(t *rapid.T) {
	tokens := rapid.SampledFrom([]int{100, 4_000, 30_000, 90_000, 300_000, 1_000_000}).Draw(t, "tokens")
	patience := time.Duration(rapid.IntRange(1, 200).Draw(t, "patience")) * time.Second
	workspace := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")
	if tk, err := l.Submit(l.job(workspace, tokens, patience)); err == nil {
		l.tickets = append(l.tickets, tk)
	}
}

func (l *live) pick(t *rapid.T) *scheduler.Ticket {
	if len(l.tickets) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(l.tickets).Draw(t, "ticket")
}

func (l *live) drop(tk *scheduler.Ticket) {
	l.tickets = slices.DeleteFunc(l.tickets, func(x *scheduler.Ticket) bool { return x == tk })
}

func (l *live) done(t *rapid.T) {
	tk := l.pick(t)
	l.Done(tk, scheduler.Outcome{
		Answered: rapid.Bool().Draw(t, "answered"), Failed: rapid.Bool().Draw(t, "failed"), Tokens: 10,
	})
	l.drop(tk)
}

func (l *live) leave(t *rapid.T) {
	tk := l.pick(t)
	l.Leave(tk)
	l.drop(tk)
}

func (l *live) pass(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(1, 5_000).Draw(t, "ms")) * time.Millisecond)
	l.Dispatch()
}

func (l *live) check(t *rapid.T) {
	waiting, reserved, sum := 0, 0, 0
	for _, tk := range l.tickets {
		if tk.Placed() {
			reserved += tk.Share() * len(tk.Members())
		} else if tk.Err() == nil {
			waiting++
		}
	}
	for _, e := range l.engines {
		sum += e.OwnTokens()
		if e.OwnTokens() > memory {
			t.Fatalf("%s is promised %d tokens", e.Name(), e.OwnTokens())
		}
	}
	if sum != reserved || waiting != l.bounds.Count() || waiting != l.Waiting() {
		t.Fatalf("reserved %d of %d, waiting %d and %d of %d", sum, reserved, l.bounds.Count(), l.Waiting(), waiting)
	}
}

func (l *live) end(t *rapid.T) {
	for _, tk := range l.tickets {
		l.Done(tk, scheduler.Outcome{})
	}
	for _, e := range l.engines {
		if e.OwnTokens() != 0 || e.Sends() != 0 || e.RunsBig(l.now.Add(time.Hour)) {
			t.Fatalf("%s keeps %d tokens, %d sends, %d ahead", e.Name(), e.OwnTokens(), e.Sends(), e.Total(l.now))
		}
	}
	if l.bounds.Count() != 0 || l.bounds.Bytes() != 0 {
		t.Fatalf("%d wait", l.bounds.Count())
	}
}

// TestRapidPoolGivesEverythingBack checks that a pool never promises an engine
// more memory than it has, and that nothing stays when all is over.
func TestRapidPoolGivesEverythingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &live{fixture: newFixture(9, 20)}
		t.Repeat(map[string]func(*rapid.T){
			"submit":      l.submit,
			"first token": func(t *rapid.T) { l.FirstToken(l.pick(t)) },
			"done":        l.done,
			"leave":       l.leave,
			"hold failed": func(t *rapid.T) { l.HoldFailed(l.pick(t), "") },
			"time":        l.pass,
			"":            l.check,
		})
		l.end(t)
	})
}

// BenchmarkDecision times a short prompt's way through a pool, with the engines
// of three failure domains in view.
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

func TestWhatWasLearnedFromAnOutageDoesNotRefuseForEver(t *testing.T) {
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
	is.True(fault.Is(err, scheduler.KindBusy)) // nobody knows yet that it is over
	f.now = f.now.Add(3 * time.Minute)
	tk, err := f.Submit(f.job("guild", 1_000, 20*time.Second))
	is.NoErr(err)
	is.True(tk.Placed())
}
