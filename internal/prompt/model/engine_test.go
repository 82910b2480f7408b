package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
)

var now = time.Unix(1_000, 0)

func newEngine() *model.Engine {
	return model.NewEngine("engine-1", "a", 400_000, 20_000, circuit.New(func() float64 { return 1 }))
}

func TestReportIsCorrectedByOwnSends(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	e.Report(model.Report{At: now, PrefillTokens: 10_000, MemoryUsed: 50_000})
	s := e.Send(now.Add(time.Second), length.Short, 2_000, 2_500)
	is.Equal(e.Free(), 400_000-52_500)
	is.Equal(e.TotalBacklog(now.Add(time.Second)), 2_000) // the reported backlog is prefilled by now

	e.Report(model.Report{At: now.Add(2 * time.Second), PrefillTokens: 500, MemoryUsed: 52_500})
	is.Equal(e.Free(), 400_000-52_500) // counted once
	s.FirstToken()
	s.Done(now.Add(3 * time.Second))
	is.Equal(e.Free(), 400_000-50_000)
	e.Report(model.Report{At: now.Add(4 * time.Second), MemoryUsed: 50_000})
	is.Equal(e.Free(), 400_000-50_000)
	is.Equal(e.OwnTokens(), 0)
}

func TestShortPromptsDoNotQueueBehindLongOnes(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	e.Report(model.Report{At: now, PrefillTokens: 300_000})
	e.Send(now, length.Long, 200_000, 200_000)
	is.True(e.Backlog(now, length.Short) <= 8_000)
	is.True(e.Backlog(now, length.Long) >= 300_000)
	is.True(e.RunsBig(now))
}

func TestFirstTokenEndsThePrefill(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	s := e.Send(now, length.Large, 60_000, 61_000)
	is.True(e.RunsBig(now))
	s.FirstToken()
	s.FirstToken()
	later := now.Add(time.Second)
	e.Report(model.Report{At: later, MemoryUsed: 61_000})
	is.True(!e.RunsBig(later))
	is.Equal(e.Backlog(later, length.Long), 0)
}

func TestSlowEngineIsPredictedSlow(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	for range 30 {
		e.Observe(now, 1.1) // noise
	}
	is.Equal(e.Slowdown(), 1.0)
	for range 30 {
		e.Observe(now, 4)
	}
	is.True(e.Slowdown() > 3)
	is.True(e.Rate() < 20_000/3)
}

func TestUnusableEngines(t *testing.T) {
	is := is.New(t)
	e := newEngine()
	is.True(e.Usable(now))
	e.Report(model.Report{At: now, Leaving: true})
	is.True(!e.Usable(now))
	e.Report(model.Report{At: now, Failures: 3})
	is.True(!e.Usable(now))
	e.Report(model.Report{At: now})
	e.Circuit().Failed(now)
	e.Circuit().Failed(now)
	is.True(!e.Usable(now))
}
