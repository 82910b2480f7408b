package spill

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// remoteDomain is a failure domain b that reports its spare capacity.
type remoteDomain struct {
	unreachable bool
	timeMS      uint64
	memoryK     uint64
}

func (w *remoteDomain) summaries() []*memberwire.Summary {
	if w.unreachable {
		return nil
	}
	return []*memberwire.Summary{{
		Domain: "b", TimeMs: w.timeMS, Spare: []*memberwire.Spare{{Deployment: "assistant", Engines: 4, MemoryK: w.memoryK}},
	}}
}

// sendUntilRefused publishes a new summary and returns how many prompts of 1000 tokens the
// entries may send until the next one.
func (w *remoteDomain) sendUntilRefused(entries []*Budget) (prompts int) {
	w.timeMS++
	for _, b := range entries {
		for b.Take("b", "assistant", 1000) {
			prompts++
		}
	}
	return prompts
}

func TestBudgetStaysWithinSpareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote := &remoteDomain{timeMS: 1, memoryK: 1000}
		var entries []*Budget
		for range 5 {
			entries = append(entries, New(Seams{Summaries: remote.summaries, Entries: func() int { return 5 }}))
		}
		first := remote.sendUntilRefused(entries)
		is.True(first > 0 && first <= 50) // the ramp starts at a tenth
		time.Sleep(rampDuration)
		is.Equal(remote.sendUntilRefused(entries), 500)
		for _, b := range entries {
			is.True(!b.Take("b", "assistant", 1000)) // refused until the next summary
			is.True(!b.Take("b", "other", 1))
		}
		remote.memoryK = 0
		is.Equal(remote.sendUntilRefused(entries), 0)
		is.Equal(entries[0].State().Sent, int64(first/5+100))
	})
}

func TestReconnectedDomainRampsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote := &remoteDomain{timeMS: 1, memoryK: 1000}
		b := []*Budget{New(Seams{Summaries: remote.summaries, Entries: func() int { return 1 }})}
		remote.sendUntilRefused(b)
		time.Sleep(rampDuration)
		is.Equal(remote.sendUntilRefused(b), 500)
		remote.unreachable = true // no recent summary
		is.Equal(remote.sendUntilRefused(b), 0)
		time.Sleep(time.Minute)
		remote.unreachable = false
		is.Equal(remote.sendUntilRefused(b), 50)
		last := 0
		for range 6 {
			time.Sleep(rampDuration / 6)
			n := remote.sendUntilRefused(b)
			is.True(n > last)
			last = n
		}
		is.Equal(last, 500)
	})
}

func TestUnknownFailureDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		remote := &remoteDomain{unreachable: true}
		b := New(Seams{Summaries: remote.summaries, Entries: func() int { return 1 }})
		is.True(b.Take("c", "assistant", 1000))
		is.True(!b.Take("c", "assistant", 1000))
		time.Sleep(unknownDomainInterval)
		is.True(b.Take("c", "assistant", 1000))
	})
}
