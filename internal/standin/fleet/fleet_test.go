package fleet_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/fleet"
)

// rounding is the tolerance for float sums taken in another order.
const rounding = 1e-6

func settings() fleet.Settings {
	return fleet.Settings{
		Seed: 3, Engines: 6, Entries: 2, Domains: 3, Queue: 8, Lag: 4 * time.Millisecond, Policy: fleet.Planned,
		Figures: passes.Figures{Slots: 8, Memory: 100_000, Stride: 40, Chunk: 2048, Step: time.Millisecond, ReadRate: 200_000},
		Kinds: []fleet.Kind{
			{Name: "short", Tokens: 4000, Spread: 0.5, Most: 20_000, Events: 10, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Patience: 5 * time.Second, Worth: 1, Late: 0.25, Returns: 1},
			{Name: "long", Tokens: 60_000, Spread: 0.5, Most: 250_000, Events: 10, Target: 2 * time.Second, Gap: 800 * time.Millisecond, Patience: 10 * time.Second, Worth: 9, Late: 2, Returns: 1},
		},
		Load: []fleet.Phase{{For: 4 * time.Second, Rates: []float64{15, 1}}, {For: 2 * time.Second, Rates: []float64{30, 3}}},
	}
}

// Every request ends exactly once, as on time, late, refused or failed, and the worth
// earned doesn't exceed the worth owed, whatever the policy and the faults.
func TestEveryRequestEnds(t *testing.T) {
	faults := [][]fleet.Fault{
		nil,
		{{At: time.Second, For: 2 * time.Second, Kind: fleet.Crash, First: 1, Count: 2}},
		{{At: time.Second, For: time.Second, Kind: fleet.Slow, Count: 3, Factor: 4}},
		{{At: time.Second, Kind: fleet.Cut, Count: 2}},
		{{At: time.Second, For: time.Second, Kind: fleet.Deaf}},
		{{At: time.Second, For: 2 * time.Second, Kind: fleet.Freeze, First: 1, Count: 1}},
		{{At: time.Second, For: 2 * time.Second, Kind: fleet.Freeze, Count: 1}, {At: 2 * time.Second, For: 2 * time.Second, Kind: fleet.Crash, Count: 5}},
	}
	for _, policy := range fleet.Policies() {
		for i, f := range faults {
			cfg := settings()
			cfg.Policy, cfg.Faults = policy, f
			for _, r := range fleet.New(cfg).Run() {
				if ended := r.OnTime + r.Late + r.Refused + r.Failed; ended != r.Asked || r.Asked == 0 {
					t.Errorf("%s, faults %d, %s: %d asked, %d ended", policy, i, r.Kind, r.Asked, ended)
				}
				if r.Worth < 0 || r.Worth > r.Owed+rounding {
					t.Errorf("%s, faults %d, %s: worth %.1f of %.1f", policy, i, r.Kind, r.Worth, r.Owed)
				}
			}
		}
	}
}

// Runs with the same settings give equal results, whatever the policy.
func TestRunsAreDeterministic(t *testing.T) {
	for _, policy := range fleet.Policies() {
		cfg := settings()
		cfg.Policy = policy
		if a, b := fleet.New(cfg).Run(), fleet.New(cfg).Run(); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs differ", policy)
		}
	}
}

// The drawn requests don't depend on the policy.
func TestPoliciesGetSameRequests(t *testing.T) {
	is := is.New(t)
	cfg := settings()
	want := fleet.New(cfg).Run()
	cfg.Policy = fleet.Split
	for i, r := range fleet.New(cfg).Run() {
		is.Equal(r.Asked, want[i].Asked)
		is.Equal(r.Owed, want[i].Owed)
	}
}

// Dead engines serve no requests, and serve again after their restart.
func TestEnginesServeAfterCrash(t *testing.T) {
	is := is.New(t)
	cfg := settings()
	cfg.Faults = []fleet.Fault{{At: time.Second, For: 2 * time.Second, Kind: fleet.Crash, Count: cfg.Engines}}
	crashed := fleet.New(cfg).Run()[0]
	cfg.Faults = nil
	undisturbed := fleet.New(cfg).Run()[0]
	is.True(crashed.Failed+crashed.Refused > 0)
	is.True(crashed.OnTime < undisturbed.OnTime)
	is.True(crashed.OnTime > undisturbed.OnTime/2) // engines are up for four of six seconds
}
