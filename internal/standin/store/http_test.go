package store_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

func serve(t *testing.T) (*store.Server, *platform.Store) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := store.Serve(ln)
	t.Cleanup(s.Close)
	return s, platform.NewStore(netio.TCP(), s.Addr(), log.New(io.Discard))
}

func TestLogOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, calls := serve(t)
	c := logservice.NewClient(calls)

	recs, b, err := c.Read(ctx, "s", 1, 0)
	is.NoErr(err)
	is.Equal(len(recs), 0)
	is.Equal(b.Earliest, uint64(1))
	is.Equal(b.Next, uint64(1))

	before := time.Now()
	first, err := c.Append(ctx, "s", [][]byte{[]byte("a"), nil, []byte("c")})
	is.NoErr(err)
	is.Equal(first, uint64(1))
	recs, b, err = c.Read(ctx, "s", 2, 0)
	is.NoErr(err)
	is.Equal(len(recs), 2)
	is.Equal(string(recs[1].Data), "c")
	is.Equal(recs[1].Offset, uint64(3))
	is.True(!recs[1].Time.Before(before.Truncate(0)))
	is.Equal(b.Next, uint64(4))

	_, b, err = c.Read(ctx, "s", 1<<62, 0) // an offset past the end does not wait
	is.NoErr(err)
	is.Equal(b.Next, uint64(4))

	s.Expire("s", 2)
	_, b, err = c.Read(ctx, "s", 1, 0)
	is.True(fault.Is(err, logservice.KindGone))
	is.Equal(b.Earliest, uint64(3))

	s.LoseAnswers(1)
	_, err = c.Append(ctx, "s", [][]byte{[]byte("lost")})
	is.True(!logservice.NoEffect(err)) // the append took effect, but its response was lost
	s.SetRate(0)
	_, err = c.Append(ctx, "s", [][]byte{[]byte("refused")})
	is.True(fault.Is(err, logservice.KindRateLimited))
	s.SetOutage(true)
	_, err = c.Append(ctx, "s", [][]byte{[]byte("refused")})
	is.True(fault.Is(err, logservice.KindUnavailable))
	s.SetOutage(false)
	_, b, err = c.Read(ctx, "s", 5, 0)
	is.NoErr(err)
	is.Equal(b.Next, uint64(5))
}

func TestReadBatchSize(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, calls := serve(t)
	c := logservice.NewClient(calls)
	for range 8 {
		_, err := c.Append(ctx, "s", [][]byte{make([]byte, 250<<10)})
		is.NoErr(err)
	}
	next := uint64(1)
	for reads := 1; next <= 8; reads++ {
		recs, _, err := c.Read(ctx, "s", next, 0)
		is.NoErr(err)
		is.True(len(recs) > 0)
		is.True(reads <= 2)
		next += uint64(len(recs))
	}
}

func TestNewestPages(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, calls := serve(t)
	const keys = 1100 // more than two pages
	for i := range keys {
		is.NoErr(calls.Put(ctx, "keyed.status", fmt.Sprintf("vm-%04d", i), []byte("old")))
		if i == 100 {
			s.SetRate(1e6)
		}
	}
	is.NoErr(calls.Put(ctx, "keyed.status", "vm-0003", []byte("new")))
	s.Put("keyed.status", "vm-0004", nil)
	s.Trim("keyed.status")
	newest, next, err := calls.Newest(ctx, "keyed.status")
	is.NoErr(err)
	is.Equal(len(newest), keys-1)
	is.Equal(string(newest[3].Value), "new")
	is.Equal(next, platform.Position{Epoch: 1, Offset: keys + 2})
	_, _, err = calls.Read(ctx, "keyed.status", 0, 0)
	is.True(fault.Is(err, platform.KindTrimmed))
	s.Put("keyed.status", "vm-0003", nil)
	records, next, err := calls.Read(ctx, "keyed.status", next.Offset, time.Second)
	is.NoErr(err)
	is.Equal(next, platform.Position{Epoch: 1, Offset: keys + 3})
	is.Equal(records[0], platform.Keyed{Key: "vm-0003", Offset: keys + 2})
}

// A restored store must show its epoch in all answers, also in those to reads that waited or name
// an offset it no longer has, or its readers can't tell offsets that it gives out again.
func TestRestoredStoreNamesItsEpoch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, calls := serve(t)
	s.Put("keyed.op", "config", []byte("1"))
	saved := s.Copy()
	s.Put("keyed.op", "config", []byte("2"))
	s.Restore(saved)
	_, next, err := calls.Read(ctx, "keyed.op", 2, 0)
	is.True(fault.Is(err, platform.KindTrimmed))
	is.Equal(next.Epoch, uint64(2))
	list, next, err := calls.Newest(ctx, "keyed.op")
	is.NoErr(err)
	is.Equal(string(list[0].Value), "1")
	is.Equal(next, platform.Position{Epoch: 2, Offset: 1})
	go func() {
		for s.Calls() < 3 { // until the read waits
			time.Sleep(time.Millisecond)
		}
		s.Restore(saved)
		s.Put("keyed.op", "config", []byte("3"))
	}()
	_, next, err = calls.Read(ctx, "keyed.op", 1, 10*time.Second)
	is.NoErr(err)
	is.Equal(next, platform.Position{Epoch: 3, Offset: 2})
}

// A log was restored from a copy and had grown past a follower's offset before that read on. It
// skipped the records that took the place of the lost ones, so an order that another entry had run
// was unknown to it, and ran twice.
func TestRestoredLogIsNotFollowed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, calls := serve(t)
	c := logservice.NewClient(calls)
	write := func(n int) {
		for range n {
			_, err := c.Append(ctx, "s", [][]byte{[]byte("x")})
			is.NoErr(err)
		}
	}
	write(1)
	saved := s.Copy()
	write(2)
	f := logservice.NewFollower(logservice.FollowerConfig{
		Stream: "s", Read: c.Reads("s"), Fold: func([]logservice.Record) {}, Log: log.New(io.Discard),
		Restore: func(context.Context, logservice.Bounds) (uint64, error) { return 0, errors.New("none") },
	})
	defer f.Close()
	await := func(ok func() bool) {
		for !ok() {
			time.Sleep(time.Millisecond)
		}
	}
	await(func() bool { return f.Offset() == 3 })
	s.SetOutage(true)
	s.Restore(saved)
	await(func() bool { return !f.Healthy() })
	s.SetOutage(false)
	write(4)
	calledBefore := s.Calls()
	await(func() bool { return s.Calls() > calledBefore+2 }) // it has read since
	is.Equal(f.Offset(), uint64(3))
	is.True(strings.Contains(f.State().Error, "another epoch"))
}
