package executor

import (
	"context"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// try is one attempt of this entry to execute an order. It belongs to the
// goroutine of the call that leads it: nobody else sends or voids the attempt.
type try struct {
	x       *Executor
	shelf   *shelf
	order   Order
	send    Send
	attempt ledger.Attempt
	began   time.Time
	// unrecorded is what the log still has to hold of the attempt.
	unrecorded *ledger.Record
}

func (t *try) run(ctx context.Context) (*ledger.StoredAnswer, error) {
	if st, _ := t.shelf.get(t.order.Workspace, t.order.Key); st.State() != ledger.StateNone {
		return t.follow(ctx)
	}
	if err := t.x.check(t.shelf, t.order.Key); err != nil {
		return nil, err
	}
	t.began = t.x.seams.Now()
	t.attempt = ledger.Attempt{VM: t.x.vm, Incarnation: t.x.incarnation, Number: t.x.attempts.Add(1)}
	t.x.counts.intents.Add(1)
	offset, err := t.append(ctx, ledger.Intent(t.order.Workspace, t.order.Key, t.attempt, t.order.Fingerprint))
	switch {
	case logservice.NoEffect(err):
		return nil, fail("intent", KindUnavailable, err)
	case err != nil:
		return t.settle(ctx, err)
	case !t.shelf.await(ctx, offset):
		return t.leaveOpen(fail("read back", KindUnknown, ctx.Err()))
	}
	return t.decide(ctx)
}

// follow waits for the attempt that won. The flight of this call must not count
// as the holder's, so an own attempt of earlier is seen as lost.
func (t *try) follow(ctx context.Context) (*ledger.StoredAnswer, error) {
	st, _ := t.shelf.get(t.order.Workspace, t.order.Key)
	a := st.Attempt()
	if st.State() == ledger.StatePending && a.VM == t.x.vm && a.Incarnation == t.x.incarnation {
		if st.Fingerprint() != t.order.Fingerprint {
			return nil, fail("follow", KindBodyDiffers, nil)
		}
		return nil, fail("follow", KindUnknown, errHolder)
	}
	return t.x.follow(ctx, t.shelf, t.order)
}

// decide acts on the intent that was read back.
func (t *try) decide(ctx context.Context) (*ledger.StoredAnswer, error) {
	st, _ := t.shelf.get(t.order.Workspace, t.order.Key)
	switch {
	case st.State() == ledger.StateNone:
		return nil, fail("read back", KindExpired, nil) // too old by the log's clock
	case st.Attempt() != t.attempt:
		t.x.counts.lostRaces.Add(1)
		return t.follow(ctx)
	case st.State() != ledger.StatePending:
		return t.x.ended(ctx, t.shelf, t.order, st)
	case ctx.Err() != nil || t.age() > sendWithin:
		return t.giveUp()
	}
	t.x.counts.sends.Add(1)
	answer, sent, err := t.send(ctx)
	switch {
	case err == nil:
		t.unrecorded = ledger.Outcome(t.order.Workspace, t.order.Key, t.attempt, answer)
		return answer, nil
	case !sent:
		return t.giveUp()
	default:
		t.x.counts.unanswered.Add(1)
		t.unrecorded = ledger.Lost(t.order.Workspace, t.order.Key, t.attempt)
		return nil, fail("send", KindUnknown, err)
	}
}

// age returns the time since the attempt began, by the clock that says more: one
// of them may stand still while the VM is paused.
func (t *try) age() time.Duration {
	now := t.x.seams.Now()
	return max(now.Sub(t.began), now.Round(0).Sub(t.began.Round(0)))
}

// giveUp ends an attempt that won and sent nothing. Since nobody else may send,
// the order is void whether or not the log can be told now.
func (t *try) giveUp() (*ledger.StoredAnswer, error) {
	t.x.counts.voids.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), voidWait)
	defer cancel()
	void := ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	if offset, err := t.append(ctx, void); err != nil || !t.shelf.await(ctx, offset) {
		t.unrecorded = void
	}
	return nil, fail("send", KindVoid, nil)
}

// settle finds out what became of an intent whose append got no answer. It looks
// for it in the log; where it does not come, a void follows, and whichever of the
// two is first in the log decides.
func (t *try) settle(ctx context.Context, cause error) (*ledger.StoredAnswer, error) {
	t.x.counts.unanswered.Add(1)
	look, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	if t.awaitKnown(look) {
		return t.decide(ctx)
	}
	void := ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	offset, err := t.append(ctx, void)
	if err != nil || !t.shelf.await(ctx, offset) {
		return t.leaveOpen(fail("settle", KindUnknown, cause))
	}
	st, _ := t.shelf.get(t.order.Workspace, t.order.Key)
	if st.Attempt() == t.attempt || st.State() == ledger.StateNone {
		return t.x.ended(ctx, t.shelf, t.order, st)
	}
	return t.follow(ctx)
}

// leaveOpen ends an attempt that sends nothing any more, while its intent may
// still win. The void is appended later.
func (t *try) leaveOpen(err error) (*ledger.StoredAnswer, error) {
	t.x.counts.voids.Add(1)
	t.unrecorded = ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	return nil, err
}

// awaitKnown waits until any record of the key was folded.
func (t *try) awaitKnown(ctx context.Context) bool {
	for {
		st, grown := t.shelf.get(t.order.Workspace, t.order.Key)
		if st.State() != ledger.StateNone {
			return true
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *try) append(ctx context.Context, r *ledger.Record) (uint64, error) {
	return t.x.append(ctx, t.shelf.stream, r)
}
