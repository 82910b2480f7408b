package estimate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

func TestAverageDecaysWithoutSamples(t *testing.T) {
	is := is.New(t)
	m := estimate.NewMoving(10)
	now := time.Unix(0, 0)
	for range 10 {
		m.AddAt(now, 100)
	}
	for range 9 {
		now = now.Add(time.Second)
		m.Fade(now, 10*time.Second, 1)
	}
	is.Equal(m.Mean(0), 100.0) // no decay within the idle time: samples may be rare
	now = now.Add(81 * time.Second)
	m.Fade(now, 10*time.Second, 1)
	is.True(m.Mean(0) < 1.1)

	m.AddAt(now, 100)
	high := m.Mean(0)
	for range 100 { // regular samples prevent the decay
		m.AddAt(now, high)
		now = now.Add(10 * time.Second)
		m.Fade(now, 10*time.Second, 1)
	}
	is.True(m.Mean(0) > high-0.001 && m.Mean(0) < high+0.001)
}
