// Package orphan finds streams and holds at engines whose entries are gone, and ends them.
// It also defines the ids by which entries coordinate over streams.
package orphan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	// MaxPatience is the maximum time limit of a request.
	MaxPatience = resource.MaxPatience
	// MaxAttempt is the maximum number of attempts to run a request.
	MaxAttempt = 64

	separator          = "."
	resumeHoldPrefix   = "resume" + separator
	cancelMarkerPrefix = "cancel" + separator
)

// StreamID returns the id of a stream at an engine. It encodes the time limit of the
// request, so that every entry knows the deadline of a stream that another one opened.
func StreamID(request string, attempt int, patience time.Duration) string {
	return fmt.Sprintf("%s%s%d%s%d", request, separator, attempt, separator, int(patience/time.Second))
}

// deadline returns the deadline of a stream's request, from the time in its UUIDv7 and the
// time limit. The result is false if the id was not made by StreamID.
func deadline(stream string) (time.Time, bool) {
	parts := strings.Split(stream, separator)
	if len(parts) != 3 {
		return time.Time{}, false
	}
	id, err := uuid.Parse(parts[0])
	secs, errSecs := strconv.Atoi(parts[2])
	if err != nil || errSecs != nil || id.Version() != 7 || secs < 0 || secs > int(MaxPatience/time.Second) {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec).Add(time.Duration(secs) * time.Second), true
}

// CancelMarkerID returns the id of the hold that tells the entry reading a stream that its
// caller has cancelled it through another entry. A stream that ends as cancelled without this
// hold was mistaken for an orphan, and the request continues at another engine.
func CancelMarkerID(stream string) string { return cancelMarkerPrefix + stream }

// HasCancelMarker reports whether the holds include the stream's CancelMarkerID.
func HasCancelMarker(holds []engine.HoldInfo, stream string) bool {
	return slices.ContainsFunc(holds, func(h engine.HoldInfo) bool { return h.Hold == CancelMarkerID(stream) })
}

// ResumeHoldID returns the id of the hold by which an entry that resumed a stream, opened by
// another one, shows all others that it serves the stream.
func ResumeHoldID(stream string, by engine.Owner) string {
	return resumeHoldPrefix + stream + separator + by.VM + separator + strconv.FormatUint(by.Incarnation, 10)
}
