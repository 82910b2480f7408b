package logservice_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/logservice"
)

func TestReadWaitsForARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := logservice.NewLog()
		go func() {
			time.Sleep(time.Second)
			_, _, _ = l.Append(context.Background(), "config", [][]byte{[]byte("a"), []byte("b")})
		}()
		start := time.Now()
		recs, b, err := l.Read(context.Background(), "config", 1, 10, 5*time.Second)
		is.NoErr(err)
		is.Equal(len(recs), 2)
		is.Equal(b.Next, uint64(3))
		is.Equal(time.Since(start), time.Second)
	})
}

func TestSwitches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		l := logservice.NewLog()
		rec := [][]byte{[]byte("a")}

		l.LoseAnswers(1)
		_, _, err := l.Append(ctx, "s", rec)
		is.True(fault.Is(err, logservice.KindAnswerLost))
		recs, _, err := l.Read(ctx, "s", 1, 10, 0)
		is.NoErr(err)
		is.Equal(len(recs), 1) // the lost append took effect

		l.SetOutage(true)
		_, _, err = l.Append(ctx, "s", rec)
		is.True(fault.Is(err, logservice.KindUnavailable))
		l.SetOutage(false)

		l.Expire("s", 2)
		_, b, err := l.Read(ctx, "s", 1, 10, 0)
		is.True(fault.Is(err, logservice.KindGone))
		is.Equal(b.Earliest, uint64(2))

		l.SetRate(1)
		_, _, err = l.Append(ctx, "s", rec)
		is.NoErr(err)
		_, _, err = l.Append(ctx, "s", rec)
		is.True(fault.Is(err, logservice.KindRateLimited))

		l.Reset("2")
		b, err = l.Bounds(ctx, "s")
		is.NoErr(err)
		is.Equal(b, logservice.Bounds{Epoch: "2", Earliest: 1, Next: 1})
	})
}

func TestRetentionDropsOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		l := logservice.NewLog()
		l.SetRetention(time.Minute)
		_, _, err := l.Append(ctx, "s", [][]byte{[]byte("old")})
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		_, _, err = l.Append(ctx, "s", [][]byte{[]byte("new")})
		is.NoErr(err)
		_, b, err := l.Read(ctx, "s", 1, 10, 0)
		is.True(fault.Is(err, logservice.KindGone))
		is.Equal(b.Earliest, uint64(2))
	})
}
