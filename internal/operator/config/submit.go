package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	submitWait = 10 * time.Second
	// resendAfter is how long a record whose answer was lost is looked for in the
	// log before it is appended again: its id makes the second one harmless.
	resendAfter = 1500 * time.Millisecond
)

// Submit appends the change and waits until this entry has read it back and
// folded it. The outcome tells what became of it; a rejected change is an error
// of KindRejected beside its outcome. A change whose id has a fate already is not
// appended again: the first one decides.
func (s *Store) Submit(ctx context.Context, c resource.Change) (resource.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	from := s.View().Offset()
	if c.Base == 0 {
		c.Base = from
	}
	if t, ok := s.Fate(c.ID); ok {
		return resource.OutcomeOf(t, c), known(t, c)
	}
	rec, err := resource.EncodeChange(c)
	if err != nil {
		return resource.Outcome{}, err
	}
	return s.submit(ctx, from, c, rec)
}

var errReused = errors.New("another change has this id")

// known is what a change gets whose id has a fate.
func known(t resource.Fate, c resource.Change) error {
	switch {
	case t.Fingerprint != 0 && t.Fingerprint != c.Fingerprint():
		return fail("submit", KindReused, errReused)
	case !t.Accepted():
		return fail("submit", KindRejected, t.Err())
	default:
		return nil
	}
}

// submit appends until the outcome is read back or the time is over.
func (s *Store) submit(ctx context.Context, from uint64, c resource.Change, rec []byte) (resource.Outcome, error) {
	lost := false
	for {
		_, err := s.seams.Append(ctx, rec)
		if logservice.NoEffect(err) && !lost {
			return resource.Outcome{}, fail("submit", KindUnavailable, err)
		}
		limit := submitWait
		if err != nil {
			limit, lost = resendAfter, true
		}
		out, err := s.await(ctx, limit, from, c)
		if err == nil {
			return out, decided(out, c)
		}
		if ctx.Err() != nil {
			return out, fail("submit", KindUnknown, err)
		}
	}
}

func decided(out resource.Outcome, c resource.Change) error {
	first := out.Change()
	switch {
	case first.Fingerprint() != c.Fingerprint():
		return fail("submit", KindReused, errReused)
	case out.Err() != nil:
		return fail("submit", KindRejected, out.Err())
	default:
		return nil
	}
}

// await waits, up to the limit, until the change has a fate here.
func (s *Store) await(ctx context.Context, limit time.Duration, from uint64, c resource.Change) (resource.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		outs, grown, _ := s.Since(from)
		for _, out := range outs {
			from = out.Offset()
			if out.Change().ID == c.ID && !fault.Is(out.Err(), resource.KindSettled) {
				return out, nil
			}
		}
		if t, ok := s.Fate(c.ID); ok { // folded by whoever gave us state, or voided
			return resource.OutcomeOf(t, c), nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return resource.Outcome{}, ctx.Err()
		}
	}
}

var errForgotten = errors.New("the fates of changes from that offset on are kept no more")

// Settle decides the fate of a change whose answer was lost: where it is not in
// the log yet, a void is appended, and whichever of the two is first in the log
// wins at every entry. The base is the offset that the answer named; 0 will do
// while the log is younger than the window of fates.
func (s *Store) Settle(ctx context.Context, id string, base uint64) (resource.Fate, error) {
	if t, ok := s.Fate(id); ok {
		return t, nil
	}
	if s.View().Offset() > base+resource.FateWindow {
		return resource.Fate{}, fail("settle", KindExpired, fmt.Errorf("%w: %d", errForgotten, base))
	}
	void := resource.Change{ID: uuid.Must(uuid.NewV7()).String(), Op: resource.OpVoid, Voids: id, Base: base}
	rec, err := resource.EncodeChange(void)
	if err != nil {
		return resource.Fate{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitWait)
	defer cancel()
	_, err = s.submit(ctx, s.View().Offset(), void, rec)
	if t, ok := s.Fate(id); ok {
		return t, nil
	}
	return resource.Fate{}, err
}
