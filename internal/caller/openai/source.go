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
	maxOpenAttempts = 3 // engines tried per open before the prompt runs on one
	maxReplays      = 3 // further engines tried after the first one was lost
	// maxResumes is the number of attempts to resume a stream at an engine that doesn't
	// answer.
	maxResumes  = 2
	resumeDelay = 50 * time.Millisecond
	// maxCutConns is how many connections in a row may end without a token.
	maxCutConns = 6

	// A read times out after minReadTimeout plus twice the expected prefill before the
	// first token, and after readTimeoutGaps mean gaps, at least minReadTimeout, later.
	// Each read without a token doubles the timeout, up to maxReadTimeout or the
	// undoubled timeout if that is longer.
	minReadTimeout  = time.Second
	maxReadTimeout  = 15 * time.Second
	readTimeoutGaps = 10
	gapWeight       = 8 // the newest gap's share of the mean is 1/gapWeight
	// defaultPrefillRate is assumed if no engine's rate is configured, in tokens per second.
	defaultPrefillRate = 8_000
)

// run is one attempt to run a prompt at one engine.
type run struct {
	engine  string
	attempt int
	stream  string
	open    func(ctx context.Context, from int) (*engine.Stream, error)
	resume  func(ctx context.Context, at engine.Position) (*engine.Stream, error)
	cancel  func(ctx context.Context) error
	holds   func(ctx context.Context) ([]engine.HoldInfo, error)
	// release releases the hold by which this entry serves a stream that another entry
	// opened. It is nil if this entry opened the stream.
	release    func(ctx context.Context) error
	dropIdle   func() // closes idle connections to the engine
	firstToken func() // called on the first token
	done       func(placement.Outcome)
}

// sourceSeams are a source's dependencies on the rest of the entry.
type sourceSeams struct {
	place  func(ctx context.Context, tried map[string]bool) (*run, error)
	cancel func(r *run, cause error) // cancels a run at its engine in the background
	opened func(r *run)              // called when the response is read from a new run
}

// source reads the pieces of one response in order, each token once. It reconnects
// and fails over to other engines as needed. It is not safe for concurrent use.
type source struct {
	seams      sourceSeams
	replayable bool // another engine may continue after tokens were read, as it produces the same ones
	tried      map[string]bool
	run        *run
	stream     *engine.Stream
	position   engine.Position
	mayHaveRun bool // an engine may have run the prompt
	finished   bool

	expectedPrefill time.Duration // lengthens the timeout before the first token
	meanGap         time.Duration // moving average of the time between tokens
	lastToken       time.Time     // when the newest token came; zero before the run's first
	silentReads     int           // reads that timed out since the newest token
	cutConns        int           // connections that ended since the newest token

	counts  engine.Counts
	resumes int
	replays int
}

func newSource(seams sourceSeams, replayable bool, prefill time.Duration) *source {
	return &source{seams: seams, replayable: replayable, expectedPrefill: prefill, tried: map[string]bool{}}
}

// next returns the next piece. After an error the source must be closed.
func (s *source) next(ctx context.Context) (engine.Piece, error) {
	for {
		if s.stream == nil {
			if err := runOnNewStack(func() error { return s.connect(ctx) }); err != nil {
				return engine.Piece{}, err
			}
		}
		p, err := s.stream.Next(s.readTimeout())
		if err == nil && p.Finish == finishCancelled {
			if err = runOnNewStack(func() error { return s.cancelled(ctx) }); err != nil {
				return engine.Piece{}, err
			}
			continue
		}
		if err == nil {
			s.record(&p)
			return p, nil
		}
		s.disconnect()
		if ctx.Err() != nil {
			return engine.Piece{}, err
		}
		if fault.Is(err, engine.KindSilent) {
			s.silentReads++
			s.run.dropIdle()
			continue
		}
		cut := err // a closure over err itself would allocate on every token
		if err := runOnNewStack(func() error { return s.handleCut(ctx, cut) }); err != nil {
			return engine.Piece{}, err
		}
	}
}

// runOnNewStack runs f on a new goroutine and waits for it. Calls that need a deep
// stack go through it, as a stream's goroutine would keep its grown stack while the
// stream is open.
func runOnNewStack(f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	return <-done
}

// handleCut backs off exponentially after connections that ended without a token, and
// fails over after maxCutConns of them.
func (s *source) handleCut(ctx context.Context, err error) error {
	if s.cutConns == maxCutConns {
		return s.failover(ctx, err)
	}
	if s.cutConns > 0 {
		pause.For(ctx, resumeDelay<<(s.cutConns-1))
	}
	s.cutConns++
	return nil
}

func (s *source) record(p *engine.Piece) {
	now := time.Now()
	if s.lastToken.IsZero() {
		s.run.firstToken()
	} else {
		s.updateGap(now.Sub(s.lastToken))
	}
	s.lastToken, s.silentReads, s.cutConns = now, 0, 0
	s.position = s.stream.At()
	s.finished = p.Finish != ""
}

func (s *source) updateGap(gap time.Duration) {
	if s.meanGap == 0 {
		s.meanGap = gap
		return
	}
	s.meanGap += (gap - s.meanGap) / gapWeight
}

// readTimeout returns the time limit of the next read.
func (s *source) readTimeout() time.Duration {
	d := minReadTimeout + 2*s.expectedPrefill
	if !s.lastToken.IsZero() {
		d = max(minReadTimeout, readTimeoutGaps*s.meanGap)
	}
	limit := max(maxReadTimeout, d)
	for range s.silentReads {
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

// connect opens the stream, or resumes it at its engine, or fails over to another
// engine.
func (s *source) connect(ctx context.Context) error {
	if s.run == nil {
		return s.open(ctx)
	}
	err := s.resume(ctx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return s.failover(ctx, err)
}

// cancelled handles a stream that was cancelled at its engine. Without a cancel mark
// it was no caller's cancel: an orphan collector that could not reach this entry took
// the stream for an orphan, and the response continues at another engine.
func (s *source) cancelled(ctx context.Context) error {
	s.disconnect()
	holds, err := s.run.holds(ctx)
	if err != nil || orphan.HasCancelMarker(holds, s.run.stream) {
		return errCancelled
	}
	return s.failover(ctx, errStreamCancelled)
}

// failover cancels the run and continues at another engine. It returns err if the
// tokens read so far can't be reproduced there, or after maxReplays.
func (s *source) failover(ctx context.Context, err error) error {
	s.seams.cancel(s.run, err)
	s.run = nil
	if s.position.Pos > 0 && !s.replayable || s.replays == maxReplays {
		return err
	}
	s.replays++
	s.position.Incarnation = 0
	return s.open(ctx)
}

func (s *source) resume(ctx context.Context) error {
	var err error
	for i := range maxResumes {
		if i > 0 {
			pause.For(ctx, resumeDelay)
		}
		s.resumes++
		if s.stream, err = s.run.resume(ctx, s.position); err == nil {
			return nil
		}
		s.stream = nil
		if fault.Is(err, engine.KindUnknownStream) || fault.Is(err, engine.KindRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// open places the prompt and opens a stream. It tries the next engine if one refused
// the request or did not receive it.
func (s *source) open(ctx context.Context) error {
	var err error
	for range maxOpenAttempts {
		var r *run
		if r, err = s.seams.place(ctx, s.tried); err != nil {
			return err
		}
		s.tried[r.engine] = true
		if s.stream, err = r.open(ctx, s.position.Pos); err == nil {
			s.start(r)
			return nil
		}
		s.stream = nil
		if fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent) {
			r.done(placement.Outcome{Err: err})
			continue
		}
		s.start(r) // it may be running: connect tries to resume it
		if ctx.Err() != nil {
			return err
		}
		return s.connect(ctx)
	}
	return err
}

func (s *source) start(r *run) {
	s.run, s.mayHaveRun = r, true
	s.lastToken, s.silentReads, s.cutConns = time.Time{}, 0, 0
	s.seams.opened(r)
}

// close ends the source, with the usage of a complete response or with the error that
// cut it off. An unfinished run is cancelled at its engine unless keep is set.
func (s *source) close(usage *engine.Usage, err error, keep bool) {
	s.disconnect()
	if s.run == nil {
		return
	}
	r := s.run
	s.run = nil
	switch {
	case s.finished && err == nil:
		r.done(placement.Outcome{Usage: usage})
	case s.finished, keep:
		r.done(placement.Outcome{Err: err})
	default:
		s.seams.cancel(r, err)
	}
}

var (
	errCancelled       = errors.New("caller cancelled the response")
	errStreamCancelled = errors.New("stream was cancelled, but not by its caller")
)
