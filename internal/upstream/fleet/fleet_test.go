package fleet

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// config returns a view with one deployment and its engines in the failure domain a.
func config(t *testing.T, engines int) *resource.View {
	t.Helper()
	f := resource.NewFold()
	put := func(offset uint64, kind resource.Type, name, spec string) {
		out, ok := f.Apply(offset, resource.Change{
			ID: name, Op: resource.OpPut, Kind: kind, Name: name, Spec: json.RawMessage(spec),
		})
		if !ok || out.Err() != nil {
			t.Fatal(out.Err())
		}
	}
	put(1, resource.TypeDeployment, "assistant", `{"model":"m","contextTokens":1000}`)
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		put(uint64(i+2), resource.TypeUpstream, name, `{"address":"127.0.0.1:1","failureDomain":"a","deployments":["assistant"]}`)
	}
	return f.View()
}

// newFleet returns a fleet without its polling loop.
func newFleet(t *testing.T, engines int, seams Seams) *Fleet {
	view := config(t, engines)
	seams.View = func() *resource.View { return view }
	f := &Fleet{network: netio.TCP(), seams: seams, engines: map[string]*Engine{}}
	f.EnginesOf(view.Deployment("assistant"))
	return f
}

// setPolled sets the load as a successful poll would.
func (e *Engine) setPolled(l engine.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load, e.reported, e.confirmed, e.polled, e.failures = l, time.Now(), time.Now(), true, 0
}

func TestOwnerPollsAndPeersUseItsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := newFleet(t, 2, Seams{Owns: func(name string) bool { return name == "engine-0" }})
		owner.Engine("engine-0").setPolled(engine.Load{Running: 3, PrefillTokens: 9_000, MemoryUsed: 100_000, MemoryTotal: 480_000})
		report := &memberwire.Report{Vm: "entry-1", Version: 1}
		owner.Report(report, 1)
		is.Equal(len(report.GetLoads()), 1) // only of the owned engine
		is.Equal(len(report.GetPrefixes()), 0)

		state := membership.StateLive
		peer := newFleet(t, 2, Seams{
			Owns:  func(string) bool { return false },
			Loads: func() []*memberwire.Report { return []*memberwire.Report{report} },
			State: func(string) membership.State { return state },
		})
		e := peer.Engine("engine-0")
		is.True(e.pollDue(false, time.Now())) // no entry has reported it
		peer.applyReports(peer.engines, time.Now())
		l, _, failures := e.Load()
		is.Equal(l.Running, 3)
		is.Equal(l.PrefillTokens, 12_000) // rounded up to a coarse step
		is.Equal(l.MemoryTotal, 480_000)
		is.Equal(failures, 0)
		is.True(!e.pollDue(false, time.Now()))

		time.Sleep(staleAfter)
		peer.applyReports(peer.engines, time.Now()) // the owner still reports the unchanged load
		is.True(!e.pollDue(false, time.Now()))
		_, reported, _ := e.Load()
		is.Equal(time.Since(reported), staleAfter) // the load itself is that old
		loads := report.GetLoads()
		report.Loads = nil // the owner is gone or can't reach the engine
		time.Sleep(staleAfter)
		peer.applyReports(peer.engines, time.Now())
		is.True(e.pollDue(false, time.Now()))
		report.Loads = loads

		state = membership.StateLeaving
		peer.applyReports(peer.engines, time.Now())
		l, _, _ = e.Load()
		is.True(l.Leaving)
		state = membership.StateSuspect
		peer.applyReports(peer.engines, time.Now())
		_, _, failures = e.Load()
		is.Equal(failures, deadAfterFailures)
	})
}

func TestOwnerReportsFailedAndLeavingEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newFleet(t, 1, Seams{}).Engine("engine-0")
		e.setPolled(engine.Load{MemoryTotal: 1000})
		is.Equal(e.observedState(), membership.StateLive)
		e.schedulePoll(true, time.Now())
		is.True(!e.pollDue(true, time.Now().Add(ownedPollInterval/2)))
		is.True(e.pollDue(true, time.Now().Add(ownedPollInterval)))
		e.failures = 1
		e.schedulePoll(true, time.Now())
		is.True(e.pollDue(true, time.Now().Add(retryInterval))) // soon after a failed poll
		e.failures = deadAfterFailures
		is.Equal(e.observedState(), membership.StateSuspect)
		is.Equal(e.reportLoad(), nil)
		e.setPolled(engine.Load{MemoryTotal: 1000, Leaving: true})
		is.Equal(e.observedState(), membership.StateLeaving)
	})
}

func TestPollsOfUnownedEnginesAreRateLimited(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, Seams{})
	f.unownedPolls = 2
	is.True(f.takeUnownedPoll())
	is.True(f.takeUnownedPoll())
	is.True(!f.takeUnownedPoll())
}

func TestPrefixHintsAreBoundedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, Seams{Owns: func(string) bool { return false }})
		e := f.Engine("engine-0")
		for i := range 3 * maxPrefixes {
			e.RecordPrefix(uint32(i))
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(e.prefixes.lastUsed), maxPrefixes)
		is.True(!e.Cached(0) && e.Cached(3*maxPrefixes-1))
		e.RecordPrefix(3*maxPrefixes - 2)

		report := &memberwire.Report{}
		f.Report(report, minPrefixBudget) // the remaining budget is too small for prefixes
		is.Equal(len(report.GetPrefixes()), 0)
		f.Report(report, minPrefixBudget+1)
		is.Equal(len(report.GetPrefixes()), maxReportedPrefixes)
		is.Equal(report.GetPrefixes()[0].GetPrefix(), uint32(3*maxPrefixes-2)) // most hits

		e.addHint(7, time.Now())
		is.True(e.Cached(7))
		time.Sleep(prefixTTL)
		is.True(!e.Cached(7))
	})
}

func TestSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, Seams{})
		f.Engine("engine-0").setPolled(engine.Load{MemoryUsed: 100_000, MemoryTotal: 400_000, PrefillTokens: 5_000})
		f.Engine("engine-1").setPolled(engine.Load{MemoryTotal: 400_000, Leaving: true}) // has no spare capacity
		s := f.Spare("a")                                                                // engine-2 has no report
		is.Equal(len(s), 1)
		is.Equal(s[0].GetEngines(), uint32(1))
		is.Equal(s[0].GetMemoryK(), uint64(300))
		is.Equal(s[0].GetPrefillK(), uint64(5))
		is.Equal(f.Spare("b")[0].GetEngines(), uint32(0))
	})
}

func TestConfirmPollsAnEngineWithAnOldReport(t *testing.T) {
	is := is.New(t)
	e := standin.New(standin.Default("engine-1", "m"))
	defer e.Close()
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	unowned := &Engine{client: engine.NewClient(netio.TCP(), "engine-1", srv.Listener.Addr().String())}
	is.NoErr(unowned.Confirm(t.Context(), time.Minute))
	e.SetLeaving(true)
	is.NoErr(unowned.Confirm(t.Context(), time.Hour)) // the report is recent enough
	is.True(fault.Is(unowned.Confirm(t.Context(), 0), KindUnfit))
	e.SetLeaving(false)
	is.NoErr(unowned.Confirm(t.Context(), 0))
	e.Die()
	is.True(fault.Is(unowned.Confirm(t.Context(), 0), KindUnfit))
}
