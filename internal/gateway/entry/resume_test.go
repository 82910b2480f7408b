package entry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// A stream breaks off while the other engine takes no connections for a moment. The answer was cut at
// once, though the engine went on long before the caller would have left.
func TestBrokenStreamWaitsForSilentEngine(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	var silent atomic.Pointer[string] // address
	env.check(func(sched *scheduler) bool {
		sched.unreachable = func(address string) bool { at := silent.Load(); return at != nil && *at == address }
		return true
	})
	ask := env.config["routes"].([]any)[3].(map[string]any)
	ask["target_latency_ms"], ask["timeout_ms"] = 2500, 9500
	env.configure()
	a := env.serve("engines", "i-1", server.CutEvent)
	b := env.serve("engines", "i-2")
	at := b.Addr()
	silent.Store(&at)
	got := env.askPatiently()
	env.await(func() bool { // until the first attempt to resume found no engine
		return len(a.Runs()) == 1 && env.check(func(sched *scheduler) bool { return sched.planners["engines"].Counts().Refused > 0 })
	})
	silent.Store(nil)
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, server.Events(testEvents))
	is.Equal(b.Runs()[0].LastEvent, "2")
}
