package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const slots = 12

// measure adds samples with exponential times of a server with a base time and a knee, 2 ms apart.
func measure(s *Server, now *time.Time, rng *rand.Rand, n int, base time.Duration, knee float64) {
	for range n {
		running := 1 + float64(rng.IntN(slots))
		*now = now.Add(2 * time.Millisecond)
		s.Add(*now, running, time.Duration(rng.ExpFloat64()*float64(base)*max(1, running/knee)))
	}
}

// A lower limit must be found where there is one, and chance must not make one.
func TestKneeIsFoundOnlyWithEvidence(t *testing.T) {
	is := is.New(t)
	found, invented := 0, 0
	const runs = 100
	for seed := range uint64(runs) {
		rng, now := rand.New(rand.NewPCG(seed, 1)), time.Unix(1_000_000, 0)
		half, whole := New(slots), New(slots)
		measure(half, &now, rng, 400, 50*time.Millisecond, slots/2)
		measure(whole, &now, rng, 400, 50*time.Millisecond, slots)
		if k := half.Figures(now).Knee; k >= 4 && k <= 8 {
			found++
		}
		if whole.Figures(now).Knee < slots*2/3 {
			invented++
		}
	}
	t.Logf("half of the slots found in %d, a limit below two thirds invented in %d of %d runs", found, invented, runs)
	is.True(found >= 60)
	is.True(invented <= 15)
}

// Measurements of entries that each send little must add up.
func TestPeersMeasurementsAddUp(t *testing.T) {
	is := is.New(t)
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1_000_000, 0)
	s := New(slots)
	for i := range 100 {
		q := New(slots)
		measure(q, &now, rng, 4, 50*time.Millisecond, slots)
		s.Merge(string(rune('a'+i)), Load{Busy: 0.5, Points: q.Points(now)}, now)
	}
	f := s.Figures(now)
	is.True(f.Samples > 300)
	is.True(f.Base > 40*time.Millisecond && f.Base < 60*time.Millisecond)
	is.Equal(s.Others(), 50.0)
}

// What was learned must lose its weight, or a server that nobody uses would stay slow for ever.
func TestMeasurementsAge(t *testing.T) {
	is := is.New(t)
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1_000_000, 0)
	s := New(slots)
	measure(s, &now, rng, 200, 50*time.Millisecond, slots)
	s.Merge("other", Load{Busy: 2, Points: s.Points(now)}, now)
	is.True(s.Figures(now.Add(fitInterval)).Samples > 100)
	now = now.Add(10 * fadeTime)
	is.True(s.Figures(now).Samples < minSamples)
	is.Equal(s.Others(), 0.0)
	is.Equal(len(s.Points(now)), 0)
}

// A change of the speed must show after about as many requests as it takes to tell it from chance.
func TestChangeOfSpeedShowsAtOnce(t *testing.T) {
	is := is.New(t)
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1_000_000, 0)
	s := New(slots)
	measure(s, &now, rng, 400, 50*time.Millisecond, slots)
	s.Figures(now)
	now = now.Add(fitInterval)
	s.Figures(now)
	measure(s, &now, rng, 2*recentWindow, 400*time.Millisecond, slots)
	is.True(s.Figures(now.Add(fitInterval)).Base > 200*time.Millisecond)
}
