package orphan_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

var (
	self  = engine.Owner{VM: "self", Incarnation: 7}
	other = engine.Owner{VM: "other", Incarnation: 3}
)

// fixture is a simulated engine with the functions of a collector, in virtual time.
type fixture struct {
	engine *standin.Engine
	seams  orphan.Seams

	mu      sync.Mutex
	serving map[string]bool
	gone    map[engine.Owner]bool
	failing bool
}

func newFixture() *fixture {
	f := &fixture{engine: standin.New(standin.Default("e", "m")), serving: map[string]bool{}, gone: map[engine.Owner]bool{}}
	f.engine.SetSlow(10_000) // no stream finishes by itself
	f.seams = orphan.Seams{
		Self:    self,
		Engines: func() []orphan.Engine { return []orphan.Engine{f.client()} },
		Serving: func() map[string]bool { return locked(f, func() map[string]bool { return maps.Clone(f.serving) }) },
		OwnerGone: func(vm string, n uint64) bool {
			return locked(f, func() bool { return f.gone[engine.Owner{VM: vm, Incarnation: n}] })
		},
	}
	return f
}

// locked returns the result of read, called under the lock.
func locked[T any](f *fixture, read func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return read()
}

func (f *fixture) setGone(o engine.Owner) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone[o] = true
}

func (f *fixture) setServing(stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving[stream] = true
}

func (f *fixture) setFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = failing
}

var errDown = errors.New("down")

func (f *fixture) client() orphan.Engine {
	return orphan.Engine{
		Name: "e",
		Streams: func(context.Context) ([]engine.StreamInfo, error) {
			if locked(f, func() bool { return f.failing }) {
				return nil, errDown
			}
			list, err := f.engine.Streams()
			var out []engine.StreamInfo
			for _, s := range list {
				out = append(out, engine.StreamInfo{Stream: s.Stream, Owner: engine.Owner(s.Owner), Finish: s.Finish})
			}
			return out, err
		},
		Holds: func(context.Context) ([]engine.HoldInfo, error) {
			list, err := f.engine.Holds()
			var out []engine.HoldInfo
			for _, h := range list {
				out = append(out, engine.HoldInfo{Hold: h.Hold, Owner: engine.Owner(h.Owner), Tokens: h.Tokens, Expires: h.Expires})
			}
			return out, err
		},
		Cancel:  func(_ context.Context, id string) error { return f.engine.Cancel(id) },
		Release: func(_ context.Context, id string) error { return f.engine.Release(id) },
	}
}

func (f *fixture) open(is *is.I, o engine.Owner, patience time.Duration) string {
	id := orphan.StreamID(uuid.Must(uuid.NewV7()).String(), 1, patience)
	is.NoErr(f.engine.Open(standin.StreamRequest{Stream: id, Owner: standin.Owner(o), Model: "m", Prompt: "p", MaxTokens: 1000}))
	return id
}

func (f *fixture) collector() *orphan.Collector {
	return orphan.NewCollector(f.seams, tally.NoopScope, log.New(io.Discard))
}

// runs reports whether the engine runs the stream.
func (f *fixture) runs(is *is.I, id string) bool {
	list, err := f.engine.Streams()
	is.NoErr(err)
	for _, s := range list {
		if s.Stream == id {
			return s.Finish == ""
		}
	}
	return false
}

// runFixture runs a test with a new fixture in virtual time.
func runFixture(t *testing.T, test func(is *is.I, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		defer f.engine.Close()
		test(is.New(t), f)
	})
}

func TestStreamsOfAGoneEntryEndAfterTheGracePeriod(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		c := f.collector()
		c.Run()
		defer c.Close()
		id, live := f.open(is, other, time.Hour), f.open(is, engine.Owner{VM: "live", Incarnation: 1}, time.Hour)
		time.Sleep(time.Minute)
		is.True(f.runs(is, id)) // its owner may be alive
		f.setGone(other)
		time.Sleep(orphan.Grace)
		is.True(f.runs(is, id)) // the caller may still resume it
		time.Sleep(10 * time.Second)
		is.True(!f.runs(is, id))
		is.True(f.runs(is, live))
		is.Equal(c.State().Cancelled, int64(1))
	})
}

func TestResumedStreamIsKeptAsLongAsItsServerLives(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		server := engine.Owner{VM: "server", Incarnation: 5}
		f.setGone(other)
		id := f.open(is, other, time.Hour)
		is.NoErr(f.engine.Hold(standin.HoldRequest{Hold: orphan.ResumeHoldID(id, server), Owner: standin.Owner(server), Tokens: 1, TTL: time.Minute}))
		c := f.collector()
		c.Run()
		defer c.Close()
		time.Sleep(50 * time.Second)
		is.True(f.runs(is, id))
		f.setGone(server)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!f.runs(is, id))
		is.Equal(f.engine.MemoryUsed(), 0) // the serving hold is released too
	})
}

func TestOwnUnreadStreamsEnd(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		c := f.collector()
		c.Run()
		defer c.Close()
		lost, read := f.open(is, self, time.Hour), f.open(is, self, time.Hour)
		before := f.open(is, engine.Owner{VM: self.VM, Incarnation: 6}, time.Hour)
		after := f.open(is, engine.Owner{VM: self.VM, Incarnation: 8}, time.Hour)
		f.setServing(read)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!f.runs(is, lost))   // the answer to its open was lost
		is.True(!f.runs(is, before)) // of the VM's previous incarnation
		is.True(f.runs(is, read))
		is.True(f.runs(is, after)) // a later incarnation has replaced this entry
	})
}

func TestStreamsEndAtTheirDeadline(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		f.seams.OwnerGone = nil // all entries were replaced: none knows the owner
		c := f.collector()
		c.Run()
		defer c.Close()
		id := f.open(is, other, time.Minute)
		time.Sleep(time.Minute)
		is.True(f.runs(is, id))
		time.Sleep(time.Minute)
		is.True(!f.runs(is, id))
	})
}

func TestTwoCollectorsAtOnce(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		f.setGone(other)
		a := f.collector()
		f.seams.Self = engine.Owner{VM: "second", Incarnation: 1}
		c := f.collector()
		a.Run()
		c.Run()
		defer a.Close()
		defer c.Close()
		orphaned, kept := f.open(is, other, time.Hour), f.open(is, self, time.Hour)
		f.setServing(kept)
		time.Sleep(time.Minute)
		is.True(!f.runs(is, orphaned))
		is.True(f.runs(is, kept))
	})
}

func TestFailedCallsToAnEngineAreRetried(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		f.setGone(other)
		id := f.open(is, other, time.Hour)
		f.setFailing(true)
		c := f.collector()
		c.Run()
		defer c.Close()
		time.Sleep(time.Minute)
		is.True(f.runs(is, id))
		is.True(c.State().Failed > 0)
		f.setFailing(false)
		f.engine.LoseAnswers(1)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!f.runs(is, id))
	})
}

func TestEnginesOfOtherOwnersAreSkipped(t *testing.T) {
	runFixture(t, func(is *is.I, f *fixture) {
		f.setGone(other)
		f.seams.Owns = func(string) bool { return false }
		id := f.open(is, other, time.Hour)
		c := f.collector()
		c.Run()
		defer c.Close()
		time.Sleep(time.Minute)
		is.True(f.runs(is, id))
		is.Equal(c.State(), orphan.State{})
	})
}
