package passes_test

import (
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/fleet"
)

const (
	// minSpreadShare is the least share of broken short streams that continue within their pause
	// limit. Others have too little of it left when they break off.
	minSpreadShare = 0.8
	// targetResumedShare is the share that the users ask for.
	targetResumedShare = 0.9
)

// shockSettings returns the settings of a fleet of 26 entries that resume broken streams.
func shockSettings(load ...fleet.Phase) fleet.Settings {
	return fleet.Settings{
		Seed: 5, Engines: 54, Entries: 26, Domains: 3, Mixed: true, Queue: 24, Lag: 10 * time.Millisecond, Policy: fleet.Planned,
		Figures: passes.Figures{
			Slots: 12, Memory: 405_000, Stride: 38, Chunk: 2048, Step: 1310 * time.Microsecond, PerWriter: 917 * time.Nanosecond,
			PerContext: 2130 * time.Nanosecond, ReadRate: 154_000, PerPairs: 162 * time.Microsecond,
		},
		Kinds: []fleet.Kind{
			{Name: "short", Tokens: 5000, Spread: 0.9, Most: 23_800, Events: 36, Target: 250 * time.Millisecond, Gap: 250 * time.Millisecond, Patience: 10 * time.Second, Worth: 1.3, Late: 0.33, Returns: 1, Resumes: true},
			{Name: "medium", Tokens: 45_000, Spread: 0.5, Most: 110_000, Events: 21, Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Patience: 10 * time.Second, Worth: 3.1, Late: 0.79, Returns: 1, Resumes: true},
			{Name: "long", Tokens: 260_000, Spread: 0.55, Most: 1_000_000, Events: 17, Target: 8 * time.Second, Gap: time.Second, Patience: 20 * time.Second, Worth: 22, Late: 5.4, Returns: 1, Resumes: true},
		},
		Load: load,
	}
}

// normalShockRates are the usual rates of short, medium and long prompts per second.
var normalShockRates = []float64{64, 7.8, 1.1}

// resumedInTime returns how many streams broke off, and how many of them continued within a pause.
func resumedInTime(r *fleet.Result, limit time.Duration) (inTime, broken int) {
	for _, s := range r.Resumed {
		if s.Pause > 0 && s.Pause <= limit {
			inTime++
		}
	}
	return inTime, len(r.Resumed)
}

// loseDomain runs the load three times for each failure domain, whose engines all end, and returns
// the share of the broken short streams that continue within their pause limit.
func loseDomain(t *testing.T) float64 {
	t.Helper()
	cfg := shockSettings(phase(6*time.Second, normalShockRates))
	inTime, broken := 0, 0
	for domain := range cfg.Domains {
		cfg.Faults = []fleet.Fault{{At: 4 * time.Second, Kind: fleet.Lose, First: domain, Count: 1}}
		r := simulate(t, cfg)
		for _, k := range cfg.Kinds {
			n, of := resumedInTime(r[k.Name], k.Gap)
			t.Logf("%s: %d of %d broken streams in time", k.Name, n, of)
			if k.Name == "short" {
				inTime, broken = inTime+n, broken+of
			}
		}
	}
	t.Logf("%d of %d short streams in time", inTime, broken)
	return float64(inTime) / float64(max(1, broken))
}

// All engines of a failure domain end under normal load. Entries that resume their streams at the
// same moment, from the same view, must not overload a few engines: a fifth was in time when each
// entry chose for itself.
func TestLossOfADomainIsSpread(t *testing.T) {
	t.Parallel()
	if share := loseDomain(t); share < minSpreadShare {
		t.Errorf("%.3f of the short streams in time, want %.2f", share, minSpreadShare)
	}
}

// The target of the users for the same event.
func TestLossOfADomainMeetsTarget(t *testing.T) {
	t.Parallel()
	if share := loseDomain(t); share < targetResumedShare {
		t.Errorf("%.3f of the short streams in time, want %.2f", share, targetResumedShare)
	}
}
