package entry

import (
	"bytes"
	"sync/atomic"
)

const (
	// bodyMemoryShare is the share of the process's memory that buffered answers may take
	// together. The rest is for the callers' requests and the entry's state.
	bodyMemoryShare = 0.25
	// defaultBodyMemory applies if the settings name no limit of the process's memory.
	defaultBodyMemory = 64 << 20
)

// bodyMemory bounds the memory of all answers that are buffered. It is safe for concurrent use.
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

// take takes n bytes and reports whether they were free.
func (m *bodyMemory) take(n int) bool {
	if m.used.Add(int64(n)) > m.most {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

func (m *bodyMemory) free(n int64) { m.used.Add(-n) }

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
