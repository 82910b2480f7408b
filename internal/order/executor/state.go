package executor

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

// counts count since the start.
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
	InFlight   int           `json:"inFlight"`   // attempts that run or whose outcome is not in the log
	Unrecorded int64         `json:"unrecorded"` // records that wait for the log
	Dropped    uint64        `json:"dropped"`    // records given up, since too many waited
	Intents    uint64        `json:"intents"`
	Sends      uint64        `json:"sends"`
	LostRaces  uint64        `json:"lostRaces"` // intents that came second
	Voids      uint64        `json:"voids"`
	Unanswered uint64        `json:"unanswered"` // appends and sends without an answer
}

// State returns the executor's state.
func (x *Executor) State() State {
	st := State{
		Unrecorded: x.recorder.waiting.Load(),
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
	for _, s := range x.shelves {
		st.Streams = append(st.Streams, s.state(x.seams.AtEnd))
	}
	return st
}

func (s *shelf) state(atEnd func(int) bool) StreamState {
	ready := s.ready(atEnd)
	s.mu.Lock()
	defer s.mu.Unlock()
	return StreamState{Offset: s.ledger.Offset(), Keys: s.ledger.Len(), Floor: s.ledger.Floor(), Ready: ready}
}

// Look returns the state of a workspace's order and the answer of a done one.
// An error of KindNotReady or KindExpired says that this entry can't know it.
func (x *Executor) Look(ctx context.Context, workspace string, key uuid.UUID) (ledger.State, *ledger.StoredAnswer, error) {
	k := flightKey{workspace, key}
	s := x.shelf(workspace, key)
	st, _ := s.get(workspace, key)
	f := x.flight(k)
	switch {
	case f != nil && (st.State() == ledger.StateNone || st.State() == ledger.StatePending):
		return f.look()
	case st.State() == ledger.StateNone:
		return ledger.StateNone, nil, x.check(s, key)
	case st.State() == ledger.StateDone:
		answer, err := x.stored(ctx, s, st)
		return ledger.StateDone, answer, err
	case st.State() == ledger.StatePending && x.isLost(Order{Workspace: workspace, Key: key}, st):
		return ledger.StateLost, nil, nil
	default:
		return st.State(), nil, nil
	}
}

// look returns the state of an order by the attempt of this entry alone.
func (f *flight) look() (ledger.State, *ledger.StoredAnswer, error) {
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
