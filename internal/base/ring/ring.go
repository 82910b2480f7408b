// Package ring provides a log writer that never blocks: lines wait in a bounded queue,
// and lines that find it full are dropped and counted.
package ring

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// queueLines is the capacity of the queue: one second of log lines at peak load.
	queueLines = 4096
	// reservedLines is the part of the queue that lines at info level can't use. An eighth
	// is enough for a burst of failures, when a tenth of the lines are above info level.
	reservedLines = queueLines / 8
)

// infoField is found in lines at info level.
var infoField = []byte(`"level":"info"`)

// Writer writes lines to its output in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64 // not yet reported in the output
	total   atomic.Int64 // dropped since the start
}

// New starts a writer to out. Close stops it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line; it never blocks and never returns an error. It drops lines at info
// level when only the reserved part of the queue is left, and any line when it is full.
func (w *Writer) Write(line []byte) (int, error) {
	if len(w.lines) >= queueLines-reservedLines && bytes.Contains(line, infoField) {
		w.countDrop()
		return len(line), nil
	}
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.countDrop()
	}
	return len(line), nil
}

func (w *Writer) countDrop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Total returns the number of lines dropped since the start.
func (w *Writer) Total() int64 { return w.total.Load() }

// Dropped returns the number of dropped lines not yet reported in the output.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
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
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"msg\":\"Log lines were dropped.\",\"lines\":%d}\n", n) // there is no other place to log the error
	}
	_, _ = w.out.Write(line) // there is no other place to log the error
}
