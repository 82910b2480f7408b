// Package pause waits for a time or the end of a context, and bounds waits.
package pause

import (
	"context"
	"time"
)

// For waits for so long, or until the context ends, and reports whether it went on to
// the end of the time.
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

// Limit returns what tells the end of a wait, and what frees it. A wait of no length has
// no end to tell: it makes no timer, and its caller looks once.
func Limit(d time.Duration) (end <-chan time.Time, stop func()) {
	if d <= 0 {
		return nil, func() {}
	}
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
