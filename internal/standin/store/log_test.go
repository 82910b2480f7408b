package store_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

func TestReadWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		go func() {
			time.Sleep(time.Second)
			_, _, _ = l.Append(context.Background(), "config", [][]byte{[]byte("a"), []byte("b")})
		}()
		start := time.Now()
		recs, b, err := l.Read(context.Background(), "config", 0, 1<<20, 5*time.Second)
		is.NoErr(err)
		is.Equal(len(recs), 2)
		is.Equal(b.Next, uint64(2))
		is.Equal(time.Since(start), time.Second)
	})
}

func TestFaultInjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		l := store.New()
		rec := [][]byte{[]byte("a")}

		l.LoseAnswers(1)
		_, _, err := l.Append(ctx, "s", rec)
		is.True(fault.Is(err, store.KindAnswerLost))
		recs, _, err := l.Read(ctx, "s", 0, 1<<20, 0)
		is.NoErr(err)
		is.Equal(len(recs), 1) // the lost append took effect

		l.SetOutage(true)
		_, _, err = l.Append(ctx, "s", rec)
		is.True(fault.Is(err, store.KindUnavailable))
		l.SetOutage(false)

		l.Expire("s", 1)
		_, b, err := l.Read(ctx, "s", 0, 1<<20, 0)
		is.True(fault.Is(err, store.KindGone))
		is.Equal(b.First, uint64(1))

		l.SetRate(1)
		_, _, err = l.Append(ctx, "s", rec)
		is.NoErr(err)
		_, _, err = l.Append(ctx, "s", rec)
		is.True(fault.Is(err, store.KindRateLimited))

		l.Reset("2")
		b, err = l.Bounds(ctx, "s")
		is.NoErr(err)
		is.Equal(b, store.Bounds{Epoch: "2"})
	})
}

func TestRetentionExpiresOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		l := store.New()
		l.SetRetention(time.Minute)
		_, _, err := l.Append(ctx, "s", [][]byte{[]byte("old")})
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		_, _, err = l.Append(ctx, "s", [][]byte{[]byte("new")})
		is.NoErr(err)
		_, b, err := l.Read(ctx, "s", 0, 1<<20, 0)
		is.True(fault.Is(err, store.KindGone))
		is.Equal(b.First, uint64(1))
	})
}

// Guards against a timer for reads that don't wait: many timers at once in one synctest
// bubble crash the race detector.
func TestReadWithoutWaitCreatesNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		var wg sync.WaitGroup
		var empty atomic.Int64
		for range 16 {
			wg.Go(func() {
				for range 2000 {
					if recs, _, err := l.Read(context.Background(), "config", 0, 1<<20, 0); err == nil && len(recs) == 0 {
						empty.Add(1)
					}
				}
			})
		}
		wg.Wait()
		is.Equal(empty.Load(), int64(16*2000))
	})
}
