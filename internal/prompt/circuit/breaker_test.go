package circuit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
)

var start = time.Unix(1_000, 0)

// noJitter makes the open times exact.
func noJitter() float64 { return 1 }

func open(b *circuit.Breaker, now time.Time) {
	b.Failed(now)
	b.Failed(now)
}

func TestOpensAfterConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	b := circuit.New(noJitter)
	b.Failed(start)
	b.Succeeded(start)
	b.Failed(start)
	is.True(b.Allows(start)) // a success resets the count
	b.Failed(start)
	is.True(!b.Allows(start))
	is.Equal(b.State(), circuit.Open)
}

func TestSuccessfulProbeClosesCircuit(t *testing.T) {
	is := is.New(t)
	b := circuit.New(noJitter)
	open(b, start)
	later := start.Add(500 * time.Millisecond)
	is.True(b.Allows(later))
	b.Sent(later)
	is.True(!b.Allows(later)) // one probe at a time
	b.Succeeded(later)
	is.True(b.Allows(later))
	is.Equal(b.State(), circuit.Closed)
}

func TestLostProbeTimesOut(t *testing.T) {
	is := is.New(t)
	b := circuit.New(noJitter)
	open(b, start)
	later := start.Add(time.Second)
	b.Sent(later)
	is.True(!b.Allows(later.Add(9 * time.Second)))
	is.True(b.Allows(later.Add(10 * time.Second)))
}

func TestFlappingEngineWaitsLonger(t *testing.T) {
	is := is.New(t)
	b := circuit.New(noJitter)
	now, waits := start, []time.Duration{}
	for range 8 {
		open(b, now)
		from := now
		for !b.Allows(now) {
			now = now.Add(100 * time.Millisecond)
		}
		waits = append(waits, now.Sub(from))
		b.Sent(now)
		b.Succeeded(now)
	}
	for i := 1; i < len(waits); i++ {
		is.True(waits[i] >= waits[i-1])
	}
	is.Equal(waits[len(waits)-1], 30*time.Second)

	now = now.Add(31 * time.Second) // longer than stableFor
	b.Succeeded(now)
	open(b, now)
	is.True(b.Allows(now.Add(15 * time.Second)))
}
