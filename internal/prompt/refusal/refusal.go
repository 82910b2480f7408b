// Package refusal defines the cause of errors that refuse a request, with the time
// after which to retry. A refused request has not run anywhere.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is an error with the reason for refusing a request.
type Refusal struct {
	text  string
	after time.Duration
}

// New returns a refusal with a formatted text. The retry time is clamped to the range
// from minAfter to maxAfter.
func New(after, minAfter, maxAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{text: fmt.Sprintf(format, args...), after: min(max(after, minAfter), maxAfter)}
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.text }

// After returns the time after which to retry, or fallback if no error in the chain of
// err is a Refusal.
func After(err error, fallback time.Duration) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.after
	}
	return fallback
}
