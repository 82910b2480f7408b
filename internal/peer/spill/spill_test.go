package spill

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// world is a failure domain b that tells what it can take over.
type world struct {
	down    bool
	timeMS  uint64
	memoryK uint64
}

func (w *world) summaries() []*memberwire.Summary {
	if w.down {
		return nil
	}
	return []*memberwire.Summary{{
		Domain: "b", TimeMs: w.timeMS, Spare: []*memberwire.Spare{{Deployment: "assistant", Engines: 4, MemoryK: w.memoryK}},
	}}
}

// send counts the prompts of 1000 tokens that entries may send until a new summary.
func (w *world) send(entries []*Budget) (prompts int) {
	w.timeMS++
	for _, b := range entries {
		for b.Take("b", "assistant", 1000) {
			prompts++
		}
	}
	return prompts
}

func TestSpillStaysWithinWhatIsSpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{timeMS: 1, memoryK: 1000}
		var entries []*Budget
		for range 5 {
			entries = append(entries, New(Seams{Summaries: w.summaries, Entries: func() int { return 5 }}))
		}
		first := w.send(entries)
		is.True(first > 0 && first <= 50) // a tenth of the part at first
		time.Sleep(rampTime)
		is.Equal(w.send(entries), 500)
		for _, b := range entries {
			is.True(!b.Take("b", "assistant", 1000)) // until it tells anew
			is.True(!b.Take("b", "other", 1))
		}
		w.memoryK = 0
		is.Equal(w.send(entries), 0)
		is.Equal(entries[0].State().Sent, int64(first/5+100))
	})
}

func TestHealingBringsNoStampede(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{timeMS: 1, memoryK: 1000}
		b := []*Budget{New(Seams{Summaries: w.summaries, Entries: func() int { return 1 }})}
		w.send(b)
		time.Sleep(rampTime)
		is.Equal(w.send(b), 500)
		w.down = true // cut off
		is.Equal(w.send(b), 0)
		time.Sleep(time.Minute)
		w.down = false
		is.Equal(w.send(b), 50)
		last := 0
		for range 6 {
			time.Sleep(rampTime / 6)
			n := w.send(b)
			is.True(n > last)
			last = n
		}
		is.Equal(last, 500)
	})
}

func TestFailureDomainNeverHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{down: true}
		b := New(Seams{Summaries: w.summaries, Entries: func() int { return 1 }})
		is.True(b.Take("c", "assistant", 1000))
		is.True(!b.Take("c", "assistant", 1000))
		time.Sleep(strangerEvery)
		is.True(b.Take("c", "assistant", 1000))
	})
}
