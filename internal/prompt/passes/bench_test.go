package passes

import (
	"fmt"
	"testing"
	"time"
)

// loadedPlanner returns a planner whose engines have eight streams each from another
// entry.
func loadedPlanner(engines int, now time.Time) *Planner {
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0.5 }}, UsersFigures())
	var (
		list  []Engine
		sends []Send
	)
	for i := range engines {
		name := fmt.Sprintf("i-%08x", i)
		list = append(list, Engine{Name: name, Address: name})
		for range 8 {
			sends = append(sends, Send{Engine: name, Context: 6500, Gap: 800 * time.Millisecond, Weight: 1.5, At: now, Due: now, Writing: true})
		}
	}
	p.SetEngines(list)
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: sends}})
	return p
}

// benchKinds are a short prompt, placed on one engine, and a long one, split over many.
var benchKinds = []struct {
	name       string
	tokens     int
	target     time.Duration
	gap, limit time.Duration
}{
	{"short", 4960, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second},
	{"long", 210_000, 3 * time.Second, 800 * time.Millisecond, 15 * time.Second},
}

// BenchmarkPlace measures placing a prompt and ending it.
func BenchmarkPlace(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for _, n := range []int{18, 60, 300, 3900} {
		for _, s := range benchKinds {
			b.Run(fmt.Sprintf("engines=%d/%s", n, s.name), func(b *testing.B) {
				p := loadedPlanner(n, now)
				job := Job{Tokens: s.tokens, MaxTokens: 1500, Target: s.target, Gap: s.gap, Arrived: now, Deadline: now.Add(s.limit)}
				b.ReportAllocs()
				for b.Loop() {
					t, err := p.Submit(job)
					if err != nil {
						b.Fatal(err)
					}
					p.Done(t, Outcome{Answered: true})
				}
			})
		}
	}
}
