//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Figures of pechat-fleet: of its smallest machine, and requests a second of its kinds.
	entryDescriptors = 6300
	entryMemoryMB    = 414
	streamRate       = 39.5 + 2.87 + 1.19
	orderRate        = 3.73
	lookupRate       = 3.0
	streamEvents     = 35
	eventInterval    = 50 * time.Millisecond

	keptClients    = 6 // clients that send all their requests on one channel
	keptPause      = 100 * time.Millisecond
	lossAt         = time.Second
	channelsLength = 109 * time.Second
	mayLose        = 3 // requests of kept channels
)

// channelsConfig returns a configuration of the services of pechat-fleet.
func channelsConfig() map[string]any {
	c := keysConfig(1, guildKey)
	c["routes"] = append(c["routes"].([]map[string]any),
		map[string]any{
			"name": "lookups", "host": host, "path_prefix": "/lookup/", "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 300,
			"priority": 2, "service": "guild-orders", "max_attempts": 2, "public_access": false,
		},
		map[string]any{
			"name": "motifs", "host": host, "path_prefix": "/motif/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300, "target_gap_ms": 200,
			"priority": 1, "service": "pechat-llm", "max_attempts": 2, "public_access": false, "session_affinity": true, "resume_streams": true,
		})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{
		"name": "pechat-llm", "health_check_path": "/health", "max_connections": 364, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 16, "kv_cache_tokens": 450000, "stride": 46, "step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254,
			"read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048, "hop_ms": 0.1,
		},
	})
	return c
}

// channel is a client's channel to an entry.
type channel struct {
	conn     net.Conn
	br       *bufio.Reader
	answered int
}

// outcome is what became of a request on a channel.
type outcome struct {
	id    string
	kept  bool // the channel had carried an answer before
	whole bool
	at    time.Duration
}

// users plays clients that keep their channels open.
type users struct {
	r *rig

	mu       sync.Mutex
	open     []*channel
	outcomes []outcome
	statuses map[int]int
	n        int
}

// ask sends a request on a channel and reads the answer.
func (u *users) ask(c *channel, q request) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Token %s\r\n", q.Method, q.Path, host, q.ID, q.Limit.Milliseconds(), q.Key)
	for k, v := range q.Headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.Body), q.Body)
	o := outcome{id: q.ID, kept: c.answered > 0}
	status := 0
	if _, err := io.WriteString(c.conn, b.String()); err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(q.Limit + requestMargin))
		if res, err := http.ReadResponse(c.br, nil); err == nil {
			status = res.StatusCode
			_, err = io.Copy(io.Discard, res.Body)
			o.whole = err == nil
		}
	}
	if o.whole {
		c.answered++
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	o.at = u.r.now()
	u.outcomes = append(u.outcomes, o)
	u.statuses[status]++
	return o.whole
}

// connect opens a channel, which stays open.
func (u *users) connect(e *entry) *channel {
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil
	}
	c := &channel{conn: conn, br: bufio.NewReader(conn)}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open = append(u.open, c)
	return c
}

// next returns the next request of a kind.
func (u *users) next(kind string) request {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.n++
	q := request{ID: fmt.Sprintf("%s-%d", kind, u.n), Key: guildKey, Limit: 3 * time.Second}
	switch kind {
	case "motif":
		q.Method, q.Path, q.Limit, q.Body = http.MethodPost, "/motif/1", 10*time.Second, []byte("a prompt")
		q.Headers = map[string]string{"X-Model": "m", "X-Token-Counts": "4960,1610", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4920", u.n)}
	case "order":
		q.Method, q.Path, q.Body = http.MethodPost, "/order/1", []byte("one die")
	default:
		q.Method, q.Path = http.MethodGet, "/lookup/1"
	}
	return q
}

func (u *users) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.open {
		_ = c.conn.Close()
	}
}

// use returns the resident memory of an entry in MB, and its descriptors.
func (e *entry) use() (mb, files int) {
	pid := e.cmd.Process.Pid
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, rest, ok := strings.Cut(string(b), "VmRSS:"); ok {
		mb, _ = strconv.Atoi(strings.Fields(rest)[0])
		mb /= 1024
	}
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return mb, len(list)
}

func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// channels plays users who each come with a channel of their own and keep it open, at the rates of
// pechat-fleet. Three of four entries are lost. The platform kills a process that exceeds its memory.
func channels(r *rig) (bool, string) {
	r.quiet = true
	r.descriptors = entryDescriptors
	r.startStore()
	r.configure(channelsConfig())
	zones := []string{"plovdiv-a", "plovdiv-b", "stara-zagora"}
	for i := range 3 {
		r.startServer(fmt.Sprintf("i-%d", i), "guild-orders", zones[i], 60*time.Millisecond)
	}
	for i := range 18 {
		r.startServer(fmt.Sprintf("e-%d", i), "pechat-llm", zones[i%3], eventInterval).events = streamEvents
	}
	var entries []*entry
	for i, zone := range []string{"plovdiv-a", "plovdiv-a", "plovdiv-b", "stara-zagora"} {
		entries = append(entries, r.startEntry(fmt.Sprintf("frontend-%d", i), zone))
	}
	u := &users{r: r, statuses: map[int]int{}}
	defer u.close()
	last := entries[0]
	begin, stop := time.Now(), make(chan struct{})
	var lost atomic.Bool // the other entries
	choose := func(i int) *entry {
		if lost.Load() {
			return last
		}
		return entries[i%len(entries)]
	}
	var wg sync.WaitGroup
	newUsers := func(kind string, rate float64) {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second))))):
				}
				wg.Go(func() {
					if c := u.connect(choose(i)); c != nil {
						u.ask(c, u.next(kind)) // the channel stays open
					}
				})
			}
		})
	}
	takes := keptPause + streamEvents*eventInterval
	newUsers("motif", streamRate-keptClients/takes.Seconds())
	newUsers("order", orderRate)
	newUsers("lookup", lookupRate)
	for i := range keptClients {
		wg.Go(func() {
			var c *channel
			for {
				select {
				case <-stop:
					return
				case <-time.After(keptPause):
				}
				if c == nil {
					c = u.connect(choose(i))
				}
				if c != nil && !u.ask(c, u.next("motif")) {
					c = nil
				}
			}
		})
	}
	if r.trouble {
		time.AfterFunc(lossAt, func() {
			lost.Store(true)
			for _, e := range entries[1:] {
				r.note("lost", map[string]any{"entry": e.name})
				e.kill()
			}
		})
	}
	ended, how := r.watchEnd(last, begin.Add(channelsLength))
	if ended > 0 {
		time.Sleep(500 * time.Millisecond) // clients read the ends of their channels
	}
	close(stop)
	wg.Wait()
	ran := map[string]bool{}
	for _, s := range r.servers {
		for _, x := range s.list() {
			ran[x.ID] = true
		}
	}
	cut, keptCut := 0, 0
	for _, o := range u.outcomes {
		if ended == 0 || o.whole || o.at < ended-time.Second || o.at > ended+time.Second || !ran[o.id] {
			continue
		}
		cut++
		if o.kept {
			keptCut++
		}
		r.note("no answer", map[string]any{"id": o.id, "kept_channel": o.kept, "at": o.at.Seconds()})
	}
	if u.statuses[http.StatusOK] < 1000 {
		panic(noRun{fmt.Errorf("too few answers: %v", u.statuses)})
	}
	r.note("answers", map[string]any{"by_status": u.statuses})
	return keptCut > mayLose, fmt.Sprintf("%s after %.1f s; requests that it had passed on to sound servers and that got no answer: %d, of these on kept channels: %d; answers by status: %v",
		how, ended.Seconds(), cut, keptCut, u.statuses)
}

// watchEnd kills an entry as the platform does if it exceeds its memory, and returns when and how it
// ended, or 0 if it runs at the given time.
func (r *rig) watchEnd(e *entry, until time.Time) (time.Duration, string) {
	for tick := 0; time.Now().Before(until); tick++ {
		time.Sleep(50 * time.Millisecond)
		if e.ended() {
			at := r.now()
			r.note("ended", map[string]any{"entry": e.name, "state": e.cmd.ProcessState.String(), "says": e.lastLine()})
			return at, "the entry ended by itself"
		}
		mb, files := e.use()
		if tick%40 == 0 || mb > entryMemoryMB {
			r.note("entry", map[string]any{"entry": e.name, "descriptors": files, "memory_mb": mb})
		}
		if mb > entryMemoryMB {
			r.note("killed", map[string]any{"entry": e.name, "why": "memory_mb exceeded"})
			at := r.now()
			e.kill()
			return at, fmt.Sprintf("the entry exceeded its memory (%d MB, %d descriptors) and was killed", mb, files)
		}
	}
	mb, files := e.use()
	return 0, fmt.Sprintf("the entry did not end (%d MB, %d descriptors)", mb, files)
}
