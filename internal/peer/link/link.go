// Package link is the transport of Twirp calls between entries. It signs calls and verifies
// their signatures with a key that all entries share, and counts their bytes.
package link

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/http1"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// headerPeer holds the caller's time in Unix milliseconds, the signature and the caller's
	// VM, separated by spaces.
	headerPeer = "X-Peer"
	macBytes   = 16

	maxBodyBytes = 16 << 20
	// maxSkew is the maximum difference between the clocks of two entries.
	maxSkew        = 30 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 2
	headerTimeout  = 5 * time.Second
	// requestHeadBytes and answerHeadBytes are the sizes of the heads, for the counters, without
	// a request's path, host and headerPeer.
	requestHeadBytes = 92
	answerHeadBytes  = 75
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnsigned is the kind of a call without a valid signature.
	KindUnsigned Kind = "not signed"
	// KindSkew is the kind of a call whose time differs from the receiver's by more than maxSkew.
	KindSkew Kind = "clock skew"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("peer link")

// Counters count the bytes of calls in both directions.
type Counters struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes sent.
func (c *Counters) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes received.
func (c *Counters) Received() int64 { return c.received.Load() }

// Link signs outgoing calls and verifies incoming ones. It is safe for concurrent use.
type Link struct {
	vm        string
	key       []byte
	counters  Counters
	now       func() time.Time
	mux       *http.ServeMux
	roundTrip func(*http.Request) (*http.Response, error)
}

// New returns a Link for the VM that sends its calls over the network.
func New(network *netio.Network, vm, key string) *Link {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost:   maxIdlePerHost,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true, // bodies are small
		ResponseHeaderTimeout: headerTimeout,
	}}
	return NewOver(vm, key, client.Do)
}

// NewOver returns a Link that sends its calls with roundTrip.
func NewOver(vm, key string, roundTrip func(*http.Request) (*http.Response, error)) *Link {
	return &Link{vm: vm, key: []byte(key), now: time.Now, mux: http.NewServeMux(), roundTrip: roundTrip}
}

// Counters returns the byte counters.
func (l *Link) Counters() *Counters { return &l.counters }

// Handle registers the handler of a Twirp service. It must be called before the Link serves.
func (l *Link) Handle(pathPrefix string, h http.Handler) { l.mux.Handle(pathPrefix, h) }

// Do signs and sends a request. It implements the HTTPClient interface of generated Twirp
// clients.
func (l *Link) Do(r *http.Request) (*http.Response, error) {
	body, err := readAndClose(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	head := l.sign(signed, body)
	l.counters.sent.Add(int64(len(body) + head))
	res, err := l.roundTrip(signed)
	if err != nil {
		return nil, err
	}
	if err := http1.CheckHeader(res.Header); err != nil {
		return nil, errors.Join(err, res.Body.Close())
	}
	res.Body = &countingBody{ReadCloser: res.Body, count: &l.counters.received}
	l.counters.received.Add(answerHeadBytes)
	return res, nil
}

// sign sets the signature, removes headers that the receiver does not read, and returns the
// size of the head.
func (l *Link) sign(r *http.Request, body []byte) int {
	for _, name := range []string{"Accept", "Twirp-Version"} {
		r.Header.Del(name)
	}
	r.Header.Set("User-Agent", "") // keeps net/http from sending its default
	ms := strconv.FormatInt(l.now().UnixMilli(), 10)
	r.Header.Set(headerPeer, ms+" "+l.mac(l.vm, ms, r, body)+" "+l.vm)
	return headBytes(r)
}

func headBytes(r *http.Request) int {
	return requestHeadBytes + len(r.URL.Path) + len(host(r)) + len(r.Header.Get(headerPeer))
}

// host returns the address that the caller dialed. Requests of an in-memory transport have it
// in the URL only.
func host(r *http.Request) string {
	if r.Host != "" {
		return r.Host
	}
	return r.URL.Host
}

// ServeHTTP verifies the signature of a call and serves it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := readAndClose(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.counters.received.Add(int64(len(body) + headBytes(r)))
	if err := l.check(r, body); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	r = r.WithContext(context.WithValue(r.Context(), callerKey{}, caller(r)))
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header()["Date"] = nil // omitted, as callers do not read it
	l.counters.sent.Add(answerHeadBytes)
	l.mux.ServeHTTP(&countingWriter{ResponseWriter: w, count: &l.counters.sent}, r)
}

type callerKey struct{}

// Caller returns the VM that signed a call, from the context of its handler.
func Caller(ctx context.Context) string {
	vm, _ := ctx.Value(callerKey{}).(string)
	return vm
}

func caller(r *http.Request) string {
	if parts := strings.SplitN(r.Header.Get(headerPeer), " ", 3); len(parts) == 3 {
		return parts[2]
	}
	return ""
}

func (l *Link) check(r *http.Request, body []byte) error {
	parts := strings.SplitN(r.Header.Get(headerPeer), " ", 3)
	if len(parts) != 3 {
		return fault.New(&class, "check", KindUnsigned, nil)
	}
	if !hmac.Equal([]byte(l.mac(parts[2], parts[0], r, body)), []byte(parts[1])) {
		return fault.New(&class, "check", KindUnsigned, nil)
	}
	n, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return fault.New(&class, "check", KindUnsigned, err)
	}
	if skew := l.now().Sub(time.UnixMilli(n)).Abs(); skew > maxSkew {
		return fault.New(&class, "check", KindSkew, fmt.Errorf("%s", skew))
	}
	return nil
}

// mac returns the truncated HMAC-SHA256, in base64, of the caller's VM and time, the receiver's
// address, the path and the body's hash.
func (l *Link) mac(vm, ms string, r *http.Request, body []byte) string {
	h := hmac.New(sha256.New, l.key)
	sum := sha256.Sum256(body)
	_, _ = fmt.Fprintf(h, "%s\n%s\n%s\n%s\n%x", vm, ms, host(r), r.URL.Path, sum) // hash writes never fail
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// Server returns an HTTP server for the Link.
func (l *Link) Server() *http.Server {
	return &http.Server{Handler: l, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTimeout}
}

func readAndClose(r io.ReadCloser) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	b, err := io.ReadAll(r)
	return b, errors.Join(err, r.Close())
}

type countingBody struct {
	io.ReadCloser
	count *atomic.Int64
}

// Read counts the bytes that it reads.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

// Write counts the bytes that it writes.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.count.Add(int64(n))
	return n, err
}
