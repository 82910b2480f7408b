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

// soundPrompts are the sound prompts of a caller, and how many of them began.
type soundPrompts struct {
	p        *prompts
	answered chan struct{} // one was
	wg       sync.WaitGroup

	mu     sync.Mutex
	before begun
	beside begun
	to     time.Time // the end of the time before the poisoned requests
	again  time.Time // from then on those beside them count
}

// start sends sound prompts to the entries by turns until the end.
func (q *soundPrompts) start(interval time.Duration) {
	q.wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-q.p.end:
				return
			case <-time.After(interval):
				i := n % len(q.p.w.entries)
				q.wg.Go(func() { q.ask(i, fmt.Sprintf("%d-%06x", i, 0x100000+n)) })
			}
		}
	})
}

func (q *soundPrompts) ask(i int, id string) {
	sentAt := time.Now()
	a := q.p.ask(i, id, "sound", "91bd3f06:4900", "5000,460")
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

// sharedPart lets a caller send prompts with a part on which engines crash, one shortly after the other, and
// some more later, while its sound prompts go on, which share another part.
func sharedPart(w *world, trouble bool) (int, error) {
	const (
		soundInterval = 900 * time.Millisecond
		beforeTime    = 21 * time.Second
		burst         = 8
		burstInterval = 30 * time.Millisecond
		laterInterval = time.Second
		besideTime    = 21 * time.Second
		enough        = 20 // requests of the rule
	)
	g, p, err := w.addEngines(!trouble)
	if err != nil {
		return 0, err
	}
	q := &soundPrompts{p: p, answered: make(chan struct{})}
	q.start(soundInterval)
	time.Sleep(beforeTime)
	<-q.answered // the next one is answered most of a second later
	q.mu.Lock()
	q.to = time.Now()
	q.mu.Unlock()
	for range burst {
		p.poison()
		time.Sleep(burstInterval)
	}
	until := time.Now().Add(2*stabilityWindow + besideTime)
	for time.Now().Before(until) {
		time.Sleep(laterInterval)
		p.poison()
		if q.again.IsZero() && time.Until(until) < besideTime {
			q.mu.Lock()
			q.again = time.Now()
			q.mu.Unlock()
			w.note("sound requests count from now on; engines have crashed %d times", g.count())
		}
	}
	close(p.end)
	q.wg.Wait()
	p.sound.Wait()
	g.wg.Wait()
	w.note("of sound requests began: %d of %d before, %d of %d beside the poisoned ones; %d crashes", q.before.began, q.before.all, q.beside.began, q.beside.all, g.count())
	if q.before.all < enough || q.beside.all < enough {
		return 0, fmt.Errorf("too few sound requests")
	}
	if 2*q.beside.began*q.before.all < q.before.began*q.beside.all {
		return q.beside.all - q.beside.began, nil
	}
	return 0, nil
}

// poison sends a poisoned request to the next entry, and doesn't wait for the answer.
func (p *prompts) poison() {
	p.poisoned++
	i := p.poisoned % len(p.w.entries)
	id := fmt.Sprintf("%d-%06x", i, 0x900000+p.poisoned)
	p.sound.Go(func() { p.ask(i, id, "poisoned", poisonPart+":410,91bd3f06:44490", "45000,460") })
}

// count returns how often engines have crashed.
func (g *engines) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.crashes)
}
