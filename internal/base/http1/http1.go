// Package http1 checks the heads of HTTP/1 responses (RFC 9112) for what the HTTP libraries accept
// though it is not valid, and what a server in trouble may send.
package http1

import (
	"bytes"
	"fmt"
	"io"
	"net"
)

const (
	// maxStatusBytes is how much of a status line is kept for its check. The status is at its start.
	maxStatusBytes = 64

	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// part is the part of a response that the next byte belongs to.
type part int

const (
	partStatusLine part = iota
	partFields
	partBody
)

// Reader reads the bytes of a response and fails where its head is not valid. Reads after its body
// are not checked.
type Reader struct {
	r     io.Reader
	part  part
	line  []byte // the start of the status line
	final bool   // no other head follows this one
	blank bool   // the line has nothing so far but perhaps its CR
	err   error
}

// NewReader returns a reader of the response that r begins with. Interim responses may precede it.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Read reads what the underlying reader returns, but nothing of a read in which a head is found not
// to be valid. That error is of type *Error, and lasts.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.r.Read(p)
	for i := 0; i < n && r.part != partBody; i++ {
		if r.err = r.check(p[i]); r.err != nil {
			return 0, r.err
		}
	}
	return n, err
}

// check takes the next byte of a head.
func (r *Reader) check(c byte) error {
	if r.part == partStatusLine {
		return r.checkStatusLine(c)
	}
	switch {
	case c == '\n' && !r.blank:
		r.blank = true
	case c == '\n' && r.final:
		r.part = partBody
	case c == '\n':
		r.part = partStatusLine
	case c != '\r':
		r.blank = false
	}
	return nil
}

// checkStatusLine takes the next byte of a status line, which empty lines may precede.
func (r *Reader) checkStatusLine(c byte) error {
	if c != '\n' {
		if len(r.line) < maxStatusBytes {
			r.line = append(r.line, c)
		}
		return nil
	}
	line := bytes.TrimSuffix(r.line, []byte("\r"))
	r.line = r.line[:0]
	if len(line) == 0 {
		return nil
	}
	status, ok := parseStatus(line)
	if !ok {
		return fail(KindStatus, fmt.Errorf("%q", line))
	}
	r.part, r.final, r.blank = partFields, status >= minFinalStatus, true
	return nil
}

// parseStatus returns the status of a status line, if it is valid: that of an interim or a final
// response, as no request asks for another protocol.
func parseStatus(line []byte) (status int, ok bool) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		status = 10*status + int(d-'0')
	}
	return status, len(digits) == 3 && status >= 100 && status <= maxStatus && status != switchingProtocols
}

// Conn is a client's connection that carries one request after another, each written whole before
// its response is read. The heads of the responses are checked. It is for one goroutine at a time.
type Conn struct {
	net.Conn

	responses *Reader
}

// NewConn returns a Conn over c, which has carried nothing yet.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, responses: NewReader(c)} }

// Read reads from a response, like Reader.
func (c *Conn) Read(p []byte) (int, error) { return c.responses.Read(p) }

// Write writes a part of a request. What is read after it begins with the response.
func (c *Conn) Write(p []byte) (int, error) {
	c.responses.part = partStatusLine
	c.responses.line = c.responses.line[:0]
	return c.Conn.Write(p)
}
