package executor

import (
	"context"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// try is one attempt of this entry to execute an order. Only the goroutine of the
// leading call uses it; no other one sends the order for this attempt or voids it.
type try struct {
	x       *Executor
	stream  *streamLedger
	order   Order
	send    Send
	attempt ledger.Attempt
	started time.Time
	// unrecorded is the attempt's record that still has to be appended, or nil.
	unrecorded *ledger.Record
}

func (t *try) run(ctx context.Context) (*ledger.StoredAnswer, error) {
	if st, _ := t.stream.get(t.order.Workspace, t.order.Key); st.State() != ledger.StateNone {
		return t.follow(ctx)
	}
	if err := t.x.checkKey(t.stream, t.order.Key); err != nil {
		return nil, err
	}
	t.started = t.x.seams.Now()
	t.attempt = ledger.Attempt{VM: t.x.vm, Incarnation: t.x.incarnation, Number: t.x.attempts.Add(1)}
	t.x.counts.intents.Add(1)
	offset, err := t.append(ctx, ledger.Intent(t.order.Workspace, t.order.Key, t.attempt, t.order.Fingerprint))
	switch {
	case logservice.NoEffect(err):
		return nil, fail("intent", KindUnavailable, err)
	case err != nil:
		return t.resolveAppend(ctx, err)
	case !t.stream.awaitOffset(ctx, offset):
		return t.voidLater(fail("read back", KindUnknown, ctx.Err()))
	}
	return t.decide(ctx)
}

// follow waits for the attempt that won. Executor.isLost would take this call's
// flight for the holder's, so an earlier attempt of this entry is handled as lost.
func (t *try) follow(ctx context.Context) (*ledger.StoredAnswer, error) {
	st, _ := t.stream.get(t.order.Workspace, t.order.Key)
	a := st.Attempt()
	if st.State() == ledger.StatePending && a.VM == t.x.vm && a.Incarnation == t.x.incarnation {
		if st.Fingerprint() != t.order.Fingerprint {
			return nil, fail("follow", KindBodyDiffers, nil)
		}
		return nil, fail("follow", KindUnknown, errHolderLost)
	}
	return t.x.follow(ctx, t.stream, t.order)
}

// decide sends the order if the intent that was read back has won.
func (t *try) decide(ctx context.Context) (*ledger.StoredAnswer, error) {
	st, _ := t.stream.get(t.order.Workspace, t.order.Key)
	switch {
	case st.State() == ledger.StateNone:
		return nil, fail("read back", KindExpired, nil) // the ledger refused the key's time
	case st.Attempt() != t.attempt:
		t.x.counts.lostRaces.Add(1)
		return t.follow(ctx)
	case st.State() != ledger.StatePending:
		return t.x.finalResult(ctx, t.stream, t.order, st)
	case ctx.Err() != nil || t.age() > maxSendAge:
		return t.voidUnsent()
	}
	t.x.counts.sends.Add(1)
	answer, sent, err := t.send(ctx)
	switch {
	case err == nil:
		t.unrecorded = ledger.Outcome(t.order.Workspace, t.order.Key, t.attempt, answer)
		return answer, nil
	case !sent:
		return t.voidUnsent()
	default:
		t.x.counts.unanswered.Add(1)
		t.unrecorded = ledger.Lost(t.order.Workspace, t.order.Key, t.attempt)
		return nil, fail("send", KindUnknown, err)
	}
}

// age returns the time since the attempt started: the larger of monotonic and wall
// time, as either clock may stop while the VM is paused.
func (t *try) age() time.Duration {
	now := t.x.seams.Now()
	return max(now.Sub(t.started), now.Round(0).Sub(t.started.Round(0)))
}

// voidUnsent ends an attempt that won and sent nothing. As no other attempt may
// send, the order is void even if the record can't be appended now.
func (t *try) voidUnsent() (*ledger.StoredAnswer, error) {
	t.x.counts.voids.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), voidTimeout)
	defer cancel()
	void := ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	if offset, err := t.append(ctx, void); err != nil || !t.stream.awaitOffset(ctx, offset) {
		t.unrecorded = void
	}
	return nil, fail("send", KindVoid, nil)
}

// resolveAppend handles an intent whose append got no answer. It waits for the
// intent to show up in the log, and else appends a void. Whichever of the two is
// first in the log decides.
func (t *try) resolveAppend(ctx context.Context, cause error) (*ledger.StoredAnswer, error) {
	t.x.counts.unanswered.Add(1)
	lookupCtx, cancel := context.WithTimeout(ctx, intentWait)
	defer cancel()
	if t.awaitRecord(lookupCtx) {
		return t.decide(ctx)
	}
	void := ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	offset, err := t.append(ctx, void)
	if err != nil || !t.stream.awaitOffset(ctx, offset) {
		return t.voidLater(fail("settle", KindUnknown, cause))
	}
	st, _ := t.stream.get(t.order.Workspace, t.order.Key)
	if st.Attempt() == t.attempt || st.State() == ledger.StateNone {
		return t.x.finalResult(ctx, t.stream, t.order, st)
	}
	return t.follow(ctx)
}

// voidLater ends an attempt that won't send but whose intent may still win. The
// void is appended in the background.
func (t *try) voidLater(err error) (*ledger.StoredAnswer, error) {
	t.x.counts.voids.Add(1)
	t.unrecorded = ledger.Void(t.order.Workspace, t.order.Key, t.attempt)
	return nil, err
}

// awaitRecord waits until a record of the key is applied. It reports false if the
// context is done before.
func (t *try) awaitRecord(ctx context.Context) bool {
	for {
		st, changed := t.stream.get(t.order.Workspace, t.order.Key)
		if st.State() != ledger.StateNone {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (t *try) append(ctx context.Context, r *ledger.Record) (uint64, error) {
	return t.x.append(ctx, t.stream.index, r)
}
