package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/logcalls"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

const stream = "s"

func appends(l *store.Store) func(context.Context, [][]byte) (uint64, error) {
	return func(ctx context.Context, recs [][]byte) (uint64, error) {
		return logcalls.Append(ctx, l, stream, recs)
	}
}

func read(l *store.Store) func(context.Context, uint64, time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
		return logcalls.Read(ctx, l, stream, from, wait)
	}
}

// withAppender runs f with an appender on a stand-in store, in a synctest bubble.
func withAppender(t *testing.T, cfg logservice.AppenderConfig, f func(is *is.I, l *store.Store, a *logservice.Appender)) {
	synctest.Test(t, func(t *testing.T) {
		l := store.New()
		if cfg.Append == nil {
			cfg.Append = appends(l)
		}
		a := logservice.NewAppender(cfg)
		defer a.Close()
		f(is.New(t), l, a)
	})
}

func TestRecordsQueuedDuringACallFormOneGroup(t *testing.T) {
	withAppender(t, logservice.AppenderConfig{}, func(is *is.I, l *store.Store, a *logservice.Appender) {
		l.SetDelay(100 * time.Millisecond)
		var wg sync.WaitGroup
		offsets := make([]uint64, 50)
		for i := range offsets {
			wg.Go(func() {
				if i > 0 {
					time.Sleep(time.Millisecond)
				}
				off, err := a.Append(context.Background(), fmt.Append(nil, i))
				is.NoErr(err)
				offsets[i] = off
			})
		}
		wg.Wait()
		is.Equal(l.Appends(), uint64(2)) // the first record alone, the others in one group
		recs, _, err := l.Read(context.Background(), stream, 0, 1<<20, 0)
		is.NoErr(err)
		for i, off := range offsets {
			is.Equal(string(recs[off-1].Data), fmt.Sprint(i)) // each caller got the offset of its own record
		}
	})
}

func TestOutageIsRetriedUntilTheDeadline(t *testing.T) {
	withAppender(t, logservice.AppenderConfig{}, func(is *is.I, l *store.Store, a *logservice.Appender) {
		l.SetOutage(true)
		_, err := a.Append(context.Background(), []byte("a"))
		is.True(fault.Is(err, logservice.KindUnavailable))
		time.AfterFunc(time.Second, func() { l.SetOutage(false) })
		off, err := a.Append(context.Background(), []byte("b"))
		is.NoErr(err)
		is.Equal(off, uint64(1)) // "a" was not appended
		time.Sleep(time.Minute)
		b, err := l.Bounds(context.Background(), stream)
		is.NoErr(err)
		is.Equal(b.Next, uint64(1)) // the store's offsets start at 0
	})
}

func TestLostResponseIsUnknownAndNotRetried(t *testing.T) {
	withAppender(t, logservice.AppenderConfig{}, func(is *is.I, l *store.Store, a *logservice.Appender) {
		l.LoseAnswers(1)
		_, err := a.Append(context.Background(), []byte("a"))
		is.True(fault.Is(err, logservice.KindUnknown))
		time.Sleep(time.Minute)
		is.Equal(l.Appends(), uint64(1))
	})
}

func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	cfg := logservice.AppenderConfig{Append: func(context.Context, [][]byte) (uint64, error) { return 0, errors.New("?") }}
	withAppender(t, cfg, func(is *is.I, _ *store.Store, a *logservice.Appender) {
		_, err := a.Append(context.Background(), []byte("a"))
		is.True(fault.Is(err, logservice.KindUnknown))
	})
}

func TestCancelledAppendReportsItsOutcome(t *testing.T) {
	withAppender(t, logservice.AppenderConfig{}, func(is *is.I, l *store.Store, a *logservice.Appender) {
		l.SetDelay(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		ch := make(chan error)
		go func() {
			_, err := a.Append(ctx, []byte("sent"))
			ch <- err
		}()
		synctest.Wait()
		_, err := a.Append(ctx, []byte("waiting"))
		is.True(fault.Is(err, logservice.KindUnavailable)) // not sent
		is.True(fault.Is(<-ch, logservice.KindUnknown))
		time.Sleep(time.Minute)
		b, err := l.Bounds(context.Background(), stream)
		is.NoErr(err)
		is.Equal(b.Next, uint64(1)) // only the record with the unknown outcome was appended
	})
}

func TestFullQueueRejectsRecords(t *testing.T) {
	withAppender(t, logservice.AppenderConfig{Queue: 1}, func(is *is.I, l *store.Store, a *logservice.Appender) {
		l.SetDelay(time.Second)
		var wg sync.WaitGroup
		var refused atomic.Int32
		for range 10 {
			wg.Go(func() {
				if _, err := a.Append(context.Background(), []byte("x")); fault.Is(err, logservice.KindRateLimited) {
					refused.Add(1)
				}
			})
			synctest.Wait()
		}
		wg.Wait()
		is.Equal(refused.Load(), int32(8)) // one is in flight and one queued
	})
}

func TestLimiterBoundsTheRateOverAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		lim := logservice.NewLimiter(20)
		var wg sync.WaitGroup
		for range 2 {
			a := logservice.NewAppender(logservice.AppenderConfig{Append: appends(l), Limiter: lim})
			defer a.Close()
			for range 4 {
				wg.Go(func() {
					for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
						_, err := a.Append(context.Background(), []byte("x"))
						is.NoErr(err)
					}
				})
			}
		}
		wg.Wait()
		is.True(l.Appends() <= 20*10+10+2) // rate, burst and the calls in flight at the end
		is.True(l.Appends() >= 20*10)
	})
}

func TestRateLimitedCallsReduceTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		l.SetRate(2)
		lim := logservice.NewLimiter(50)
		a := logservice.NewAppender(logservice.AppenderConfig{Append: appends(l), Limiter: lim, RetryFor: 10 * time.Second})
		defer a.Close()
		for range 20 {
			_, err := a.Append(context.Background(), []byte("x"))
			is.NoErr(err) // rate-limited calls are retried
		}
		is.True(lim.Rate() < 50)
		b, err := l.Bounds(context.Background(), stream)
		is.NoErr(err)
		is.Equal(b.Next, uint64(20))
		time.Sleep(time.Minute)
		is.Equal(lim.Rate(), 50.0)
	})
}
