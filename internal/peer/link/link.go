// Package link carries the twirp calls between entries: it signs and checks them
// with the key that all entries share, and counts their bytes.
package link

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	headerVM   = "X-Peer-Vm"
	headerTime = "X-Peer-Time"
	headerMAC  = "X-Peer-Mac"

	maxBody = 16 << 20 // bytes
	// maxSkew is the largest difference between the clocks of two entries.
	maxSkew        = 30 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 2
	headerTimeout  = 5 * time.Second
	// headBytes stands for the head of a request or an answer in the counts.
	headBytes = 300
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnsigned is the kind of a call without a valid signature.
	KindUnsigned Kind = "not signed"
	// KindSkew is the kind of a call whose time differs too much.
	KindSkew Kind = "clock skew"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("peer link")

// Counters count the bytes of calls, both ways.
type Counters struct {
	sent, received atomic.Int64
}

// Sent returns the bytes sent.
func (c *Counters) Sent() int64 { return c.sent.Load() }

// Received returns the bytes received.
func (c *Counters) Received() int64 { return c.received.Load() }

// Link signs and checks calls. Its methods may be called from any goroutine.
type Link struct {
	vm       string
	key      []byte
	counters Counters
	now      func() time.Time
	mux      *http.ServeMux
	carry    func(*http.Request) (*http.Response, error)
}

// New returns a link of the VM that carries calls over the network.
func New(network *netio.Network, vm, key string) *Link {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost:   maxIdlePerHost,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: headerTimeout,
	}}
	return NewOver(vm, key, client.Do)
}

// NewOver returns a link that carries calls by the function.
func NewOver(vm, key string, carry func(*http.Request) (*http.Response, error)) *Link {
	return &Link{vm: vm, key: []byte(key), now: time.Now, mux: http.NewServeMux(), carry: carry}
}

// Counters returns the counts of bytes.
func (l *Link) Counters() *Counters { return &l.counters }

// Handle serves a twirp service. Call it before the link serves.
func (l *Link) Handle(pathPrefix string, h http.Handler) { l.mux.Handle(pathPrefix, h) }

// Do signs and carries a request. It makes a link the HTTP client of twirp's
// generated clients.
func (l *Link) Do(r *http.Request) (*http.Response, error) {
	body, err := readAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	ms := strconv.FormatInt(l.now().UnixMilli(), 10)
	signed.Header.Set(headerVM, l.vm)
	signed.Header.Set(headerTime, ms)
	signed.Header.Set(headerMAC, l.mac(l.vm, ms, r.URL.Path, body))
	l.counters.sent.Add(int64(len(body)) + headBytes)
	res, err := l.carry(signed)
	if err != nil {
		return nil, err
	}
	res.Body = &countedBody{ReadCloser: res.Body, count: &l.counters.received}
	l.counters.received.Add(headBytes)
	return res, nil
}

// ServeHTTP checks the signature of a call and serves it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.counters.received.Add(int64(len(body)) + headBytes)
	if err := l.check(r, body); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.counters.sent.Add(headBytes)
	l.mux.ServeHTTP(&countedWriter{ResponseWriter: w, count: &l.counters.sent}, r)
}

func (l *Link) check(r *http.Request, body []byte) error {
	ms := r.Header.Get(headerTime)
	mac := l.mac(r.Header.Get(headerVM), ms, r.URL.Path, body)
	if !hmac.Equal([]byte(mac), []byte(r.Header.Get(headerMAC))) {
		return fault.New(&class, "check", KindUnsigned, nil)
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil {
		return fault.New(&class, "check", KindUnsigned, err)
	}
	if skew := l.now().Sub(time.UnixMilli(n)).Abs(); skew > maxSkew {
		return fault.New(&class, "check", KindSkew, fmt.Errorf("%s", skew))
	}
	return nil
}

func (l *Link) mac(vm, ms, path string, body []byte) string {
	h := hmac.New(sha256.New, l.key)
	sum := sha256.Sum256(body)
	_, _ = fmt.Fprintf(h, "%s\n%s\n%s\n%x", vm, ms, path, sum) // a hash never fails
	return hex.EncodeToString(h.Sum(nil))
}

// Server returns an HTTP server of the link.
func (l *Link) Server() *http.Server {
	return &http.Server{Handler: l, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTimeout}
}

func readAll(r io.ReadCloser) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	b, err := io.ReadAll(r)
	return b, errors.Join(err, r.Close())
}

type countedBody struct {
	io.ReadCloser
	count *atomic.Int64
}

// Read counts what it reads.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

type countedWriter struct {
	http.ResponseWriter
	count *atomic.Int64
}

// Write counts what it writes.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.count.Add(int64(n))
	return n, err
}
