// Package orphan finds what engines keep for entries that are gone, and ends it.
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
	// MaxPatience is the longest time limit of a request.
	MaxPatience = resource.MaxPatience
	// MaxAttempt is the largest number of tries to run one request.
	MaxAttempt = 64

	separator = "."
	holdStart = "resume" + separator
	markStart = "cancel" + separator
)

// StreamID returns the id of a stream at an engine. It tells every entry when the
// request's time limit ends, whoever opened the stream.
func StreamID(request string, attempt int, patience time.Duration) string {
	return fmt.Sprintf("%s%s%d%s%d", request, separator, attempt, separator, int(patience/time.Second))
}

// deadline returns when the time limit of a stream's request ends, and false
// where no entry made the id.
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

// MarkID returns the id of the hold that tells the entry which reads a stream that
// its caller has cancelled it through another entry. A stream that ends as
// cancelled without it was taken for an orphan, and goes on at another engine.
func MarkID(stream string) string { return markStart + stream }

// Marked reports whether the stream's mark is among the holds.
func Marked(holds []engine.HoldInfo, stream string) bool {
	return slices.ContainsFunc(holds, func(h engine.HoldInfo) bool { return h.Hold == MarkID(stream) })
}

// HoldID returns the id of the hold by which an entry that did not open a stream
// tells all others that it serves it.
func HoldID(stream string, by engine.Owner) string {
	return holdStart + stream + separator + by.VM + separator + strconv.FormatUint(by.Incarnation, 10)
}
