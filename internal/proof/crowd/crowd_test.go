package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// callerCount is the size of each crowd: 64 bodies of 4 MiB are twice the entry's memory.
	callerCount = 64
	// blockedTimeout is how long a caller waits for a write before it stops sending and stays open.
	blockedTimeout = 5 * time.Second
	// hold is how long the crowd stays open after it has sent, so that the entry reads what it takes.
	hold = time.Second
	// streamHold is longer than the stand-in takes to write a stream.
	streamHold = 15 * time.Second
	// idleCount is more than the entry's descriptors.
	idleCount = 600
)

// head returns a request head with the framing line.
func head(path string, i int, framing string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Milliseconds: 60000\r\n%s\r\n\r\n", path, i, framing)
}

const chunkedFraming = "Transfer-Encoding: chunked"

// chunk returns a chunk of n bytes of content.
func chunk(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// caller sends a head and then repeats the piece until the given number of pieces was sent or the
// entry takes no more.
type caller struct {
	head   string
	piece  []byte
	pieces int
	tail   []byte // sent last
}

// send sends the request and reads nothing. The connection stays open.
func (c *caller) send(conn net.Conn) {
	write := func(b []byte) bool {
		_ = conn.SetWriteDeadline(time.Now().Add(blockedTimeout)) // if this fails, so does the write
		_, err := conn.Write(b)
		return err == nil
	}
	if !write([]byte(c.head)) {
		return
	}
	for range c.pieces {
		if !write(c.piece) {
			return
		}
	}
	write(c.tail)
}

// run has all callers of the crowd send at once, checks the entry while their connections are
// open, and that an ordinary request is answered after they have left.
func run(t *testing.T, hold time.Duration, makeCaller func(i int) *caller) {
	t.Helper()
	e := startEntry(t)
	conns := make([]net.Conn, callerCount)
	var wg sync.WaitGroup
	for i := range conns {
		conn, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns[i] = conn
		wg.Go(func() { makeCaller(i).send(conn) })
	}
	wg.Wait()
	time.Sleep(hold)
	e.check()
	for _, conn := range conns {
		_ = conn.Close() // the entry may have closed it
	}
	e.awaitOrdinaryAnswer()
	e.check()
}

// Guards against bodies in large chunks that exceed the memory together, one byte short of their end.
func TestCrowdLargeChunks(t *testing.T) {
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, chunkedFraming), piece: chunk(1 << 20), pieces: 3, tail: chunk(1<<20 - 1)}
	})
}

// Guards against bodies in one-byte chunks that exceed the memory together, just short of their end.
func TestCrowdOneByteChunks(t *testing.T) {
	piece := bytes.Repeat(chunk(1), 16<<10)
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, chunkedFraming), piece: piece, pieces: 4 << 20 / (16 << 10)}
	})
}

// Guards against bodies of announced length that stop one byte short of it and stay open.
func TestCrowdBodiesShortOfTheirEnd(t *testing.T) {
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, fmt.Sprintf("Content-Length: %d", bodyLimit)), piece: bytes.Repeat([]byte("x"), 1<<20), pieces: 3, tail: bytes.Repeat([]byte("x"), 1<<20-1)}
	})
}

// Guards against bodies that announce a length over the limit and are read all the same.
func TestCrowdAnnouncedOverLimit(t *testing.T) {
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, fmt.Sprintf("Content-Length: %d", 2*bodyLimit)), piece: bytes.Repeat([]byte("x"), 1<<20), pieces: 7, tail: bytes.Repeat([]byte("x"), 1<<20-1)}
	})
}

// Guards against bodies far over the limit that are read on after the limit.
func TestCrowdChunkedOverLimit(t *testing.T) {
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, chunkedFraming), piece: chunk(1 << 20), pieces: 64}
	})
}

// Guards against memory that is set aside for what a chunk announces.
func TestCrowdAnnouncedChunks(t *testing.T) {
	run(t, hold, func(i int) *caller {
		return &caller{head: head("/once/1", i, chunkedFraming), piece: fmt.Appendf(nil, "%x\r\nx", 2*bodyLimit-1), pieces: 1}
	})
}

// Guards against the sum of all cases at once.
func TestCrowdMixed(t *testing.T) {
	small := bytes.Repeat(chunk(1), 16<<10)
	run(t, hold, func(i int) *caller {
		switch i % 4 {
		case 0:
			return &caller{head: head("/once/1", i, chunkedFraming), piece: chunk(1 << 20), pieces: 64}
		case 1:
			return &caller{head: head("/once/1", i, chunkedFraming), piece: small, pieces: 4 << 20 / (16 << 10)}
		case 2:
			return &caller{head: head("/once/1", i, chunkedFraming), piece: chunk(1 << 20), pieces: 3, tail: chunk(1<<20 - 1)}
		default:
			return &caller{head: head("/once/1", i, fmt.Sprintf("Content-Length: %d", 2*bodyLimit)), piece: bytes.Repeat([]byte("x"), 1<<20), pieces: 7, tail: bytes.Repeat([]byte("x"), 1<<20-1)}
		}
	})
}

// Guards against streams that are buffered without a bound for callers that don't read.
func TestCrowdSlowStreamReaders(t *testing.T) {
	run(t, streamHold, func(i int) *caller {
		return &caller{head: head("/ask/1", i, "X-Model: m\r\nX-Token-Counts: 1000,276\r\nContent-Length: 0")}
	})
}

// Guards against idle connections that take all descriptors: an accept that failed for want of
// them ended the process.
func TestCrowdIdleConnections(t *testing.T) {
	e := startEntry(t)
	for range idleCount {
		conn, err := net.Dial("tcp", e.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(awaitTimeout)) // if this fails, so does the write
		if _, err := io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			continue // closed by the entry
		}
		_, _ = conn.Read(make([]byte, 4096)) // the answer, or the end
	}
	e.check()
	e.awaitOrdinaryAnswer()
	e.check()
}
