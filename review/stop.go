//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the engines of pechat-fleet.
const (
	engineSlots     = 16
	engineStride    = 46
	engineStepMS    = 0.925
	enginePerSeqMS  = 0.00483
	enginePerKMS    = 0.00254
	engineReadPerMS = 256.0
	enginePairsMS   = 0.0917
)

// model is the state of a server of model requests, which takes the time that its figures declare.
type model struct {
	slots   chan struct{}
	mu      sync.Mutex
	running int
	context int    // tokens
	most    [2]int // of both
}

// pass returns the time of a pass.
func (m *model) pass() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	step := engineStepMS + enginePerSeqMS*float64(m.running) + enginePerKMS*float64(m.context)/1000
	return time.Duration(engineStride * step * float64(time.Millisecond))
}

func (m *model) add(n, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running += n
	m.context += tokens
	m.most = [2]int{max(m.most[0], m.running), max(m.most[1], m.context)}
}

// readTime returns the time to read a prompt on a number of servers.
func readTime(tokens, readers int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/engineReadPerMS + n*n/2/1e6*enginePairsMS) / float64(readers) * float64(time.Millisecond))
}

// serveModel serves orders, reports and prompts.
func (s *server) serveModel(w http.ResponseWriter, q *http.Request, body []byte, n int) {
	m := s.model
	prompt, _, _ := strings.Cut(q.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	events, _ := strconv.Atoi(string(body)) // the prompt decides the length of the answer
	readers := 1
	if h := q.Header.Get("X-Helpers"); h != "" {
		readers += len(strings.Split(h, ","))
	}
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	case <-q.Context().Done():
		return
	}
	m.add(0, tokens)
	defer m.add(0, -tokens)
	select {
	case <-time.After(readTime(tokens, readers)):
	case <-q.Context().Done():
		return
	}
	m.add(1, 0)
	defer m.add(-1, 0)
	w.Header().Set("X-Attempt-Id", q.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // 0 if there is none
	for i := from + 1; i <= events; i++ {
		select {
		case <-time.After(m.pass()):
		case <-q.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 65)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // a failed write shows at the next event
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].Whole = true
}

// serveOrder accepts reservations: the memory of the case is never full.
func (s *server) serveOrder(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"free_capacity": 100_000})
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "combined", "busy": false, "sequence": 1, "queue_depth": 0, "active_requests": s.model.running, "kv_cache_used": s.model.context, "kv_cache_total": 450000, "pace": 1})
}

// stopConfig returns a configuration of the kinds of model requests of pechat-fleet.
func stopConfig() map[string]any {
	c := channelsConfig()
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "archives", "host": host, "path_prefix": "/archive/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 3000, "target_gap_ms": 800,
		"priority": 1, "service": "pechat-llm", "max_attempts": 2, "public_access": false, "session_affinity": true, "resume_streams": true,
	}, map[string]any{
		"name": "dossiers", "host": host, "path_prefix": "/dossier/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 1500, "target_gap_ms": 500,
		"priority": 1, "service": "pechat-llm", "max_attempts": 2, "public_access": false, "session_affinity": true, "resume_streams": true,
	})
	return c
}

// balancer chooses entries as the platform does: one that missed two questions in a row gets no new
// channels until it answers 200, unless fewer than half are left.
type balancer struct {
	entries []*entry

	mu     sync.Mutex
	misses []int
}

// balance asks the entries of a zone each second until the case ends.
func (r *rig) balance(entries []*entry) *balancer {
	b := &balancer{entries: entries, misses: make([]int, len(entries))}
	for i, e := range entries {
		go func() {
			for !r.closing.Load() {
				ready := e.isReady()
				b.mu.Lock()
				was := b.misses[i]
				if b.misses[i]++; ready {
					b.misses[i] = 0
				}
				if (was >= 2) != (b.misses[i] >= 2) {
					r.note("rotation", map[string]any{"entry": e.name, "in": ready})
				}
				b.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

func (b *balancer) choose(i int) *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*entry
	for j, e := range b.entries {
		if b.misses[j] < 2 {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(b.entries) {
		in = b.entries
	}
	return in[i%len(in)]
}

// streamAnswer is what became of a stream.
type streamAnswer struct {
	answer
	Events int
	By     *entry
}

// stream sends a prompt and reads the events.
func (r *rig) stream(q request) streamAnswer {
	a := streamAnswer{answer: answer{Request: q, Sent: r.now()}, By: q.Entry}
	ctx, cancel := context.WithTimeout(context.Background(), q.Limit+requestMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Entry.front+q.Path, strings.NewReader(string(q.Body)))
	require(err)
	req.Host = host
	req.Header.Set("X-Attempt-Id", q.ID)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(q.Limit.Milliseconds()))
	req.Header.Set("Authorization", "Token "+q.Key)
	for k, v := range q.Headers {
		req.Header.Set(k, v)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(req)
	if err == nil {
		a.Status, a.Header = res.StatusCode, res.Header
		br := bufio.NewReader(res.Body)
		for err == nil {
			var line string
			if line, err = br.ReadString('\n'); strings.HasPrefix(line, "id:") {
				a.Events++
			}
		}
		if err == io.EOF {
			err, a.Whole = nil, true
		}
		_ = res.Body.Close()
	}
	a.Got, a.Err = r.now(), err
	return a
}

const (
	stopGap = time.Second // between the SIGTERMs
	// About two fifths of the rate of motif queries of pechat-fleet, all of its dossiers and half of its
	// archives, on a sixth of its servers.
	motifEach     = 57000 * time.Microsecond
	dossierEach   = 348432 * time.Microsecond
	archiveEach   = 2 * 840336 * time.Microsecond
	sentUntil     = 3 * time.Second // after SIGTERM: what is cut in the last sixth doesn't count
	engineCount   = 3
	stopLength    = 32 * time.Second
	dossierOutput = 21 // events
	archiveOutput = 17
	// maxShare is the most tokens that a request allows over those that its answer has.
	maxShare = 1.1
)

// stopAt is when the first entry is stopped, twice.
var stopAt = []time.Duration{6 * time.Second, 22 * time.Second}

// motifOutputs are the events of the motif queries, by turns; the longest of pechat-fleet have 87 events.
var motifOutputs = []int{35, 70}

// stopping stops all entries in turn while prompts come at a steady rate.
func stopping(r *rig) (bool, string) {
	r.quiet = true
	r.startStore()
	r.configure(stopConfig())
	for i := range engineCount {
		r.startModel(fmt.Sprintf("e-%d", i), "pechat-llm", "plovdiv-a")
	}
	r.startServer("i-0", "guild-orders", "a", 60*time.Millisecond)
	var entries []*entry
	for i := range 2 {
		entries = append(entries, r.startEntry(fmt.Sprintf("frontend-%d", i), "plovdiv-a"))
	}
	terms := map[*entry][]time.Duration{}
	var mu sync.Mutex
	begin := time.Now()
	if r.trouble {
		for _, at := range stopAt {
			for i, e := range entries {
				time.AfterFunc(at+time.Duration(i)*stopGap, func() {
					mu.Lock()
					defer mu.Unlock()
					terms[e] = append(terms[e], r.now())
					e.term()
					go e.restart()
				})
			}
		}
	}
	b := r.balance(entries)
	var (
		wg  sync.WaitGroup
		all []streamAnswer
	)
	load := func(kind string, tokens int, outputs []int, each, limit time.Duration) {
		wg.Go(func() {
			for i := 0; time.Since(begin) < stopLength; i++ {
				time.Sleep(time.Until(begin.Add(time.Duration(i) * each)))
				wg.Go(func() {
					events := outputs[i/len(entries)%len(outputs)]
					a := r.stream(request{Entry: b.choose(i), ID: fmt.Sprintf("%s-%d", kind, i), Method: http.MethodPost, Path: "/" + kind + "/1", Key: guildKey, Limit: limit,
						Headers: map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", tokens, int(maxShare*float64(events*engineStride))), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x%04x:%d", kind[0], i, tokens-40)}, Body: []byte(strconv.Itoa(events))})
					mu.Lock()
					defer mu.Unlock()
					all = append(all, a)
				})
			}
		})
	}
	load("motif", 4960, motifOutputs, motifEach, 10*time.Second)
	load("dossier", 45000, []int{dossierOutput}, dossierEach, 10*time.Second)
	load("archive", 210000, []int{archiveOutput}, archiveEach, 15*time.Second)
	wg.Wait()
	ran := map[string]bool{}
	for _, s := range r.servers {
		for _, x := range s.list() {
			ran[x.ID] = true
		}
	}
	for _, s := range r.servers {
		if s.model != nil {
			r.note("server", map[string]any{"server": s.id, "most_running": s.model.most[0], "most_context": s.model.most[1]})
		}
	}
	first := r.now()
	if r.trouble {
		first = terms[entries[0]][0]
	}
	statuses, before, cut, excused := map[int]int{}, map[int]int{}, 0, 0
	for _, a := range all {
		statuses[a.Status]++
		if a.Got < first {
			before[a.Status]++
		}
		if a.Whole || a.Status == 0 || !ran[a.Request.ID] {
			continue
		}
		at := time.Duration(0) // the last SIGTERM before the request was sent
		for _, t := range terms[a.By] {
			if t < a.Sent {
				at = t
			}
		}
		late := at > 0 && a.Sent > at+sentUntil && a.Got < at+grace+time.Second && a.Got-a.Sent < a.Request.Limit
		if late {
			cut++
		} else {
			excused++
		}
		r.note("cut", map[string]any{"id": a.Request.ID, "entry": a.By.name, "sent_after_sigterm": (a.Sent - at).Seconds(), "cut_after_sigterm": (a.Got - at).Seconds(), "events": a.Events, "counts": late})
	}
	return cut > 0, fmt.Sprintf("streams passed on to servers and cut that were sent over %s after SIGTERM: %d; cut, but excused: %d; answers by status before the first SIGTERM %v, in all %v", sentUntil, cut, excused, before, statuses)
}
