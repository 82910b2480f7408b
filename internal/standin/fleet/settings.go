package fleet

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// Kind is a kind of request.
type Kind struct {
	Name     string
	Tokens   float64 // of the prompt, mean
	Spread   float64 // standard deviation over the mean
	Most     int     // tokens of the longest prompt
	Events   float64 // of the answer, mean
	Varies   float64 // standard deviation of the events over their mean
	Bound    int     // events that callers name as the most; 0: as many as there will be
	Hints    float64 // spread of what callers expect over what comes, as that of a logarithm; 0: they tell nothing
	Target   time.Duration
	Gap      time.Duration // longest pause between events for full value
	Patience time.Duration
	Worth    float64
	Late     float64 // worth of a late answer
	Returns  int     // times that a caller comes back after a refusal
	Storms   bool    // it comes back at once, whatever it was told
}

const (
	// A request is worth least and perSize of its kind's worth for the mean size, and more
	// for larger ones up to mostWorth, as the users count it.
	least     = 0.3
	perSize   = 0.7
	mostWorth = 4
	// minTokens and minEvents are the smallest request.
	minTokens = 100
	minEvents = 2
)

// tokens draws the length of a prompt.
func (k *Kind) tokens(rng *rand.Rand) int {
	return min(k.Most, max(minTokens, int(logNormal(rng, k.Tokens, k.Spread))))
}

// events draws the length of an answer.
func (k *Kind) events(rng *rand.Rand) int {
	n := max(minEvents, int(math.Round(logNormal(rng, k.Events, k.Varies))))
	if k.Bound > 0 {
		n = min(n, k.Bound)
	}
	return n
}

// hint draws the events that a caller expects of so many, or 0.
func (k *Kind) hint(rng *rand.Rand, events int) int {
	if k.Hints == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(events)*math.Exp(rng.NormFloat64()*k.Hints))))
}

// worth returns what an answer on time is worth to its caller.
func (k *Kind) worth(tokens int) float64 {
	return k.Worth * min(mostWorth, least+perSize*float64(tokens)/k.Tokens)
}

// late returns what a late answer is worth.
func (k *Kind) late(tokens int) float64 { return k.worth(tokens) * k.Late / k.Worth }

// logNormal draws from the distribution with that mean and that deviation over it.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	if spread == 0 {
		return mean
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
}

// Phase is a stretch of the load: requests a second by kind, in the order of the kinds.
type Phase struct {
	For   time.Duration
	Rates []float64
}

// FaultKind tells what a fault does.
type FaultKind string

// The faults.
const (
	Crash  FaultKind = "crash"  // engines die, and start again afterwards
	Slow   FaultKind = "slow"   // engines take longer by a factor
	Cut    FaultKind = "cut"    // entries can't connect to engines; what runs there ends
	Deaf   FaultKind = "deaf"   // entries don't hear of each other
	Freeze FaultKind = "freeze" // an entry stands still, and goes on afterwards
	Part   FaultKind = "part"   // failure domains are cut off, with their entries and engines
)

// Fault is a fault of some engines or entries for a time.
type Fault struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"` // 0: to the end
	Kind   FaultKind     `yaml:"kind"`
	First  int           `yaml:"first"`  // of the engines, entries or domains it falls on
	Count  int           `yaml:"count"`  // engines, entries or domains
	Factor float64       `yaml:"factor"` // of Slow
}

// Policy chooses engines for requests.
type Policy string

// The policies.
const (
	// Planned is the planner of package passes.
	Planned Policy = "planned"
	// Outstanding sends to the engine with the fewest requests of the entry, at once.
	Outstanding Policy = "least-outstanding"
	// InOrder lets requests wait for a free place, first come first served.
	InOrder Policy = "first-come"
	// Split keeps a part of the engines for long prompts, which are read by several.
	Split Policy = "fixed-split"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Planned, Outstanding, InOrder, Split} }

// Settings describe a fleet and its load.
type Settings struct {
	Seed    uint64
	Engines int
	Entries int
	Domains int
	Figures passes.Figures
	Queue   int           // of each engine
	Lag     time.Duration // until entries hear of each other
	Overrun float64       // what reads take over what is declared, as a factor; 0 means 1
	Kinds   []Kind
	Load    []Phase
	Faults  []Fault
	Policy  Policy
}
