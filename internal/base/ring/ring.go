// Package ring is a writer for log lines that never blocks: lines wait in a bounded
// ring, and what finds it full is dropped and counted.
package ring

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// lines is how many lines may wait: a second of the busiest load.
	lines = 4096
	// kept is how many of them are kept for what is more than information, an eighth:
	// failures are a tenth of the lines of a bad second.
	kept = lines / 8
)

// info marks lines that tell of what went well.
var info = []byte(`"level":"info"`)

// Writer writes lines in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64 // and not reported yet
	total   atomic.Int64 // dropped
}

// New returns a writer to out. Close writes what waits and ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never fails. Where few places are left, they are kept for lines
// that are more than information.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= lines-kept && bytes.Contains(line, info) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Total returns how many lines were dropped since the start.
func (w *Writer) Total() int64 { return w.total.Load() }

// Dropped returns how many lines were dropped and not reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", n) // there is no other place to tell it
	}
	_, _ = w.out.Write(line) // there is no other place to tell it
}
