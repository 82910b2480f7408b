package ring

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// blocked is a writer that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	out  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.out.Write(p)
}

// A full ring drops lines, counts them and never blocks its writers.
func TestFullRingDropsAndCounts(t *testing.T) {
	is := is.New(t)
	b := &blocked{open: make(chan struct{})}
	w := New(b)
	for range lines + 100 {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	dropped := w.Dropped()
	is.True(dropped >= 99) // one line may be on its way
	close(b.open)
	w.Close()
	is.True(strings.Contains(b.out.String(), "Log lines were dropped."))
	is.Equal(int64(strings.Count(b.out.String(), "line\n")), lines+100-dropped)
}

// Where lines have to be dropped, failures are kept before what went well.
func TestFailuresAreKept(t *testing.T) {
	is := is.New(t)
	b := &blocked{open: make(chan struct{})}
	w := New(b)
	for range lines {
		_, err := w.Write([]byte(`{"level":"info","msg":"went well"}` + "\n"))
		is.NoErr(err)
	}
	for range kept {
		_, err := w.Write([]byte(`{"level":"warn","msg":"failed"}` + "\n"))
		is.NoErr(err)
	}
	total := w.Total()
	close(b.open)
	w.Close()
	is.Equal(strings.Count(b.out.String(), "failed"), kept)
	is.Equal(int64(strings.Count(b.out.String(), "went well")), lines-total)
	is.Equal(w.Total(), total) // reporting them does not forget them
}
