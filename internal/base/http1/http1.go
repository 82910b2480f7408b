// Package http1 checks the heads of HTTP/1 responses (RFC 9112) for what the HTTP libraries accept
// though it is not valid, and what a server in trouble may send.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// maxLineBytes is how much of the start of a line is kept. It holds the status.
	maxLineBytes = 64

	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// errTransferCoding means that the framing is faulty (RFC 9112, 6.1): HTTP libraries use the length, or the
// end of the connection, and take the chunks for the body.
var errTransferCoding = errors.New("transfer coding in a version without any")

// part is the part of a response that the next byte belongs to.
type part int

const (
	partStatusLine part = iota
	partName            // of a field, or the empty line that ends the head
	partValue           // of a field, to the end of its line
	partBody
)

// Reader reads the bytes of a response and fails where its head is not valid. Reads after its body
// are not checked.
type Reader struct {
	r       io.Reader
	part    part
	line    []byte // the start of the status line, or of a field's name
	cr      bool   // the line began with a CR
	final   bool   // no other head follows this one
	codings bool   // the version has transfer codings
	err     error
}

// NewReader returns a reader of the response that r begins with. Interim responses may precede it.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Read reads from the underlying reader. If a head turns out not to be valid it returns nothing of what it
// has read, and from then on an error of type *Error.
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

// Err returns the error of a head that is not valid, or nil. HTTP libraries may return another error
// in its place.
func (r *Reader) Err() error { return r.err }

// check takes the next byte of a head.
func (r *Reader) check(c byte) error {
	switch r.part {
	case partStatusLine:
		return r.checkStatusLine(c)
	case partName:
		return r.checkName(c)
	case partValue:
		if c == '\n' {
			r.beginLine()
		}
	}
	return nil
}

// checkStatusLine takes the next byte of a status line, which empty lines may precede.
func (r *Reader) checkStatusLine(c byte) error {
	if c != '\n' {
		r.keep(c)
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
	r.final, r.codings = status >= minFinalStatus, bytes.HasPrefix(line, []byte("HTTP/1.1 "))
	r.beginLine()
	return nil
}

// beginLine expects a field, or the end of the head.
func (r *Reader) beginLine() {
	r.part, r.line, r.cr = partName, r.line[:0], false
}

// beginResponse expects a status line.
func (r *Reader) beginResponse() { r.part, r.line = partStatusLine, r.line[:0] }

// keep adds a byte to the start of the line.
func (r *Reader) keep(c byte) {
	if len(r.line) < maxLineBytes {
		r.line = append(r.line, c)
	}
}

// checkName takes the next byte of a field's name, or of the empty line that ends the head. It refuses
// folded lines too (RFC 9112, 5.2): joined to the field before, they change its value, and a field whose
// name begins with a blank looks the same.
func (r *Reader) checkName(c byte) error {
	switch {
	case c == '\n' && len(r.line) == 0 && r.final:
		r.part = partBody
	case c == '\n' && len(r.line) == 0:
		r.beginResponse()
	case c == '\r' && len(r.line) == 0 && !r.cr:
		r.cr = true
	case c == ':' && !r.codings && bytes.EqualFold(r.line, []byte("Transfer-Encoding")):
		return fail(KindFraming, errTransferCoding)
	case c == ':' && len(r.line) > 0:
		r.part = partValue
	case r.cr || !isTokenByte(c):
		return fail(KindField, fmt.Errorf("byte %q after %q", c, r.line))
	default:
		r.keep(c)
	}
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

// isTokenByte reports whether names of fields may have the byte (RFC 9110, 5.6.2).
func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// CheckHeader returns an error of KindField if a name in a header is not valid. net/http keeps names
// with blanks as they came.
func CheckHeader(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fail(KindField, fmt.Errorf("name %q", name))
		}
	}
	return nil
}

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
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
	c.responses.beginResponse()
	return c.Conn.Write(p)
}
