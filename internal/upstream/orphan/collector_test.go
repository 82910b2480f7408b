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

// bench is an engine and a collector in virtual time.
type bench struct {
	engine *standin.Engine
	seams  orphan.Seams

	mu      sync.Mutex
	serving map[string]bool
	gone    map[engine.Owner]bool
	failing bool
}

func newBench() *bench {
	b := &bench{engine: standin.New(standin.Default("e", "m")), serving: map[string]bool{}, gone: map[engine.Owner]bool{}}
	b.engine.SetSlow(10_000) // nothing ends by itself
	b.seams = orphan.Seams{
		Self:    self,
		Engines: func() []orphan.Engine { return []orphan.Engine{b.seen()} },
		Serving: func() map[string]bool { return get(b, func() map[string]bool { return maps.Clone(b.serving) }) },
		OwnerGone: func(vm string, n uint64) bool {
			return get(b, func() bool { return b.gone[engine.Owner{VM: vm, Incarnation: n}] })
		},
	}
	return b
}

func get[T any](b *bench, f func() T) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	return f()
}

func (b *bench) setGone(o engine.Owner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone[o] = true
}

func (b *bench) setServing(stream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serving[stream] = true
}

func (b *bench) setFailing(failing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = failing
}

var errDown = errors.New("down")

func (b *bench) seen() orphan.Engine {
	return orphan.Engine{
		Name: "e",
		Streams: func(context.Context) ([]engine.StreamInfo, error) {
			if get(b, func() bool { return b.failing }) {
				return nil, errDown
			}
			list, err := b.engine.Streams()
			var out []engine.StreamInfo
			for _, s := range list {
				out = append(out, engine.StreamInfo{Stream: s.Stream, Owner: engine.Owner(s.Owner), Finish: s.Finish})
			}
			return out, err
		},
		Holds: func(context.Context) ([]engine.HoldInfo, error) {
			list, err := b.engine.Holds()
			var out []engine.HoldInfo
			for _, h := range list {
				out = append(out, engine.HoldInfo{Hold: h.Hold, Owner: engine.Owner(h.Owner), Tokens: h.Tokens, Expires: h.Expires})
			}
			return out, err
		},
		Cancel:  func(_ context.Context, id string) error { return b.engine.Cancel(id) },
		Release: func(_ context.Context, id string) error { return b.engine.Release(id) },
	}
}

func (b *bench) open(is *is.I, o engine.Owner, patience time.Duration) string {
	id := orphan.StreamID(uuid.Must(uuid.NewV7()).String(), 1, patience)
	is.NoErr(b.engine.Open(standin.StreamRequest{Stream: id, Owner: standin.Owner(o), Model: "m", Prompt: "p", MaxTokens: 1000}))
	return id
}

func (b *bench) collector() *orphan.Collector {
	return orphan.NewCollector(b.seams, tally.NoopScope, log.New(io.Discard))
}

// runs reports whether the engine runs the stream.
func (b *bench) runs(is *is.I, id string) bool {
	list, err := b.engine.Streams()
	is.NoErr(err)
	for _, s := range list {
		if s.Stream == id {
			return s.Finish == ""
		}
	}
	return false
}

func bubble(t *testing.T, f func(is *is.I, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer b.engine.Close()
		f(is.New(t), b)
	})
}

func TestStreamsOfAGoneEntryEndAfterTheGrace(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		c := b.collector()
		c.Run()
		defer c.Close()
		id, live := b.open(is, other, time.Hour), b.open(is, engine.Owner{VM: "live", Incarnation: 1}, time.Hour)
		time.Sleep(time.Minute)
		is.True(b.runs(is, id)) // its owner may live
		b.setGone(other)
		time.Sleep(orphan.Grace)
		is.True(b.runs(is, id)) // a caller may come
		time.Sleep(10 * time.Second)
		is.True(!b.runs(is, id))
		is.True(b.runs(is, live))
		is.Equal(c.State().Cancelled, int64(1))
	})
}

func TestResumedStreamIsKeptAsLongAsItsServerLives(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		server := engine.Owner{VM: "server", Incarnation: 5}
		b.setGone(other)
		id := b.open(is, other, time.Hour)
		is.NoErr(b.engine.Hold(standin.HoldRequest{Hold: orphan.HoldID(id, server), Owner: standin.Owner(server), Tokens: 1, TTL: time.Minute}))
		c := b.collector()
		c.Run()
		defer c.Close()
		time.Sleep(50 * time.Second)
		is.True(b.runs(is, id))
		b.setGone(server)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!b.runs(is, id))
		is.Equal(b.engine.MemoryUsed(), 0) // the sign went too
	})
}

func TestOwnStreamsThatNobodyReadsEnd(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		c := b.collector()
		c.Run()
		defer c.Close()
		lost, read := b.open(is, self, time.Hour), b.open(is, self, time.Hour)
		before := b.open(is, engine.Owner{VM: self.VM, Incarnation: 6}, time.Hour)
		after := b.open(is, engine.Owner{VM: self.VM, Incarnation: 8}, time.Hour)
		b.setServing(read)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!b.runs(is, lost))   // an opening whose answer was lost
		is.True(!b.runs(is, before)) // of the VM's last life
		is.True(b.runs(is, read))
		is.True(b.runs(is, after)) // this entry is the one that is gone
	})
}

func TestNothingOutlivesItsDeadline(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		b.seams.OwnerGone = nil // all entries were replaced: nobody knows the owner
		c := b.collector()
		c.Run()
		defer c.Close()
		id := b.open(is, other, time.Minute)
		time.Sleep(time.Minute)
		is.True(b.runs(is, id))
		time.Sleep(time.Minute)
		is.True(!b.runs(is, id))
	})
}

func TestTwoCollectorsAtOnce(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		b.setGone(other)
		a := b.collector()
		b.seams.Self = engine.Owner{VM: "second", Incarnation: 1}
		c := b.collector()
		a.Run()
		c.Run()
		defer a.Close()
		defer c.Close()
		orphaned, kept := b.open(is, other, time.Hour), b.open(is, self, time.Hour)
		b.setServing(kept)
		time.Sleep(time.Minute)
		is.True(!b.runs(is, orphaned))
		is.True(b.runs(is, kept))
	})
}

func TestEngineThatAnswersNothingIsAskedAgain(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		b.setGone(other)
		id := b.open(is, other, time.Hour)
		b.setFailing(true)
		c := b.collector()
		c.Run()
		defer c.Close()
		time.Sleep(time.Minute)
		is.True(b.runs(is, id))
		is.True(c.State().Failed > 0)
		b.setFailing(false)
		b.engine.LoseAnswers(1)
		time.Sleep(orphan.Grace + 10*time.Second)
		is.True(!b.runs(is, id))
	})
}

func TestEngineOfAnotherOwnerIsLeftAlone(t *testing.T) {
	bubble(t, func(is *is.I, b *bench) {
		b.setGone(other)
		b.seams.Owns = func(string) bool { return false }
		id := b.open(is, other, time.Hour)
		c := b.collector()
		c.Run()
		defer c.Close()
		time.Sleep(time.Minute)
		is.True(b.runs(is, id))
		is.Equal(c.State(), orphan.State{})
	})
}
