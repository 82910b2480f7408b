package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// begun counts requests, and those of them that began.
type begun struct{ all, began int }

// add counts a request.
func (b *begun) add(a answer) {
	b.all++
	if a.status == http.StatusOK {
		b.began++
	}
}

// caller sends sound prompts with a first part and a shared one, and poisoned prompts with a part between them.
type caller struct {
	p        *prompts
	n        int // tells its parts from those of others
	answered chan struct{}
	end      chan struct{}
	wg       sync.WaitGroup

	mu     sync.Mutex
	before begun     // sound prompts before the poisoned ones
	beside begun     // sound prompts beside them that count
	to     time.Time // the end of the time before
	again  time.Time // from then on those beside them count
}

// startSound sends sound prompts to the entries by turns until the end.
func (q *caller) startSound(interval time.Duration) {
	q.wg.Go(func() {
		for k := 0; ; k++ {
			select {
			case <-q.end:
				return
			case <-time.After(interval):
				i := k % len(q.p.w.entries)
				q.wg.Go(func() { q.ask(i, fmt.Sprintf("%d-%x%05x", i, q.n, 0x10000+k)) })
			}
		}
	})
}

func (q *caller) ask(i int, id string) {
	sentAt := time.Now()
	a := q.p.ask(i, id, "sound", fmt.Sprintf("5c1e07a%d:40,91bd3f0%d:4900", q.n, q.n), "5000,460")
	select {
	case q.answered <- struct{}{}:
	default: // nobody waits
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.to.IsZero():
		q.before.add(a)
	case !q.again.IsZero() && sentAt.After(q.again):
		q.beside.add(a)
	}
}

// poison sends a poisoned prompt to the next entry, and doesn't wait for the answer.
func (q *caller) poison() {
	p := q.p
	p.poisoned++
	i := p.poisoned % len(p.w.entries)
	id := fmt.Sprintf("%d-%x%05x", i, q.n, 0x90000+p.poisoned)
	parts := fmt.Sprintf("5c1e07a%d:40,%s%d:410,91bd3f0%d:44490", q.n, poisonPart, q.n, q.n)
	q.wg.Go(func() { p.ask(i, id, "poisoned", parts, "45000,460") })
}

// play sends sound prompts, then some poisoned ones shortly after each other, and single ones later.
func (q *caller) play() {
	const (
		soundInterval = 900 * time.Millisecond
		beforeTime    = 21 * time.Second
		burst         = 8
		burstInterval = 30 * time.Millisecond
		laterInterval = time.Second
		besideTime    = 20 * time.Second
	)
	q.startSound(soundInterval)
	time.Sleep(beforeTime)
	<-q.answered // the next one is answered most of a second later
	q.mu.Lock()
	q.to = time.Now()
	q.mu.Unlock()
	for range burst {
		q.poison()
		time.Sleep(burstInterval)
	}
	time.Sleep(2 * stabilityWindow)
	q.mu.Lock()
	q.again = time.Now()
	q.mu.Unlock()
	for until := time.Now().Add(besideTime); time.Now().Before(until); time.Sleep(laterInterval) {
		q.poison()
	}
	close(q.end)
	q.wg.Wait()
}

// lost returns how many sound prompts that count didn't begin, if less than half as many began as before.
func (q *caller) lost() (int, error) {
	const enough = 20 // requests of the rule
	q.p.w.note("caller %d: of sound requests began: %d of %d before, %d of %d beside the poisoned ones", q.n, q.before.began, q.before.all, q.beside.began, q.beside.all)
	if q.before.all < enough || q.beside.all < enough {
		return 0, fmt.Errorf("too few sound requests")
	}
	if 2*q.beside.began*q.before.all < q.before.began*q.beside.all {
		return q.beside.all - q.beside.began, nil
	}
	return 0, nil
}

// sharedPart lets two callers, one after the other, send prompts with a part on which engines crash, while
// their sound prompts go on, which share another part.
func sharedPart(w *world, trouble bool) (int, error) {
	g, p, err := w.addEngines(!trouble)
	if err != nil {
		return 0, err
	}
	broken := 0
	for n := range 2 {
		q := &caller{p: p, n: n, answered: make(chan struct{}), end: make(chan struct{})}
		q.play()
		lost, err := q.lost()
		if err != nil {
			return 0, err
		}
		broken += lost
	}
	g.wg.Wait()
	w.note("engines crashed %d times", len(g.crashes))
	return broken, nil
}
