//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// attempt is a client's attempt and what the client saw of it.
type attempt struct {
	id     string
	what   string
	entry  string
	sentAt time.Time
	status int // 0: no answer
	whole  bool
	err    error

	endedAt time.Time
	leaving bool // the answer said that its server leaves
}

// send sends one request on a new connection and waits for the end of its answer, or until the client's
// time limit.
func (w *world) send(e *entry, what, method, path string, body []byte, limit time.Duration, headers map[string]string) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), what: what, entry: e.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("Authorization", "Token key-guild")
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(limit.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	w.rec.printf("sent %s %s to %s", a.id, what, e.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	res, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		a.err = err
		w.rec.printf("no answer to %s %s: %v", a.id, what, err)
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	_, a.err = io.Copy(io.Discard, res.Body)
	a.whole, a.endedAt, a.leaving = a.err == nil, time.Now(), res.Header.Get("Server-Leaving") != ""
	w.rec.printf("answer to %s %s: %d, whole %v, Retry-After %q, after %d ms", a.id, what, a.status, a.whole, res.Header.Get("Retry-After"), time.Since(a.sentAt).Milliseconds())
	return a
}

// every calls f at random intervals of the given mean, evenly drawn from half to one and a half of it, from
// a time to another one, each call in a goroutine of its own, and returns a function that waits for all.
func every(from, to time.Time, mean time.Duration, f func()) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		running := 0
		ended := make(chan struct{})
		time.Sleep(time.Until(from))
		for time.Now().Before(to) {
			time.Sleep(mean/2 + rand.N(mean))
			running++
			go func() {
				f()
				ended <- struct{}{}
			}()
			for range len(ended) {
				<-ended
				running--
			}
		}
		for range running {
			<-ended
		}
	}()
	return func() { <-done }
}
