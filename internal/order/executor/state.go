package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

// counts are totals since the start.
type counts struct {
	intents, sends, lostRaces, voids, unanswered atomic.Uint64
}

// StreamState is a stream's part of the state dump.
type StreamState struct {
	Offset uint64    `json:"offset"`
	Keys   int       `json:"keys"`
	Floor  time.Time `json:"floor"` // older keys are refused
	Ready  bool      `json:"ready"`
}

// State is the executor's part of the state dump.
type State struct {
	Streams    []StreamState `json:"streams"`
	InFlight   int           `json:"inFlight"`   // attempts that are running or whose outcome is not in the log
	Unrecorded int64         `json:"unrecorded"` // records that wait to be appended
	Dropped    uint64        `json:"dropped"`    // records dropped because too many waited or the executor was closed
	Intents    uint64        `json:"intents"`
	Sends      uint64        `json:"sends"`
	LostRaces  uint64        `json:"lostRaces"` // intents that lost to another attempt's
	Voids      uint64        `json:"voids"`
	Unanswered uint64        `json:"unanswered"` // appends and sends without an answer
}

// State returns the executor's state.
func (x *Executor) State() State {
	st := State{
		Unrecorded: x.recorder.pending.Load(),
		Dropped:    x.recorder.dropped.Load(),
		Intents:    x.counts.intents.Load(),
		Sends:      x.counts.sends.Load(),
		LostRaces:  x.counts.lostRaces.Load(),
		Voids:      x.counts.voids.Load(),
		Unanswered: x.counts.unanswered.Load(),
	}
	x.mu.Lock()
	st.InFlight = len(x.flights)
	x.mu.Unlock()
	for _, s := range x.streams {
		st.Streams = append(st.Streams, s.state(x.seams.AtEnd))
	}
	return st
}

func (s *streamLedger) state(atEnd func(int) bool) StreamState {
	ready := s.ready(atEnd)
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamState{Offset: s.ledger.Offset(), Keys: s.ledger.Len(), Floor: s.ledger.Floor(), Ready: ready}
}

// Look returns the state of a workspace's order and, if it is done, its answer. An
// error of KindNotReady or KindExpired means that this entry can't know the state.
func (x *Executor) Look(ctx context.Context, workspace string, key uuid.UUID) (ledger.State, *ledger.StoredAnswer, error) {
	k := flightKey{workspace, key}
	s := x.streamOf(workspace, key)
	st, _ := s.get(workspace, key)
	f := x.findFlight(k)
	switch {
	case f != nil && (st.State() == ledger.StateNone || st.State() == ledger.StatePending):
		return f.state()
	case st.State() == ledger.StateNone:
		return ledger.StateNone, nil, x.checkKey(s, key)
	case st.State() == ledger.StateDone:
		answer, err := x.storedAnswer(ctx, s, st)
		return ledger.StateDone, answer, err
	case st.State() == ledger.StatePending && x.isLost(Order{Workspace: workspace, Key: key}, st):
		return ledger.StateLost, nil, nil
	default:
		return st.State(), nil, nil
	}
}

// state returns the state of the order as known from this entry's own attempt.
func (f *flight) state() (ledger.State, *ledger.StoredAnswer, error) {
	select {
	case <-f.done:
	default:
		return ledger.StatePending, nil, nil
	}
	answer, err := f.result()
	switch {
	case err == nil:
		return ledger.StateDone, answer, nil
	case fault.Is(err, KindVoid):
		return ledger.StateVoid, nil, nil
	default:
		return ledger.StateLost, nil, nil
	}
}
