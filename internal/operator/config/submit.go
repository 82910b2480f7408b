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
	submitTimeout = 10 * time.Second
	// resendAfter is how long to wait for a record to appear in the log after an
	// append without an answer, before it is appended again. The duplicate is
	// harmless: the fold applies an id only once.
	resendAfter = 1500 * time.Millisecond
)

// Submit appends the change and waits until this entry has read it back and applied
// it. A rejected change returns its outcome and an error of KindRejected; if the
// outcome is not known in time the error is of KindUnknown. A change whose id already
// has a fate is not appended again and gets that fate.
func (s *Store) Submit(ctx context.Context, c resource.Change) (resource.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	from := s.View().Offset()
	if c.Base == 0 {
		c.Base = from
	}
	if fate, ok := s.Fate(c.ID); ok {
		return resource.OutcomeOf(fate, c), fateError(fate, c)
	}
	rec, err := resource.EncodeChange(c)
	if err != nil {
		return resource.Outcome{}, err
	}
	return s.submit(ctx, from, c, rec)
}

var errReused = errors.New("another change has this id")

// fateError returns the error of a change whose id has a fate, or nil if the same
// change was accepted.
func fateError(fate resource.Fate, c resource.Change) error {
	switch {
	case fate.Fingerprint != 0 && fate.Fingerprint != c.Fingerprint():
		return fail("submit", KindReused, errReused)
	case !fate.Accepted():
		return fail("submit", KindRejected, fate.Err())
	default:
		return nil
	}
}

// submit appends the record until its outcome is read back or the context ends. Only
// if no append can have taken effect does it return an error of KindUnavailable.
func (s *Store) submit(ctx context.Context, from uint64, c resource.Change, rec []byte) (resource.Outcome, error) {
	uncertain := false
	for {
		_, err := s.seams.Append(ctx, rec)
		if logservice.NoEffect(err) && !uncertain {
			return resource.Outcome{}, fail("submit", KindUnavailable, err)
		}
		limit := submitTimeout
		if err != nil {
			limit, uncertain = resendAfter, true
		}
		out, err := s.awaitOutcome(ctx, limit, from, c)
		if err == nil {
			return out, outcomeError(out, c)
		}
		if ctx.Err() != nil {
			return out, fail("submit", KindUnknown, err)
		}
	}
}

// outcomeError returns the error of a change with an outcome, or nil if the same
// change was accepted.
func outcomeError(out resource.Outcome, c resource.Change) error {
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

// awaitOutcome waits for up to limit until this entry knows the outcome of the change.
func (s *Store) awaitOutcome(ctx context.Context, limit time.Duration, from uint64, c resource.Change) (resource.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		outs, fate, known, updated := s.progress(from, c.ID)
		for _, out := range outs {
			from = out.Offset()
			if out.Change().ID == c.ID && !fault.Is(out.Err(), resource.KindSettled) {
				return out, nil
			}
		}
		if known { // voided, or part of a state that was loaded
			return resource.OutcomeOf(fate, c), nil
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return resource.Outcome{}, ctx.Err()
		}
	}
}

var errFateExpired = errors.New("the fates of changes from that offset on are kept no more")

// Settle returns the fate of a change without a known outcome. If the change is not
// yet in the log it appends a void; whichever of the two comes first in the log wins
// at every entry. The base is the one in the answer to the change, or 0 while the log
// has at most FateWindow offsets; a base before the window is an error of KindExpired.
func (s *Store) Settle(ctx context.Context, id string, base uint64) (resource.Fate, error) {
	if fate, ok := s.Fate(id); ok {
		return fate, nil
	}
	if s.View().Offset() > base+resource.FateWindow {
		return resource.Fate{}, fail("settle", KindExpired, fmt.Errorf("%w: %d", errFateExpired, base))
	}
	void := resource.Change{ID: uuid.Must(uuid.NewV7()).String(), Op: resource.OpVoid, Voids: id, Base: base}
	rec, err := resource.EncodeChange(void)
	if err != nil {
		return resource.Fate{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = s.submit(ctx, s.View().Offset(), void, rec)
	if fate, ok := s.Fate(id); ok {
		return fate, nil
	}
	return resource.Fate{}, err
}
