// Package segment identifies the segments of prompts. Prompts that share text name the same
// segments, so what is known of one prompt's segment holds for others that have it.
package segment

import (
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

// ID identifies a segment.
type ID uint64

// None is the ID of no segment.
const None ID = 0

// Parse returns the ID of a segment from its name. Names are hexadecimal numbers above 0; others
// are hashed.
func Parse(name string) ID {
	n, err := strconv.ParseUint(name, 16, 64)
	if err != nil || n == 0 {
		n = xxh3.HashString(name)
	}
	return ID(n)
}

// String returns the hexadecimal number.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// List is the segments of a prompt that others may have, in order.
type List []ID

// ContainsAll reports whether the list has all segments of another one.
func (l List) ContainsAll(other List) bool {
	return !slices.ContainsFunc(other, func(id ID) bool { return !slices.Contains(l, id) })
}

// String returns the IDs for log lines.
func (l List) String() string {
	names := make([]string, len(l))
	for i, id := range l {
		names[i] = id.String()
	}
	return strings.Join(names, ",")
}
