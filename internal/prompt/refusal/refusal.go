// Package refusal is the cause of errors that refuse a request, with the time after
// which to come back. Nothing ran where one is returned.
package refusal

import (
	"errors"
	"fmt"
	"time"
)

// Refusal is why a request is refused.
type Refusal struct {
	text  string
	after time.Duration
}

// New returns a refusal. The time to come back is kept within the bounds.
func New(after, least, most time.Duration, format string, args ...any) *Refusal {
	return &Refusal{text: fmt.Sprintf(format, args...), after: min(max(after, least), most)}
}

// Error returns the text.
func (r *Refusal) Error() string { return r.text }

// After returns when to come back after an error, or the given time where it is no refusal.
func After(err error, otherwise time.Duration) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.after
	}
	return otherwise
}
