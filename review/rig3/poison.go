package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPart = "bad0c0de" // with which the parts begin on which engines crash
	events     = 6
	passTime   = 40 * time.Millisecond
	backAfter  = 3 * time.Second // an engine that crashed is back
	lapseTime  = 3600 * time.Millisecond
)

// engines is a service of engines that crash as they begin to write an answer on the poisoned part.
type engines struct {
	w        *world
	harmless bool // the part crashes none

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of poisoned requests
	starts   int
	wg       sync.WaitGroup
}

// answer streams events, or crashes the engine after the head of the answer.
func (g *engines) answer(s *server, c net.Conn, req *http.Request) {
	poisoned := strings.Contains(req.Header.Get("X-Prompt-Prefix"), poisonPart)
	if poisoned {
		g.mu.Lock()
		g.arrivals = append(g.arrivals, time.Now())
		g.mu.Unlock()
		s.reached(req, true, "poisoned")
	}
	time.Sleep(passTime)
	if _, err := io.WriteString(c, s.head(req, "200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return // the caller is gone
	}
	if poisoned && !g.harmless {
		time.Sleep(passTime)
		g.crash(s)
		return
	}
	last := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last) // none: from the start
	for i := last + 1; i <= events; i++ {
		if _, err := io.WriteString(c, chunk(event(i))); err != nil {
			return // the caller is gone
		}
		time.Sleep(passTime)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// crash ends an engine. It is back after some seconds at the same address, under another id; its old entry
// lapses.
func (g *engines) crash(s *server) {
	g.mu.Lock()
	if s.crashed {
		g.mu.Unlock()
		return
	}
	s.crashed = true
	g.crashes = append(g.crashes, time.Now())
	n := len(g.crashes)
	g.starts++
	id := fmt.Sprintf("i-llm-r%d", g.starts)
	g.mu.Unlock()
	g.w.note("server %s crashes; crash %d", s.id, n)
	s.crash()
	g.wg.Go(func() {
		time.Sleep(backAfter)
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			g.w.note("server %s does not come back: %s", s.id, err)
			return
		}
		next := serveOn(g.w, ln, id, s.service, s.zone)
		next.setAnswer(g.answer)
		g.mu.Lock()
		g.w.servers = append(g.w.servers, next)
		g.mu.Unlock()
		g.w.register(next, "ready")
		g.w.note("server %s is back as %s", s.id, id)
		time.Sleep(lapseTime - backAfter)
		g.w.store.Put(topicServers, s.id, nil)
	})
}

// prompts are the requests of clients with prompts.
type prompts struct {
	w        *world
	poisoned int // requests so far
	end      chan struct{}
	sound    sync.WaitGroup
}

// ask sends a prompt with the given parts between the first one and its own.
func (p *prompts) ask(i int, id, kind, parts, tokens string) answer {
	e := p.w.entries[i]
	a := p.w.ask(e, id, http.MethodPost, "/step/"+id, "prompt "+id, 10*time.Second, map[string]string{
		"X-Model": "m", "X-Token-Counts": tokens, "X-Prompt-Prefix": parts + ",f0" + id[2:] + ":60",
	})
	p.w.note("client: %s %s sent to %s: status %d, whole %t", kind, id, e.name, a.status, a.whole)
	return a
}

// startSound sends sound prompts to all entries until end is closed.
func (p *prompts) startSound() {
	const pause = 200 * time.Millisecond // between the prompts at an entry
	for i := range p.w.entries {
		p.sound.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-p.end:
					return
				case <-time.After(pause):
					p.ask(i, fmt.Sprintf("%d-%06x", i, 0x100000+n), "sound", "5c1e07a2:40,91bd3f06:4900", "5000,460")
				}
			}
		})
	}
}

// batch sends poisoned prompts to all entries at the same moment, no two alike, and waits for the answers.
func (p *prompts) batch(each int) {
	var wg sync.WaitGroup
	for n := range each * len(p.w.entries) {
		i := n / each
		p.poisoned++
		id := fmt.Sprintf("%d-%06x", i, 0x900000+p.poisoned)
		wg.Go(func() { p.ask(i, id, "poisoned", "5c1e07a2:40,"+poisonPart+":410,91bd3f06:44490", "45000,460") })
	}
	wg.Wait()
}

// restartAll kills all entries at the same moment, and starts them again.
func (w *world) restartAll(delay time.Duration) error {
	w.note("all entries are killed at the same moment")
	for _, e := range w.entries {
		_ = e.cmd.Process.Kill() // it runs
	}
	for _, e := range w.entries {
		<-e.done
	}
	time.Sleep(delay)
	for _, e := range w.entries {
		if err := w.start(e); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// fifth returns when the fifth engine crashed.
func (g *engines) fifth() (time.Time, error) {
	const fifth = 5 // crash of the rule
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.crashes) < fifth {
		return time.Time{}, fmt.Errorf("only %d crashes before the entries had learned of the part", len(g.crashes))
	}
	return g.crashes[fifth-1], nil
}

// arrivedAfter returns the number of poisoned requests that reached engines after both times.
func (g *engines) arrivedAfter(a, b time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, at := range g.arrivals {
		if at.After(a) && at.After(b) {
			n++
		}
	}
	return n
}

// poisonForgotten kills all entries at the same moment, after they have learned on which part of a prompt
// engines crash, and sends them such requests again once they are in touch.
func poisonForgotten(w *world, trouble bool) (int, error) {
	const (
		restartDelay = 500 * time.Millisecond
		margin       = 300 * time.Millisecond
	)
	g, p, err := w.addEngines(false)
	if err != nil {
		return 0, err
	}
	p.startSound()
	time.Sleep(2 * time.Second)
	p.batch(2)
	time.Sleep(stabilityWindow + 2*time.Second)
	fifthAt, err := g.fifth()
	if err != nil {
		return 0, err
	}
	if trouble {
		if err := w.restartAll(restartDelay); err != nil {
			return 0, err
		}
	}
	time.Sleep(stabilityWindow + margin)
	w.note("all entries are in touch")
	inTouch := time.Now()
	p.batch(1)
	time.Sleep(time.Second)
	close(p.end)
	p.sound.Wait()
	g.wg.Wait()
	return g.judge(inTouch, fifthAt), nil
}

// addEngines starts engines, entries and sound prompts.
func (w *world) addEngines(harmless bool) (*engines, *prompts, error) {
	const count = 14
	g := &engines{w: w, harmless: harmless}
	w.configure([]route{{name: "r-step", prefix: "/step/", kind: "streaming", service: "llm", timeoutMS: 10000}}, map[string]bool{"llm": true})
	if err := w.addServers("llm", count); err != nil {
		return nil, nil, err
	}
	for _, s := range w.servers {
		s.setAnswer(g.answer)
	}
	if err := w.addEntries(fourZones); err != nil {
		return nil, nil, err
	}
	return g, &prompts{w: w, end: make(chan struct{})}, nil
}

// judge returns the number of poisoned requests that reached engines after a time and later than
// stabilityWindow after the fifth crash, if there were more than the rule allows.
func (g *engines) judge(from, fifthAt time.Time) int {
	const most = 3 // requests of the rule
	n := g.arrivedAfter(from, fifthAt.Add(stabilityWindow))
	g.w.note("%d poisoned requests reached servers later than %s after the fifth crash, sent by entries in touch; %d are allowed; %d crashes in all", n, stabilityWindow, most, len(g.crashes))
	if n > most {
		return n
	}
	return 0
}
