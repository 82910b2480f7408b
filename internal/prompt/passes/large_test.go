package passes_test

import (
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/fleet"
)

// largeSettings returns the settings of a fleet in five failure domains whose messages take 1.4 ms
// from one to another. Its prompts and engines are those of the users' largest deployment.
func largeSettings(entries, engines int, load ...fleet.Phase) fleet.Settings {
	figures := *passes.UsersFigures()
	figures.Slots, figures.Stride = 10, 73
	return fleet.Settings{
		Seed: 7, Engines: engines, Entries: entries, Domains: 5, Queue: 20, Lag: 6 * time.Millisecond, Policy: fleet.Planned, Figures: figures,
		Kinds: []fleet.Kind{
			{Name: "short", Tokens: 4960, Spread: 0.9, Most: 23_800, Events: 24, Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Patience: 10 * time.Second, Worth: 1.4, Late: 0.34, Returns: 1},
			{Name: "medium", Tokens: 45_000, Spread: 0.5, Most: 110_000, Events: 15, Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Patience: 10 * time.Second, Worth: 2.3, Late: 0.58, Returns: 1},
			{Name: "long", Tokens: 300_000, Spread: 0.55, Most: 1_000_000, Events: 12, Target: 4 * time.Second, Gap: time.Second, Patience: 15 * time.Second, Worth: 26, Late: 6.6, Returns: 1},
		},
		Load: load,
	}
}

// Rates of the large fleet's prompts in requests per second, for 150 engines.
var (
	largeUsualRates = []float64{217, 23.2, 5.3}
	largeShortRates = []float64{480, 12, 0.6}
	largeLongRates  = []float64{110, 32, 12}
)

// scaled returns the rates for a fleet with a part of the engines.
func scaled(rates []float64, part float64) []float64 {
	var out []float64
	for _, r := range rates {
		out = append(out, part*r)
	}
	return out
}

// runLarge runs one simulation and returns its results and the requests that engines rejected.
func runLarge(t *testing.T, cfg fleet.Settings) (results, int) {
	t.Helper()
	f, out := fleet.New(cfg), results{}
	for _, r := range f.Run() {
		out[r.Kind] = &r
		t.Logf("%s: asked %d, on time %.3f, late %d (first event %d, pause %d), refused %d, failed %d", r.Kind, r.Asked, r.Share(), r.Late, r.LateFirst, r.Pauses, r.Refused, r.Failed)
	}
	use, _ := f.Use()
	return out, use.Rejected
}

// A burst of short prompts over long ones on the engines of five failure domains, at 117 entries.
// Entries that know of all sends overbook no engine. With reports of the own failure domain only
// they did, and short prompts were late.
func TestLargeFleetOverbooksNoEngine(t *testing.T) {
	t.Parallel()
	cfg := largeSettings(117, 150, phase(500*time.Millisecond, largeLongRates), phase(1200*time.Millisecond, largeShortRates))
	r, rejected := runLarge(t, cfg)
	r.checkOnTime(t, "short")
	if rejected > 0 {
		t.Errorf("engines rejected %d requests", rejected)
	}
	cfg.Faults = []fleet.Fault{{Kind: fleet.Near}}
	if near, _ := runLarge(t, cfg); near["short"].Share() >= minOnTimeShare {
		t.Errorf("with reports within failure domains %.3f of the short prompts are on time: the load shows nothing", near["short"].Share())
	}
}

// A failure domain of five is cut off at the peak, with its entries and engines. Short prompts
// that were not running across the cut are on time on both sides, also after it has healed.
func TestLargeFleetServesBothSidesOfACut(t *testing.T) {
	t.Parallel()
	rates := scaled(largeUsualRates, 1.0/3)
	cfg := largeSettings(40, 50, phase(6*time.Second, rates))
	cfg.Faults = []fleet.Fault{{At: 2 * time.Second, For: 2 * time.Second, Kind: fleet.Part, Count: 1}}
	r := simulate(t, cfg)
	// What four in five entries have on the domain's engines, and the streams of its own entries,
	// which take two seconds, on others.
	across := 0.8*10*float64(cfg.Figures.Slots) + 0.2*rates[0]*2
	checkSurvivors(t, r["short"], int(across)*runsPerLoad, "across the cut")
}

// A tenth of the entries is lost at the peak without notice. The others serve their callers on
// time, though for a second they count the streams of the lost ones.
func TestLargeFleetLosesATenthOfItsEntries(t *testing.T) {
	t.Parallel()
	rates := scaled(largeUsualRates, 1.0/3)
	cfg := largeSettings(40, 50, phase(6*time.Second, rates))
	cfg.Faults = []fleet.Fault{{At: 2 * time.Second, For: 60 * time.Second, Kind: fleet.Freeze, Count: 4}}
	r := simulate(t, cfg)
	// The share of the lost entries in the requests of four of six seconds, and of the two before.
	lost := 0.1 * float64(r["short"].Asked)
	if got := float64(r["short"].OnTime) / (float64(r["short"].Asked) - lost); got < minOnTimeShare {
		t.Errorf("short prompts on time beside those of the lost entries: %.3f, want %.2f", got, minOnTimeShare)
	}
}

// A tenth of the engines takes three times as long as declared. The others have room for all
// short prompts.
func TestLargeFleetAvoidsATenthOfSlowEngines(t *testing.T) {
	t.Parallel()
	rates := scaled(largeUsualRates, 1.0/3)
	cfg := largeSettings(40, 50, phase(8*time.Second, rates))
	cfg.Faults = []fleet.Fault{{Kind: fleet.Slow, Count: 5, Factor: 3}}
	r := simulate(t, cfg)
	learning := runsPerLoad * int(rates[0]) // within the second until their pace is known
	if missed := r["short"].Asked - r["short"].OnTime; float64(missed) > float64(learning)+(1-minOnTimeShare)*float64(r["short"].Asked) {
		t.Errorf("%d short prompts late or lost, and %d come within a second", missed, learning)
	}
}

// Long prompts come in a burst to the entries of one failure domain while those of the others idle.
// They are read by engines of all domains, and what is earned is what it would be if they had come
// to all entries. A long prompt may cost medium ones a pause where it is worth more than these.
func TestBurstInOneDomainUsesAllEngines(t *testing.T) {
	t.Parallel()
	load := phase(4*time.Second, scaled(largeLongRates, 1.0/3))
	even := simulate(t, largeSettings(40, 50, load))
	load.Skew = 1
	skewed := simulate(t, largeSettings(40, 50, load))
	if a, b := skewed.score(), even.score(); a < minOnTimeShare*b {
		t.Errorf("score %.0f, evenly spread %.0f", a, b)
	}
	for _, kind := range []string{"short", "long"} {
		if a, b := skewed[kind].Share(), even[kind].Share(); a < minOnTimeShare*b {
			t.Errorf("%s prompts on time: %.3f, evenly spread %.3f", kind, a, b)
		}
	}
}
