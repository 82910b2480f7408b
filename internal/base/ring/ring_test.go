package ring

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.out.Write(p)
}

// Guards against a blocked output that blocks the callers or loses lines uncounted.
func TestFullQueueDropsAndCounts(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{unblock: make(chan struct{})}
	w := New(b)
	for range queueLines + 100 {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	dropped := w.Dropped()
	is.True(dropped >= 99) // the writer may hold one line already
	close(b.unblock)
	w.Close()
	is.True(strings.Contains(b.out.String(), "Log lines were dropped."))
	is.Equal(int64(strings.Count(b.out.String(), "line\n")), queueLines+100-dropped)
}

// Guards against losing warnings because info lines fill the queue.
func TestWarningsUseReservedSpace(t *testing.T) {
	is := is.New(t)
	b := &blockedWriter{unblock: make(chan struct{})}
	w := New(b)
	for range queueLines {
		_, err := w.Write([]byte(`{"level":"info","msg":"went well"}` + "\n"))
		is.NoErr(err)
	}
	for range reservedLines {
		_, err := w.Write([]byte(`{"level":"warn","msg":"failed"}` + "\n"))
		is.NoErr(err)
	}
	total := w.Total()
	close(b.unblock)
	w.Close()
	is.Equal(strings.Count(b.out.String(), "failed"), reservedLines)
	is.Equal(int64(strings.Count(b.out.String(), "went well")), queueLines-total)
	is.Equal(w.Total(), total) // reporting the drops does not reset the total
}
