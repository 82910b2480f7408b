// Package link carries the twirp calls between entries: it signs and checks them
// with the key that all entries share, and counts their bytes.
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
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// headerPeer holds the caller's time in milliseconds, the signature and its VM.
	headerPeer = "X-Peer"
	macBytes   = 16

	maxBody = 16 << 20 // bytes
	// maxSkew is the largest difference between the clocks of two entries.
	maxSkew        = 30 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 2
	headerTimeout  = 5 * time.Second
	// requestHead and answerHead are the bytes of a head beside its path and signature.
	requestHead = 92
	answerHead  = 75
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
		DisableCompression:    true, // bodies are small
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
	head := l.sign(signed, body)
	l.counters.sent.Add(int64(len(body) + head))
	res, err := l.carry(signed)
	if err != nil {
		return nil, err
	}
	res.Body = &countedBody{ReadCloser: res.Body, count: &l.counters.received}
	l.counters.received.Add(answerHead)
	return res, nil
}

// sign sets the signature, drops the headers that the other side doesn't read, and
// returns the length of the head.
func (l *Link) sign(r *http.Request, body []byte) int {
	for _, name := range []string{"Accept", "Twirp-Version"} {
		r.Header.Del(name)
	}
	r.Header.Set("User-Agent", "") // net/http sends none
	ms := strconv.FormatInt(l.now().UnixMilli(), 10)
	r.Header.Set(headerPeer, ms+" "+l.mac(l.vm, ms, r, body)+" "+l.vm)
	return headLen(r)
}

func headLen(r *http.Request) int {
	return requestHead + len(r.URL.Path) + len(host(r)) + len(r.Header.Get(headerPeer))
}

// host is what the caller dialled; an in-memory carrier leaves it in the URL.
func host(r *http.Request) string {
	if r.Host != "" {
		return r.Host
	}
	return r.URL.Host
}

// ServeHTTP checks the signature of a call and serves it.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.counters.received.Add(int64(len(body) + headLen(r)))
	if err := l.check(r, body); err != nil {
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	r = r.WithContext(context.WithValue(r.Context(), callerKey{}, caller(r)))
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header()["Date"] = nil // nobody reads it
	l.counters.sent.Add(answerHead)
	l.mux.ServeHTTP(&countedWriter{ResponseWriter: w, count: &l.counters.sent}, r)
}

type callerKey struct{}

// Caller returns the VM that signed the call of a handler's context.
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

// mac signs the caller, its time, the receiver, the path and the body.
func (l *Link) mac(vm, ms string, r *http.Request, body []byte) string {
	h := hmac.New(sha256.New, l.key)
	sum := sha256.Sum256(body)
	_, _ = fmt.Fprintf(h, "%s\n%s\n%s\n%s\n%x", vm, ms, host(r), r.URL.Path, sum) // a hash never fails
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil)[:macBytes])
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
