package openai

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

const (
	maxOpens   = 3 // engines that are asked to run a prompt before one does
	maxReplays = 3 // engines that an answer goes on at after its first one was lost
	// maxResumes is how often a stream is looked for at an engine that doesn't answer.
	maxResumes  = 2
	resumeDelay = 50 * time.Millisecond
	// maxCuts is how many connections in a row may end without a token.
	maxCuts = 6

	// A read may take silentFloor and twice the expected prefill before the first
	// token, and gapsAllowed gaps after it. Each read without a token doubles it.
	silentFloor = time.Second
	silentCap   = 15 * time.Second
	gapsAllowed = 10
	gapWeight   = 8 // of the mean gap so far against the newest one
	// prefillRate stands for an engine whose rate nobody told, in tokens a second.
	prefillRate = 8_000
)

// run is one try to run a prompt at one engine.
type run struct {
	engine  string
	attempt int
	stream  string
	open    func(ctx context.Context, from int) (*engine.Stream, error)
	resume  func(ctx context.Context, at engine.Position) (*engine.Stream, error)
	cancel  func(ctx context.Context) error
	holds   func(ctx context.Context) ([]engine.HoldInfo, error)
	// release ends this entry's own sign that it serves a stream it did not open; it may be nil.
	release func(ctx context.Context) error
	drop    func() // closes idle connections to the engine
	first   func() // notes the first token
	done    func(placement.Outcome)
}

// sourceSeams are what a source asks of the rest of the entry.
type sourceSeams struct {
	place  func(ctx context.Context, tried map[string]bool) (*run, error)
	cancel func(r *run, cause error) // ends a run at its engine in the background
	opened func(r *run)              // notes that the answer goes on at the run
}

// source reads one answer, in order and each token once, whatever becomes of the
// connections and the engines. It belongs to one goroutine.
type source struct {
	seams  sourceSeams
	replay bool // the answer may go on at another engine once a token was read
	tried  map[string]bool
	run    *run
	stream *engine.Stream
	at     engine.Position
	sent   bool // a run may have run
	ended  bool

	prefill  time.Duration // expected
	gap      time.Duration // mean time between tokens
	last     time.Time     // of the newest token
	silences int           // reads without a token since the last one
	cuts     int           // connections that ended without a token since the last one

	counts  engine.Counts
	resumes int
	replays int
}

func newSource(seams sourceSeams, replay bool, prefill time.Duration) *source {
	return &source{seams: seams, replay: replay, prefill: prefill, tried: map[string]bool{}}
}

// next returns the next piece. An error ends the source; close must follow.
func (s *source) next(ctx context.Context) (engine.Piece, error) {
	for {
		if s.stream == nil {
			if err := apart(func() error { return s.connect(ctx) }); err != nil {
				return engine.Piece{}, err
			}
		}
		p, err := s.stream.Next(s.limit())
		if err == nil && p.Finish == finishCancelled {
			if err = apart(func() error { return s.cancelled(ctx) }); err != nil {
				return engine.Piece{}, err
			}
			continue
		}
		if err == nil {
			s.accept(&p)
			return p, nil
		}
		s.disconnect()
		if ctx.Err() != nil {
			return engine.Piece{}, err
		}
		if fault.Is(err, engine.KindSilent) {
			s.silences++
			s.run.drop()
			continue
		}
		cut := err // a closure over err would cost each token an allocation
		if err := apart(func() error { return s.wasCut(ctx, cut) }); err != nil {
			return engine.Piece{}, err
		}
	}
}

// apart runs what takes a deep stack on a goroutine of its own and waits for it: the
// stack of an open stream's goroutine stays small.
func apart(f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	return <-done
}

// wasCut waits longer after each connection that ended without a token, and gives
// the run up after maxCuts of them.
func (s *source) wasCut(ctx context.Context, err error) error {
	if s.cuts == maxCuts {
		return s.lost(ctx, err)
	}
	if s.cuts > 0 {
		pause.For(ctx, resumeDelay<<(s.cuts-1))
	}
	s.cuts++
	return nil
}

func (s *source) accept(p *engine.Piece) {
	now := time.Now()
	if s.last.IsZero() {
		s.run.first()
	} else {
		s.learn(now.Sub(s.last))
	}
	s.last, s.silences, s.cuts = now, 0, 0
	s.at = s.stream.At()
	s.ended = p.Finish != ""
}

func (s *source) learn(gap time.Duration) {
	if s.gap == 0 {
		s.gap = gap
		return
	}
	s.gap += (gap - s.gap) / gapWeight
}

// limit returns how long the next read may take.
func (s *source) limit() time.Duration {
	d := silentFloor + 2*s.prefill
	if !s.last.IsZero() {
		d = max(silentFloor, gapsAllowed*s.gap)
	}
	limit := max(silentCap, d)
	for range s.silences {
		if d *= 2; d > limit {
			return limit
		}
	}
	return d
}

func (s *source) disconnect() {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.counts.Add(s.stream.Counts())
	s.stream = nil
}

// connect finds the stream at its engine again, or goes on at another engine.
func (s *source) connect(ctx context.Context) error {
	if s.run == nil {
		return s.open(ctx)
	}
	err := s.resume(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return s.lost(ctx, err)
}

// cancelled goes on at another engine where nobody who may has cancelled the
// stream: a collector that could not reach this entry took it for an orphan.
func (s *source) cancelled(ctx context.Context) error {
	s.disconnect()
	holds, err := s.run.holds(ctx)
	if err != nil || orphan.HasCancelMarker(holds, s.run.stream) {
		return errCancelled
	}
	return s.lost(ctx, errEnded)
}

// lost gives the run up and goes on at another engine.
func (s *source) lost(ctx context.Context, err error) error {
	s.seams.cancel(s.run, err)
	s.run = nil
	if s.at.Pos > 0 && !s.replay || s.replays == maxReplays {
		return err
	}
	s.replays++
	s.at.Incarnation = 0
	return s.open(ctx)
}

func (s *source) resume(ctx context.Context) error {
	var err error
	for i := range maxResumes {
		if i > 0 {
			pause.For(ctx, resumeDelay)
		}
		s.resumes++
		if s.stream, err = s.run.resume(ctx, s.at); err == nil {
			return nil
		}
		s.stream = nil
		if fault.Is(err, engine.KindUnknownStream) || fault.Is(err, engine.KindRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// open places the prompt and opens a stream. Engines that ran nothing are passed over.
func (s *source) open(ctx context.Context) error {
	var err error
	for range maxOpens {
		var r *run
		if r, err = s.seams.place(ctx, s.tried); err != nil {
			return err
		}
		s.tried[r.engine] = true
		if s.stream, err = r.open(ctx, s.at.Pos); err == nil {
			s.start(r)
			return nil
		}
		s.stream = nil
		if fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent) {
			r.done(placement.Outcome{Err: err})
			continue
		}
		s.start(r) // it may run: connect looks for it
		if ctx.Err() != nil {
			return err
		}
		return s.connect(ctx)
	}
	return err
}

func (s *source) start(r *run) {
	s.run, s.sent = r, true
	s.last, s.silences, s.cuts = time.Time{}, 0, 0
	s.seams.opened(r)
}

// close ends the source: with the usage of a whole answer, or with the error that
// cut it, after which the engine is told unless keep is set.
func (s *source) close(usage *engine.Usage, err error, keep bool) {
	s.disconnect()
	if s.run == nil {
		return
	}
	r := s.run
	s.run = nil
	switch {
	case s.ended && err == nil:
		r.done(placement.Outcome{Usage: usage})
	case s.ended, keep:
		r.done(placement.Outcome{Err: err})
	default:
		s.seams.cancel(r, err)
	}
}

var (
	errCancelled = errors.New("the caller cancelled the answer")
	errEnded     = errors.New("the engine ended the stream for somebody else")
)
