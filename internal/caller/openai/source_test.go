package openai

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// TestRunIsGivenUpAfterMaxCutConns checks that a run whose connections all end without
// a token is given up after maxCutConns retries with backoff; without the limit the
// source would reconnect forever.
func TestRunIsGivenUpAfterMaxCutConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		opened, cancelled := 0, 0
		empty := func() (*engine.Stream, error) {
			opened++
			return engine.NewStream(engine.Carrier{
				Read:  func([]byte, time.Duration) (int, error) { return 0, io.EOF },
				Close: func() {},
			}, "s", engine.Position{}), nil
		}
		s := newSource(sourceSeams{
			place: func(context.Context, map[string]bool) (*run, error) {
				return &run{
					engine: "e", stream: "s", dropIdle: func() {}, firstToken: func() {}, done: func(placement.Outcome) {},
					open:   func(context.Context, int) (*engine.Stream, error) { return empty() },
					resume: func(context.Context, engine.Position) (*engine.Stream, error) { return empty() },
				}, nil
			},
			cancel: func(*run, error) { cancelled++ },
			opened: func(*run) {},
		}, true, 0)
		start := time.Now()
		_, err := s.next(t.Context())
		is.True(fault.Is(err, engine.KindLost))
		is.Equal(opened, (1+maxReplays)*(1+maxCutConns))
		is.Equal(cancelled, 1+maxReplays)
		is.True(time.Since(start) > time.Second)
	})
}
