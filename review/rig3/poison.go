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
	poisonPart = "bad0c0de" // the part of a prompt on which engines crash
	events     = 6
	passTime   = 40 * time.Millisecond
	backAfter  = 3 * time.Second // an engine that crashed is back
	lapseTime  = 3600 * time.Millisecond
)

// arrival is a poisoned request at an engine.
type arrival struct {
	at    time.Time
	entry int
	id    string
}

// engines is a service of engines that crash as they begin to write an answer on the poisoned part.
type engines struct {
	w *world

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []arrival
	starts   int
	closed   bool
	wg       sync.WaitGroup
}

// answer streams events, or crashes the engine after the head of the answer.
func (g *engines) answer(s *server, c net.Conn, req *http.Request, _ string) {
	poisoned := strings.Contains(req.Header.Get("X-Prompt-Prefix"), poisonPart+":")
	if poisoned {
		g.mu.Lock()
		id := req.Header.Get("X-Attempt-Id")
		g.arrivals = append(g.arrivals, arrival{time.Now(), int(id[0] - '0'), id})
		g.mu.Unlock()
		s.reached(req, true, "poisoned")
	}
	time.Sleep(passTime)
	if _, err := io.WriteString(c, s.head(req, "200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return // the caller is gone
	}
	if poisoned {
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

// poisonForgotten kills all entries at the same moment, after they have learned on which part of a prompt
// engines crash, and sends them such requests again once they are in touch.
func poisonForgotten(w *world, trouble bool) (int, error) {
	const (
		engineCount  = 14
		soundPause   = 200 * time.Millisecond // between the sound requests at an entry
		restartDelay = 500 * time.Millisecond
		margin       = 300 * time.Millisecond
		most         = 3 // requests of the rule
		fifth        = 5 // crash of the rule
	)
	g := &engines{w: w}
	zones := []string{"waco-a", "temple-b", "bryan-c"}
	for i := range engineCount {
		s, err := w.addServer(fmt.Sprintf("i-llm-%d", i), "llm", zones[i%len(zones)])
		if err != nil {
			return 0, err
		}
		s.setAnswer(g.answer)
	}
	w.configure([]route{{name: "r-step", prefix: "/step/", kind: "streaming", service: "llm", timeoutMS: 10000}}, map[string]bool{"llm": true})
	if err := w.addEntries([]string{"waco-a", "waco-a", "temple-b", "bryan-c"}, nil); err != nil {
		return 0, err
	}
	ask := func(i int, id, parts, tokens string) answer {
		return w.ask(w.entries[i], id, http.MethodPost, "/step/"+id, "prompt "+id, 10*time.Second,
			map[string]string{"X-Model": "m", "X-Token-Counts": tokens, "X-Prompt-Prefix": "5c1e07a2:40," + parts + ",f0" + id[2:] + ":60"})
	}
	var sound sync.WaitGroup
	end := make(chan struct{})
	for i := range w.entries {
		sound.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(soundPause):
				}
				id := fmt.Sprintf("%d-%06x", i, 0x100000+n)
				a := ask(i, id, "91bd3f06:4900", "5000,460")
				w.note("client: sound %s sent to %s: status %d, whole %t", id, w.entries[i].name, a.status, a.whole)
			}
		})
	}
	poisoned := 0
	batch := func(each int) { // requests to all entries at the same moment, no two alike
		var wg sync.WaitGroup
		for i := range w.entries {
			for range each {
				poisoned++
				id := fmt.Sprintf("%d-%06x", i, 0x900000+poisoned)
				wg.Go(func() {
					a := ask(i, id, poisonPart+":410,91bd3f06:44490", "45000,460")
					w.note("client: poisoned %s sent to %s: status %d, whole %t", id, w.entries[i].name, a.status, a.whole)
				})
			}
		}
		wg.Wait()
	}
	time.Sleep(2 * time.Second)
	batch(2)
	time.Sleep(stabilityWindow + 2*time.Second)
	g.mu.Lock()
	learned := append([]time.Time(nil), g.crashes...)
	g.mu.Unlock()
	if len(learned) < fifth {
		return 0, fmt.Errorf("only %d crashes before the entries had learned of the part", len(learned))
	}
	if trouble {
		w.note("all entries are killed at the same moment")
		for _, e := range w.entries {
			_ = e.cmd.Process.Kill() // it runs
		}
		for _, e := range w.entries {
			<-e.done
		}
		time.Sleep(restartDelay)
		for _, e := range w.entries {
			if err := w.start(e); err != nil {
				return 0, err
			}
		}
	}
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stabilityWindow + margin)
	countFrom := learned[fifth-1].Add(stabilityWindow)
	inTouch := time.Now()
	w.note("all entries are in touch again")
	batch(1)
	time.Sleep(time.Second)
	close(end)
	sound.Wait()
	g.mu.Lock()
	n := 0
	for _, a := range g.arrivals {
		if a.at.After(inTouch) && a.at.After(countFrom) {
			n++
		}
	}
	total := len(g.crashes)
	g.mu.Unlock()
	g.wg.Wait()
	w.note("%d poisoned requests reached servers later than %s after crash %d, sent by entries in touch; %d are allowed; %d crashes in all", n, stabilityWindow, fifth, most, total)
	if n > most {
		return n, nil
	}
	return 0, nil
}
