//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	blameEngines     = 8
	blameBack        = 3 * time.Second // "back after some seconds"
	blameBaseline    = 14 * time.Second
	blameTrouble     = 24 * time.Second
	blameSound       = 500 * time.Millisecond // mean time between sound requests
	blameDeadly      = 130 * time.Millisecond // and between those with the deadly part
	minSamples       = 20
	crashesThatCount = 5
)

// playBlame: callers begin to use a new shared part; some prompts hold, before it, a part that crashes each
// server that begins to write an answer on it.
func playBlame(w *world, trouble bool) (bool, error) { return blame(w, trouble, false) }

// playBlameRestart is playBlame with the same shared part all the time, and with all entries killed and
// started again as the deadly prompts begin. It is no case: there are two disruptions.
func playBlameRestart(w *world, trouble bool) (bool, error) { return blame(w, trouble, true) }

func blame(w *world, trouble, restart bool) (bool, error) {
	const deadlyPart = "dead0001"
	deadly := func(req *http.Request) bool { return strings.Contains(req.Header.Get("X-Prompt-Prefix"), deadlyPart) }
	if err := w.addServers("pattern-llm", blameEngines, 16, answerStream(deadly, blameBack)); err != nil {
		return false, err
	}
	if err := w.configure([]map[string]any{{
		"name": "weave-step", "host": host, "path_prefix": "/weave/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300,
		"priority": 1, "service": "pattern-llm", "max_attempts": 2, "session_affinity": true, "resume_streams": true, "target_gap_ms": 200,
	}}, []map[string]any{engineService("pattern-llm")}); err != nil {
		return false, err
	}
	for i, zone := range []string{"waco-a", "temple-b", "bryan-c"} {
		if _, err := w.startEntry(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stability)

	var mu sync.Mutex
	var sound []*attempt
	ask := func(what, prefix string) *attempt {
		own := fmt.Sprintf("%08x", rand.Uint32())
		e := w.entries[rand.IntN(len(w.entries))]
		return w.send(e, what, http.MethodPost, "/weave/step", []byte("prompt "+own), 10*time.Second, map[string]string{
			"X-Model": "m", "X-Token-Counts": "1240,368", "X-Prompt-Prefix": prefix + own + ":1000",
		})
	}
	keep := func(a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		sound = append(sound, a)
	}
	// The first parts of the sound prompts: the one of old, and the one that callers use from changeAt on.
	start := time.Now()
	changeAt := start.Add(blameBaseline)
	end := changeAt.Add(blameTrouble)
	oldPart := "0a11ce01:40,"
	if restart {
		oldPart = "0a11ce02:40,"
	}
	waitOld := every(start, changeAt, blameSound, func() { keep(ask("sound, old part", oldPart)) })
	if restart {
		waitOld()
		if err := w.restartEntries(); err != nil {
			return false, err
		}
	}
	waitNew := every(changeAt, end, blameSound, func() { keep(ask("sound, new part", "0a11ce02:40,")) })
	if trouble {
		every(changeAt, end, blameDeadly, func() { ask("deadly", deadlyPart+":200,0a11ce02:40,") })()
	}
	waitOld()
	waitNew()

	// The rule: from 2 x stability_window_ms after the fifth crash, or the last, if there are fewer.
	crashes := w.crashTimes()
	from := changeAt
	if n := len(crashes); n > 0 {
		from = crashes[min(n, crashesThatCount)-1].Add(2 * stability)
	}
	w.rec.printf("%d crashes; sound requests count from %.3f s on", len(crashes), from.Sub(w.rec.start).Seconds())
	begun := w.begun()
	share := func(name string, from, to time.Time) (float64, int) {
		n, ran := 0, 0
		for _, a := range sound {
			if a.sentAt.Before(from) || !a.sentAt.Before(to) {
				continue
			}
			n++
			if len(begun[a.id]) > 0 {
				ran++
			}
		}
		w.rec.printf("%s: %d sound requests of the key and route, %d of them began at their first attempt", name, n, ran)
		return float64(ran) / float64(max(n, 1)), n
	}
	before, n1 := share("before the trouble", start, changeAt)
	during, n2 := share("in the trouble", from, end)
	if n1 < minSamples || n2 < minSamples {
		return false, fmt.Errorf("%d and %d sound requests, the rule needs %d of each", n1, n2, minSamples)
	}
	return during < before/2, nil
}
