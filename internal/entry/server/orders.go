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

// ordersDrainTimeout bounds the wait at shutdown for pending records to be appended.
const ordersDrainTimeout = 2 * time.Second

// orders holds the order executor and the appender and follower of each log stream.
type orders struct {
	executor  *executor.Executor
	appenders [ledger.Streams]*logservice.Appender
	followers [ledger.Streams]atomic.Pointer[logservice.Follower]
}

// startOrders starts the executor, which runs each order at most once.
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
		AtEnd:  o.caughtUp,
		Fetch:  s.fetchOrder,
		Lost:   s.peers.OwnerGone,
	}, logger)
	for i := range ledger.Streams {
		o.followers[i].Store(logservice.NewFollower(logservice.FollowerConfig{
			Stream: ledger.Stream(i),
			Read:   withoutFirstWait(s.configLog.client.Reads(ledger.Stream(i))),
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

type readFunc func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)

// withoutFirstWait wraps read so that its first call does not wait for a record. The
// follower of an empty stream is thereby ready without a delay.
func withoutFirstWait(read readFunc) readFunc {
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

// caughtUp reports whether the follower of the stream has read up to the end of the log.
// It returns false if the follower has not been started.
func (o *orders) caughtUp(stream int) bool {
	f := o.followers[stream].Load()
	if f == nil {
		return false
	}
	st := f.State()
	return f.Ready() && st.Offset >= st.End
}

var errRecordExpired = errors.New("the record is not kept")

// fetchOrder reads one record of an order stream. It returns an error of KindMissing
// if the log no longer keeps it.
func (s *Server) fetchOrder(ctx context.Context, stream int, offset uint64) ([]byte, error) {
	recs, _, err := s.configLog.client.Read(ctx, ledger.Stream(stream), offset, 0)
	if err != nil {
		return nil, err
	}
	if len(recs) == 0 || recs[0].Offset != offset {
		return nil, fail("fetch", KindMissing, errRecordExpired)
	}
	return recs[0].Data, nil
}

func (s *Server) stopOrders() {
	ctx, cancel := context.WithTimeout(context.Background(), ordersDrainTimeout)
	defer cancel()
	s.orders.executor.Drain(ctx)
	s.orders.executor.Close()
	for i := range ledger.Streams {
		s.orders.appenders[i].Close()
		s.orders.followers[i].Load().Close()
	}
}
