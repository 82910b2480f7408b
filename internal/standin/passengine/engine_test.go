package passengine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/events"
	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

// figures returns a pass of ten steps of 1 ms, and a prefill of 100 tokens per millisecond.
func figures() *passes.Figures {
	return &passes.Figures{Slots: 2, Memory: 10_000, Stride: 10, Chunk: 1000, Step: time.Millisecond, ReadRate: 100_000}
}

// world runs engines in virtual time and records their events.
type world struct {
	*is.I
	loop   *events.Loop
	start  time.Time
	events []string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	start := time.Unix(1_000_000, 0)
	return &world{I: is.New(t), loop: events.New(start), start: start}
}

func (w *world) clock() passengine.Clock {
	return passengine.Clock{Now: w.loop.Now, After: w.loop.After}
}

// run advances the virtual time.
func (w *world) run(d time.Duration) { w.loop.RunFor(d) }

func (w *world) engine(name string) *passengine.Engine {
	return passengine.New(passengine.Settings{
		Name: name, Figures: figures(), Queue: 1, Lag: 200 * time.Millisecond, Stall: 300 * time.Millisecond, MaxHold: 2 * time.Second,
	}, w.clock())
}

// request returns a request that records its events with their time.
func (w *world) request(id string, prompt, output int) *passengine.Request {
	record := func(what string) {
		w.events = append(w.events, fmt.Sprintf("%s %s %s", id, what, w.loop.Now().Sub(w.start)))
	}
	return &passengine.Request{ID: id, Prompt: prompt, Output: output, Event: func(last bool) {
		if record("event"); last {
			record("end")
		}
	}, Cut: func() { record("cut") }}
}

// The first event comes at the end of the pass with the prefill, and then one in each pass.
func TestPrefillThenDecode(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	w.NoErr(e.Open(w.request("r", 1000, 30))) // 10 ms of prefill
	w.run(time.Second)
	w.Equal(w.events, []string{"r event 20ms", "r event 30ms", "r event 40ms", "r end 40ms"})
}

// A prefill delays the streams that are decoded in the same pass.
func TestPrefillDelaysStreams(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	w.NoErr(e.Open(w.request("r", 1000, 40)))
	w.run(25 * time.Millisecond)
	w.NoErr(e.Open(w.request("s", 5000, 10))) // waits for the end of the running pass at 30 ms
	w.run(time.Second)
	w.Equal(w.events, []string{"r event 20ms", "r event 30ms", "r event 90ms", "s event 90ms", "s end 90ms", "r event 100ms", "r end 100ms"})
}

// A pass that decodes prefills at most Chunk tokens in each of its steps.
func TestChunkBoundsAPass(t *testing.T) {
	w := newWorld(t)
	f := figures()
	f.Chunk = 100 // 1,000 tokens in the ten steps of a pass
	e := passengine.New(passengine.Settings{Name: "a", Figures: f, Queue: 1}, w.clock())
	w.NoErr(e.Open(w.request("r", 1000, 50)))
	w.run(25 * time.Millisecond)
	w.NoErr(e.Open(w.request("s", 2000, 10)))
	w.run(time.Second)
	w.Equal(w.events[2:], []string{"r event 50ms", "r event 70ms", "s event 70ms", "s end 70ms", "r event 80ms", "r end 80ms"})
}

// The engine and its helpers prefill their parts at the same time; the first event follows
// the last of the parts.
func TestHelpersPrefill(t *testing.T) {
	w := newWorld(t)
	a, b, c := w.engine("a"), w.engine("b"), w.engine("c")
	w.NoErr(b.Open(w.request("other", 3000, 10)))
	w.run(time.Millisecond)
	r := w.request("r", 3000, 10)
	r.Helpers = []passengine.Helper{{Engine: b}, {Engine: c}}
	w.NoErr(a.Open(r))
	w.run(time.Second)
	// b prefills another prompt until 40 ms, and then its part in 10 ms and a pass.
	w.Equal(w.events, []string{"other event 40ms", "other end 40ms", "r event 60ms", "r end 60ms"})
	again := w.request("again", 100, 10)
	again.Helpers = []passengine.Helper{{Engine: b}, {Engine: b}}
	w.True(fault.Is(a.Open(again), passengine.KindInvalid))
}

// Work that depends on a dead helper is cut off after the stall delay.
func TestDeadHelperCutsOffAfterStall(t *testing.T) {
	w := newWorld(t)
	a, b := w.engine("a"), w.engine("b")
	r := w.request("r", 4000, 10)
	r.Helpers = []passengine.Helper{{Engine: b}}
	w.NoErr(a.Open(r))
	w.NoErr(b.Open(w.request("s", 100, 1000)))
	w.run(5 * time.Millisecond)
	b.Die()
	w.run(time.Second)
	w.Equal(w.events, []string{"s cut 5ms", "r cut 305ms"})
	w.True(fault.Is(b.Open(w.request("t", 1, 1)), passengine.KindGone))
	b.Restart()
	w.NoErr(b.Open(w.request("t", 1, 1)))
	w.run(time.Second)
}

// Cancel and CutOff before an engine has opened the request, as when its entry is cut off
// while it is in transit, change nothing: there is no engine to free it from.
func TestCancelBeforeOpen(t *testing.T) {
	w := newWorld(t)
	a, r := w.engine("a"), w.request("r", 100, 10)
	a.Cancel(r)
	r.CutOff()
	w.True(!r.Opened())
	w.NoErr(a.Open(r))
	w.True(r.Opened())
	w.run(time.Second)
	w.Equal(len(w.events), 2)
}

// Requests wait for slots in the queue; requests beyond its limit are rejected.
func TestQueue(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	w.NoErr(e.Open(w.request("r1", 1000, 10)))
	w.NoErr(e.Open(w.request("r2", 1000, 20)))
	w.NoErr(e.Open(w.request("r3", 1000, 10)))
	w.True(fault.Is(e.Open(w.request("r4", 1000, 10)), passengine.KindFull))
	w.run(time.Second)
	w.Equal(w.events, []string{
		"r1 event 20ms", "r1 end 20ms", // prefilled alone, in a pass that began before the others came
		"r2 event 50ms", "r3 event 50ms", "r3 end 50ms", "r2 event 60ms", "r2 end 60ms",
	})
	w.Equal(e.Use().Rejected, 1)
}

// The most urgent queued request runs first.
func TestUrgency(t *testing.T) {
	w := newWorld(t)
	f := figures()
	f.Slots = 1
	e := passengine.New(passengine.Settings{Name: "a", Figures: f, Queue: 2}, w.clock())
	w.NoErr(e.Open(w.request("r1", 1000, 10)))
	w.NoErr(e.Open(w.request("r2", 1000, 10)))
	urgent := w.request("r3", 1000, 10)
	urgent.Urgency = -1
	w.NoErr(e.Open(urgent))
	w.run(time.Second)
	w.Equal(w.events, []string{"r1 event 20ms", "r1 end 20ms", "r3 event 40ms", "r3 end 40ms", "r2 event 60ms", "r2 end 60ms"})
}

// When memory is exceeded the newest request is preempted and prefilled again with the
// tokens that it has decoded.
func TestPreemption(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	w.NoErr(e.Open(w.request("r", 5000, 100)))
	w.NoErr(e.Open(w.request("s", 4960, 100)))
	w.run(2 * time.Second)
	w.Equal(e.Use().Preempted, 1)
	ends := 0
	for _, n := range w.events {
		if len(n) > 5 && n[2:5] == "end" {
			ends++
		}
	}
	w.Equal(ends, 2) // both are answered in full
	events := 0
	for _, n := range w.events {
		if n[0] == 's' && n[2:7] == "event" {
			events++
		}
	}
	w.Equal(events, 10) // no token is decoded twice
}

// A reservation holds memory until it expires, can wait for memory, and can be renewed.
func TestReservations(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	state, free, err := e.Reserve("t1", 6000, time.Second, false)
	w.NoErr(err)
	w.Equal(state, passengine.Held)
	w.Equal(free, 4000)
	_, _, err = e.Reserve("t2", 6000, time.Second, false)
	w.True(fault.Is(err, passengine.KindFull))
	state, free, err = e.Reserve("t2", 6000, 3*time.Second, true)
	w.NoErr(err)
	w.Equal(state, passengine.Waiting)
	w.Equal(free, 0)
	w.run(900 * time.Millisecond)
	_, _, err = e.Reserve("t1", 6000, time.Second, false) // renewed
	w.NoErr(err)
	w.run(500 * time.Millisecond)
	w.Equal(e.Tickets()[0].ID, "t1")
	w.run(600 * time.Millisecond)
	w.Equal(len(e.Tickets()), 0) // t2 expired while it waited: MaxHold is two seconds
	_, _, err = e.Reserve("t3", 10_001, time.Second, true)
	w.True(fault.Is(err, passengine.KindInvalid))
}

// A prompt larger than an engine's memory needs reservations at helpers. The expiry of one
// cuts the request off; the end of the request keeps the reservations.
func TestPromptOverReservations(t *testing.T) {
	w := newWorld(t)
	a, b := w.engine("a"), w.engine("b")
	large := func(id string, output int) *passengine.Request {
		r := w.request(id, 15_000, output)
		r.Helpers = []passengine.Helper{{Engine: b, Ticket: "t"}}
		return r
	}
	w.True(fault.Is(a.Open(w.request("r0", 15_000, 10)), passengine.KindFull))
	w.True(fault.Is(a.Open(large("r0", 10)), passengine.KindFull))
	_, _, err := b.Reserve("t", 8000, time.Second, false)
	w.NoErr(err)
	w.NoErr(a.Open(large("r1", 20)))
	w.True(fault.Is(a.Open(large("r2", 20)), passengine.KindHelper)) // the reservation is in use
	w.run(500 * time.Millisecond)
	w.Equal(w.events, []string{"r1 event 85ms", "r1 event 95ms", "r1 end 95ms"})
	w.Equal(b.Tickets()[0].State, passengine.Held)
	w.NoErr(a.Open(large("r3", 2000)))
	w.run(time.Second)
	w.Equal(w.events[len(w.events)-1], "r3 cut 1s")
}

// Reports are as old as the engine's lag.
func TestReportLags(t *testing.T) {
	w := newWorld(t)
	e := w.engine("a")
	_, err := e.Report()
	w.NoErr(err)
	w.NoErr(e.Open(w.request("r", 5000, 2000)))
	w.run(100 * time.Millisecond)
	r, err := e.Report()
	w.NoErr(err)
	w.Equal(r.Running, 0)
	w.run(250 * time.Millisecond)
	r, err = e.Report()
	w.NoErr(err)
	w.Equal(r.Running, 1)
	w.run(3 * time.Second)
}
