package pause

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(t.Context(), time.Minute))
		is.Equal(time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(start), time.Minute+time.Second)
		is.True(!For(ctx, 0)) // ctx is already done
	})
}

// Guards against a timer for a zero wait: many timers at once in one synctest bubble crash
// the race detector.
func TestForZeroCreatesNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var wg sync.WaitGroup
		var completed atomic.Int64
		for range 16 {
			wg.Go(func() {
				for range 2000 {
					if For(t.Context(), 0) {
						completed.Add(1)
					}
				}
			})
		}
		wg.Wait()
		is.Equal(completed.Load(), int64(16*2000))
	})
}

func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		end, stop := Limit(time.Minute)
		<-end
		stop()
		is.Equal(time.Since(start), time.Minute)
		end, stop = Limit(0)
		stop()
		is.True(end == nil) // no timer was created
	})
}
