package entry

import (
	"bytes"
	"errors"
	"sync/atomic"
)

const (
	// bodyMemoryShare is the share of the process's memory that buffered answers and parts of
	// streams may take together. The rest is for the callers' requests and the entry's state.
	bodyMemoryShare = 0.25
	// defaultBodyMemory applies if the settings name no limit of the process's memory.
	defaultBodyMemory = 64 << 20
	// freeAnswerBytes is what each answer may buffer in any case, so that servers that send without end
	// take nothing from the usual answers of others. It is many times the size of an event.
	freeAnswerBytes = 16 << 10
)

var errNoMemory = errors.New("no memory is left for it")

// bodyMemory bounds the memory of all that is buffered of answers. It is safe for concurrent use.
type bodyMemory struct {
	most int64 // bytes
	used atomic.Int64
}

// newBodyMemory returns the bound for a process with the given memory in bytes; 0: unknown.
func newBodyMemory(process int64) *bodyMemory {
	if process <= 0 {
		return &bodyMemory{most: defaultBodyMemory}
	}
	return &bodyMemory{most: int64(bodyMemoryShare * float64(process))}
}

// take takes n further bytes for an answer that has taken held, and reports whether it may: no
// answer takes more than it leaves free.
func (m *bodyMemory) take(held, n int64) bool {
	if used := m.used.Add(n); held+n > m.most-used {
		m.free(n)
		return false
	}
	return true
}

func (m *bodyMemory) free(n int64) { m.used.Add(-n) }

// answerMemory is what one answer has taken. It must be used in one goroutine at a time.
type answerMemory struct {
	of   *bodyMemory
	held int64 // bytes
}

// hold makes the answer hold n bytes and reports whether it may; else it holds what it did.
func (a *answerMemory) hold(n int) bool {
	more := max(0, int64(n)-freeAnswerBytes) - a.held
	if more > 0 && !a.of.take(a.held, more) {
		return false
	}
	if more < 0 {
		a.of.free(-more)
	}
	a.held += more
	return true
}

// heldBody is a body whose memory is freed when the caller's connection closes it.
type heldBody struct {
	*bytes.Reader
	release func()
}

// Close frees the memory. It always returns nil.
func (b *heldBody) Close() error {
	b.release()
	return nil
}
