package server

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// ordersDrain bounds the time to append what the log does not have yet.
const ordersDrain = 2 * time.Second

// orders are the executor and its ways to the log.
type orders struct {
	executor  *executor.Executor
	appenders [ledger.Streams]*logservice.Appender
	followers [ledger.Streams]atomic.Pointer[logservice.Follower]
}

// startOrders starts what executes orders at most once.
func (s *Server) startOrders(logger *log.Logger) {
	o := &orders{}
	for i := range ledger.Streams {
		o.appenders[i] = logservice.NewAppender(logservice.AppenderConfig{
			Append:  s.configLog.client.Appends(ledger.Stream(i)),
			Limiter: s.configLog.limiter,
			Gap:     executor.AppendGap,
		})
	}
	o.executor = executor.New(s.cfg.VM, s.incarnation, executor.WindowFor(s.cfg.LogRetention), executor.Seams{
		Now:    time.Now,
		Append: o.append,
		AtEnd:  o.atEnd,
		Fetch:  s.fetchOrder,
		Lost:   s.peers.OwnerGone,
	}, logger)
	for i := range ledger.Streams {
		o.followers[i].Store(logservice.NewFollower(logservice.FollowerConfig{
			Stream: ledger.Stream(i),
			Read:   firstAtOnce(s.configLog.client.Reads(ledger.Stream(i))),
			Fold:   func(recs []logservice.Record) { o.executor.Apply(i, recs) },
			Restore: func(_ context.Context, b logservice.Bounds) (uint64, error) {
				o.executor.Skip(i, b.Earliest-1)
				return b.Earliest - 1, nil
			},
			Log: logger.WithPrefix("order"),
		}))
	}
	s.orders = o
}

type readLog func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)

// firstAtOnce makes the first read wait for no record, so that an empty stream is
// known to be read at once.
func firstAtOnce(read readLog) readLog {
	started := false
	return func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
		if !started {
			started, wait = true, 0
		}
		return read(ctx, from, wait)
	}
}

func (o *orders) append(ctx context.Context, stream int, record []byte) (uint64, error) {
	return o.appenders[stream].Append(ctx, record)
}

// atEnd may be called before the follower runs.
func (o *orders) atEnd(stream int) bool {
	f := o.followers[stream].Load()
	if f == nil {
		return false
	}
	st := f.State()
	return f.Ready() && st.Offset >= st.End
}

var errNotKept = errors.New("the record is not kept")

// fetchOrder reads a record of an orders' stream again.
func (s *Server) fetchOrder(ctx context.Context, stream int, offset uint64) ([]byte, error) {
	recs, _, err := s.configLog.client.Read(ctx, ledger.Stream(stream), offset, 0)
	if err != nil {
		return nil, err
	}
	if len(recs) == 0 || recs[0].Offset != offset {
		return nil, fail("fetch", KindMissing, errNotKept)
	}
	return recs[0].Data, nil
}

func (s *Server) stopOrders() {
	ctx, cancel := context.WithTimeout(context.Background(), ordersDrain)
	defer cancel()
	s.orders.executor.Drain(ctx)
	s.orders.executor.Close()
	for i := range ledger.Streams {
		s.orders.appenders[i].Close()
		s.orders.followers[i].Load().Close()
	}
}
