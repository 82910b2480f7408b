package logservice_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

// reader is a Follower that records the offsets it applies.
type reader struct {
	*logservice.Follower
	mu      sync.Mutex
	offsets []uint64
}

func (r *reader) applied() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.offsets)
}

func follow(t *testing.T, l *store.Store, change func(cfg *logservice.FollowerConfig)) *reader {
	r := &reader{}
	cfg := logservice.FollowerConfig{
		Stream: stream, Read: read(l), Log: log.New(io.Discard),
		Fold: func(recs []logservice.Record) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, rec := range recs {
				r.offsets = append(r.offsets, rec.Offset)
			}
		},
		Restore: func(context.Context, logservice.Bounds) (uint64, error) { return 0, nil },
	}
	if change != nil {
		change(&cfg)
	}
	r.Follower = logservice.NewFollower(cfg)
	t.Cleanup(r.Close)
	return r
}

func add(is *is.I, l *store.Store, n int) {
	for range n {
		_, _, err := l.Append(context.Background(), stream, [][]byte{[]byte("x")})
		is.NoErr(err)
	}
}

func TestFollowerAppliesInOrderAcrossAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		r := follow(t, l, nil)
		add(is, l, 3)
		time.Sleep(time.Second)
		l.SetOutage(true)
		time.Sleep(time.Minute)
		st := r.State()
		is.True(!st.Healthy)
		is.True(st.FailingFor > 50*time.Second)
		l.SetOutage(false)
		add(is, l, 2)
		time.Sleep(3 * time.Second)
		is.Equal(r.applied(), []uint64{1, 2, 3, 4, 5})
		is.True(r.Healthy())
	})
}

func TestFollowerRestoresWhenRecordsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		add(is, l, 5)
		l.Expire(stream, 3)
		var offer atomic.Uint64
		r := follow(t, l, func(cfg *logservice.FollowerConfig) {
			cfg.Restore = func(context.Context, logservice.Bounds) (uint64, error) { return offer.Load(), nil }
		})
		time.Sleep(10 * time.Second)
		is.Equal(r.Offset(), uint64(0)) // state that is not newer is rejected
		is.True(!r.Healthy())
		offer.Store(3)
		time.Sleep(10 * time.Second)
		is.Equal(r.applied(), []uint64{4, 5})
		is.Equal(r.State().Restores, uint64(1))
	})
}

func TestFollowerRejectsAnotherLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		r := follow(t, l, nil)
		add(is, l, 3)
		time.Sleep(time.Second)
		l.Reset("2") // different epoch
		add(is, l, 9)
		time.Sleep(time.Minute)
		is.Equal(r.Offset(), uint64(3))
		is.True(!r.Healthy())
		l.Reset("1") // same epoch, but the log ends before the offset applied
		add(is, l, 1)
		time.Sleep(time.Minute)
		is.Equal(r.applied(), []uint64{1, 2, 3})
		is.True(!r.Healthy())
	})
}

func TestFollowerCountsSlowReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := store.New()
		r := follow(t, l, nil)
		add(is, l, 1)
		l.SetDelay(4 * time.Second)
		time.Sleep(time.Minute)
		is.True(r.State().SlowReads > 0)
		is.True(r.Healthy())
	})
}
