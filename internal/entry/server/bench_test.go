package server

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

// BenchmarkRequestDirect requests one token from the stand-in engine directly.
func BenchmarkRequestDirect(b *testing.B) {
	h := newHarness(b, 1, fastEngine())
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		body := fmt.Sprintf(`{"stream":"s%d","model":"m","prompt":"hello","max_tokens":1}`, n)
		fetch(b, "http://"+h.EngineAddr(0)+"/v1/streams", body)
	}
}

// BenchmarkRequestThroughEntry requests one token through an entry. The difference to
// BenchmarkRequestDirect is the overhead of the entry.
func BenchmarkRequestThroughEntry(b *testing.B) {
	h := newHarness(b, 1, fastEngine())
	b.ReportAllocs()
	for b.Loop() {
		fetch(b, "http://"+h.entries[0].Addr()+"/v1/completions", `{"model":"exact","stream":true,"prompt":"hello","max_tokens":1}`)
	}
}

func fastEngine() []engine.Config {
	return engines(1, func(cfg *engine.Config) { cfg.Step, cfg.PrefillRate = 10*time.Microsecond, 1_000_000_000 })
}

func fetch(b *testing.B, url, body string) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+guildKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil || res.StatusCode != http.StatusOK {
		b.Fatal(res.StatusCode, err)
	}
	_ = res.Body.Close()
}

const concurrentCallers = 50

// BenchmarkCallerGone measures the time from a caller's disconnect between two tokens
// to the end of its stream at the engine, with 50 callers disconnecting at once.
func BenchmarkCallerGone(b *testing.B) {
	h := newHarness(b, 1, engines(1, nil))
	var took []time.Duration
	for b.Loop() {
		h.Engines[0].SetSlow(1)
		var open []*stream
		for range concurrentCallers {
			open = append(open, h.open(h.entries[0], "exact", promptOf(100)).read(1))
		}
		h.Engines[0].SetSlow(1_000) // no stream finishes by itself
		start := time.Now()
		for _, s := range open {
			s.close()
		}
		took = append(took, streamEndTimes(h.Engines[0], start)...)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds(), "s-p50")
	b.ReportMetric(took[len(took)*99/100].Seconds(), "s-p99")
	b.ReportMetric(took[len(took)-1].Seconds(), "s-max")
}

// streamEndTimes returns the time from start to the end of each stream of the engine.
func streamEndTimes(e *engine.Engine, start time.Time) []time.Duration {
	var out []time.Duration
	for len(out) < concurrentCallers {
		running := 0
		list, _ := e.Streams() // fails only for a dead engine
		for _, s := range list {
			if s.Finish == "" {
				running++
			}
		}
		for len(out) < concurrentCallers-running {
			out = append(out, time.Since(start))
		}
		time.Sleep(time.Millisecond)
	}
	return out
}
