package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// asked is a client attempt and its answer.
type asked struct {
	id         string
	entry      int
	sentAt     time.Time
	answeredAt time.Time
	answer     answer
}

// clients ask each entry for /status/ID, one request after the other, until they are stopped.
type clients struct {
	w   *world
	end chan struct{}
	wg  sync.WaitGroup

	mu   sync.Mutex
	list []asked
}

// startClients starts a client for each entry. The ids begin with the index of the entry.
func (w *world) startClients(interval time.Duration) *clients {
	c := &clients{w: w, end: make(chan struct{})}
	for i := range w.entries {
		c.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.end:
					return
				case <-time.After(interval):
					c.ask(i, fmt.Sprintf("%d-%04d", i, n))
				}
			}
		})
	}
	return c
}

func (c *clients) ask(i int, id string) {
	e, sentAt := c.w.entries[i], time.Now()
	a := c.w.ask(e, id, http.MethodGet, "/status/"+id, "", 2*time.Second, nil)
	c.w.note("client: %s sent to %s: status %d, %q, Server-Leaving %q, %v", id, e.name, a.status, a.body, a.header.Get("Server-Leaving"), a.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, asked{id: id, entry: i, sentAt: sentAt, answeredAt: time.Now(), answer: a})
}

// stop stops the clients and returns all attempts. It fails if none was served.
func (c *clients) stop() ([]asked, error) {
	close(c.end)
	c.wg.Wait()
	for _, a := range c.list {
		if a.answer.status == http.StatusOK {
			return c.list, nil
		}
	}
	return nil, fmt.Errorf("none of %d requests was served", len(c.list))
}

// sentAt returns when each attempt was sent, by id.
func sentAt(list []asked) map[string]time.Time {
	out := make(map[string]time.Time, len(list))
	for _, a := range list {
		out[a.id] = a.sentAt
	}
	return out
}

// entryOf returns the index of the entry that an attempt was sent to.
func entryOf(id string) int { return int(id[0] - '0') }
