// Package pause provides sleeps that a context can interrupt, and timeouts of waits.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done. It reports whether the whole time passed before
// ctx was done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Limit returns a channel that fires after d and a function that stops its timer. For a d
// of 0 or less it creates no timer and the channel is nil: the caller has to check once
// and not wait.
func Limit(d time.Duration) (end <-chan time.Time, stop func()) {
	if d <= 0 {
		return nil, func() {}
	}
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
