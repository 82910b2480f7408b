package entry

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// An event that never ends is given up at the size limit, and bytes that are no event at once.
// Comments and fields without data are passed on, and are no events.
func TestSplitterTellsEvents(t *testing.T) {
	is := is.New(t)
	var s splitter
	out, events, err := s.add([]byte(": keep\n\nretry: 5\n\n\n\n" + server.Event(1)[:4]))
	is.NoErr(err)
	is.Equal(string(out), ": keep\n\nretry: 5\n\n\n\n")
	is.Equal(events, 0)
	out, events, err = s.add([]byte(server.Event(1)[4:] + "x-weights: 3\n" + server.Event(2)))
	is.NoErr(err)
	is.Equal(string(out), server.Event(1)+"x-weights: 3\n"+server.Event(2))
	is.Equal(events, 2)
	_, _, err = s.add([]byte("noise\n\n"))
	is.True(err != nil)

	s = splitter{}
	for n := 0; n <= maxEventBytes; n += readBufferBytes {
		_, _, err = s.add([]byte("data: " + strings.Repeat("x", readBufferBytes)))
	}
	is.True(fault.Is(err, KindTooLarge))
	is.True(len(s.buf) <= maxEventBytes+2*readBufferBytes)
}

// FuzzSplitter splits arbitrary bytes in pieces. It must return the same blocks as for all bytes
// at once, keep no more than an event, and never return an event whose id came before.
func FuzzSplitter(f *testing.F) {
	for _, u := range unending {
		_, body, _ := strings.Cut(u.first, chunkedLine)
		f.Add([]byte(body+strings.Repeat(u.again, 3)), 3)
	}
	f.Add([]byte(server.Events(4)), 5)
	f.Add([]byte(server.Events(3)+server.Event(2)+": x\n\n"+server.Event(4)), 7)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		var whole, parts splitter
		want, wantEvents, wantErr := whole.add(b)
		var (
			got       []byte
			gotEvents int
			gotErr    error
		)
		for len(b) > 0 && gotErr == nil {
			n := min(max(1, piece), len(b))
			out, events, err := parts.add(b[:n])
			got, gotEvents, gotErr, b = append(got, out...), gotEvents+events, err, b[n:]
		}
		if string(got) != string(want) || gotEvents != wantEvents || (gotErr == nil) != (wantErr == nil) {
			t.Errorf("in pieces %q, %d events, %v; at once %q, %d events, %v", got, gotEvents, gotErr, want, wantEvents, wantErr)
		}
		if gotErr == nil && len(parts.remainder()) > maxEventBytes {
			t.Errorf("%d bytes are kept", len(parts.remainder()))
		}
	})
}

// A gap in the ids of a resumed stream is a missing event only where ids have counted the events.
func TestResumedStreamHasNoGap(t *testing.T) {
	for _, tt := range []struct {
		before, after string
		ok            bool
	}{
		{"1 2", "3 4", true},
		{"1 2", "4", false},
		{"1", "3", false},
		{"12 13", "15", false},
		{"1 2", "3 5", false},
		{"46", "92", true},
		{"1 2 5", "9", true},
		{"1 5", "6 9", true},
		{"1 2", "2 3", true}, // the repeat is dropped
	} {
		var s splitter
		feed := func(ids string) (err error) {
			for id := range strings.FieldsSeq(ids) {
				_, _, more := s.add([]byte("id: " + id + "\ndata: x\n\n"))
				err = errors.Join(err, more)
			}
			return err
		}
		is := is.New(t)
		is.NoErr(feed(tt.before))
		s = s.resume()
		is.Equal(feed(tt.after) == nil, tt.ok)
	}
}
