package experiment_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/command/experiment"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// draw returns a deployment that nobody has seen: engines, entries and a mix of prompts drawn at
// random, with bursts of short and of long prompts by turns, up to what the engines can take.
func draw(seed uint64) *experiment.Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	span := func(low, high float64) time.Duration {
		return time.Duration(between(low, high) * float64(time.Second)).Round(time.Millisecond)
	}
	e := experiment.Engines{
		Count: 8 + rng.IntN(28), Slots: 8 + rng.IntN(9), Queue: 24, MemoryTokens: 250_000 + rng.IntN(300_000), Stride: 30 + rng.IntN(50), ChunkTokens: 2048,
		Step: span(0.0008, 0.0012).Round(time.Microsecond), StepPerWriter: 4830 * time.Nanosecond, StepPerContext: 2540 * time.Nanosecond,
		ReadTokens: between(150_000, 300_000), ReadPairs: time.Duration(between(70_000, 110_000)), StepPerHelpers: 100 * time.Microsecond,
	}
	figures := passes.Figures{
		Slots: e.Slots, Memory: e.MemoryTokens, Stride: e.Stride, Chunk: e.ChunkTokens, Step: e.Step, PerWriter: e.StepPerWriter, PerContext: e.StepPerContext,
		ReadRate: e.ReadTokens, PerPairs: e.ReadPairs, PerHop: e.StepPerHelpers,
	}
	p := &experiment.Plan{
		Name: fmt.Sprint("drawn-", seed), Seed: seed, Days: 1, Domains: 1 + rng.IntN(5),
		Entries: experiment.Entries{Count: 5 + rng.IntN(12), Lag: span(0.004, 0.008)}, Engines: e,
	}
	kinds := []struct {
		name           string
		tokens, events float64
		target, pause  time.Duration
		worth          float64
	}{
		{"short", between(2000, 8000), between(15, 40), 300 * time.Millisecond, span(0.2, 0.3), 1.3},
		{"medium", between(25_000, 60_000), between(10, 25), 1500 * time.Millisecond, span(0.45, 0.65), 3},
		{"long", between(120_000, 300_000), between(8, 20), 4 * time.Second, span(0.8, 1.1), 24},
	}
	rates := map[string]float64{}
	pass := figures.Pass(e.Slots, e.Slots*6000)
	for i, k := range kinds {
		p.Kinds = append(p.Kinds, experiment.Request{
			Name: k.name, Tokens: experiment.Size{Mean: k.tokens, Spread: 0.6, Most: int(4 * k.tokens)}, Events: experiment.Size{Mean: k.events, Spread: 0.5},
			Target: k.target, Pause: k.pause, Patience: 12 * time.Second, Worth: k.worth, Late: k.worth / 4, Returns: 1,
		})
		share := []float64{between(0.3, 0.6), between(0.05, 0.15), between(0.1, 0.2)}[i] // of the engines
		if i == 0 {
			rates[k.name] = share * float64(e.Count*e.Slots) / (k.events * pass.Seconds())
		} else {
			rates[k.name] = share * float64(e.Count) / figures.Read(int(k.tokens)).Seconds()
		}
	}
	scale := func(short, long float64) map[string]float64 {
		return map[string]float64{"short": short * rates["short"], "medium": rates["medium"], "long": long * rates["long"]}
	}
	p.Load = []experiment.Phase{
		{For: 1500 * time.Millisecond, Rates: scale(0.6, 2)}, {For: 1500 * time.Millisecond, Rates: scale(1.6, 0.2)}, {For: 1500 * time.Millisecond, Rates: scale(0.6, 2)},
	}
	return p
}

// The planned policy earns more than each baseline on nine of ten deployments drawn at random.
func TestPlannedPolicyBeatsBaselinesOnDrawnDeployments(t *testing.T) {
	const draws, least = 10, 9
	won := make([]bool, draws)
	t.Run("draws", func(t *testing.T) {
		for i := range draws {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				p := draw(uint64(i) + 1)
				if err := p.Override(nil, 1); err != nil {
					t.Fatal(err)
				}
				rep := p.Run()
				won[i] = true
				for _, other := range rep.Policies[1:] {
					won[i] = won[i] && rep.Policies[0].Worth > other.Worth
				}
				t.Logf("%d entries, %d engines of %d slots, %d domains: %.3f; %.3f %.3f %.3f", p.Entries.Count, p.Engines.Count, p.Engines.Slots, p.Domains,
					rep.Policies[0].Worth, rep.Policies[1].Worth, rep.Policies[2].Worth, rep.Policies[3].Worth)
			})
		}
	})
	count := 0
	for _, w := range won {
		if w {
			count++
		}
	}
	if count < least {
		t.Errorf("best on %d of %d deployments, want %d", count, draws, least)
	}
}
