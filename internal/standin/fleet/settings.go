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
	Tokens   float64       // of the prompt, mean
	Spread   float64       // standard deviation over the mean
	Most     int           // tokens of the longest prompt
	Events   float64       // of the answer, mean
	Varies   float64       // standard deviation of the events over their mean
	Bound    int           // limit on events that callers set; 0: the actual number of events
	Hints    float64       // standard deviation of ln(expected/actual events); 0: callers give no hint
	Target   time.Duration // longest time to the first event for full worth
	Gap      time.Duration // longest pause between events for full worth
	Patience time.Duration // from the first attempt to the caller's deadline
	Worth    float64       // of an answer on time, to a prompt of mean length
	Late     float64       // worth of a late answer, to a prompt of mean length
	Returns  int           // retries of a caller after refusals
	Storms   bool          // callers retry at once and ignore the retry delay
	Resumes  bool          // entries of Planned go on at another engine when one fails
}

const (
	// The worth of a request is its kind's worth times
	// baseWorth + worthPerMeanSize*tokens/mean tokens, up to maxWorth, as users value it.
	baseWorth        = 0.3
	worthPerMeanSize = 0.7
	maxWorth         = 4
	// minPromptTokens and minAnswerEvents bound the size of requests from below.
	minPromptTokens = 100
	minAnswerEvents = 2
)

// drawTokens draws the length of a prompt.
func (k *Kind) drawTokens(rng *rand.Rand) int {
	return min(k.Most, max(minPromptTokens, int(logNormal(rng, k.Tokens, k.Spread))))
}

// drawEvents draws the length of an answer.
func (k *Kind) drawEvents(rng *rand.Rand) int {
	n := max(minAnswerEvents, int(math.Round(logNormal(rng, k.Events, k.Varies))))
	if k.Bound > 0 {
		n = min(n, k.Bound)
	}
	return n
}

// drawHint draws the number of events that a caller expects of an answer with the given
// number, or 0 without a hint.
func (k *Kind) drawHint(rng *rand.Rand, events int) int {
	if k.Hints == 0 {
		return 0
	}
	return max(1, int(math.Round(float64(events)*math.Exp(rng.NormFloat64()*k.Hints))))
}

// worth returns the worth of an answer on time.
func (k *Kind) worth(tokens int) float64 {
	return k.Worth * min(maxWorth, baseWorth+worthPerMeanSize*float64(tokens)/k.Tokens)
}

// lateWorth returns the worth of a late answer.
func (k *Kind) lateWorth(tokens int) float64 { return k.worth(tokens) * k.Late / k.Worth }

// logNormal draws from the log-normal distribution with the mean and the relative
// standard deviation.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	if spread == 0 {
		return mean
	}
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2)
}

// Phase is a part of the load with constant rates: requests a second, in the order of
// Settings.Kinds.
type Phase struct {
	For   time.Duration
	Rates []float64
	Skew  float64 // share of the requests that come to the entries of the first failure domain only
}

// FaultKind is the effect of a fault.
type FaultKind string

// The kinds of faults.
const (
	Crash  FaultKind = "crash"  // engines die and restart at the end of the fault
	Slow   FaultKind = "slow"   // engines are slower by a factor
	Cut    FaultKind = "cut"    // entries can't connect to engines; requests running there end
	Deaf   FaultKind = "deaf"   // entries get no reports from each other
	Near   FaultKind = "near"   // entries get no reports from those of other failure domains
	Freeze FaultKind = "freeze" // entries are suspended and resume at the end of the fault
	Lose   FaultKind = "lose"   // all engines of failure domains die and restart at the end of the fault
	Part   FaultKind = "part"   // failure domains, with their entries and engines, are partitioned from all others
)

// Fault is a temporary fault of some engines, entries or failure domains.
type Fault struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"` // 0: until the end of the run
	Kind   FaultKind     `yaml:"kind"`
	First  int           `yaml:"first"`  // index of the first engine, entry or domain affected
	Count  int           `yaml:"count"`  // engines, entries or domains affected
	Factor float64       `yaml:"factor"` // of Slow
}

// Policy chooses engines for requests.
type Policy string

// The policies.
const (
	// Planned is the planner of package passes.
	Planned Policy = "planned"
	// Outstanding sends at once to the engine with the fewest requests in flight from the entry.
	Outstanding Policy = "least-outstanding"
	// InOrder queues requests for a free slot, first come first served.
	InOrder Policy = "first-come"
	// Split reserves some of the engines for long prompts and splits the prefill of these.
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
	Mixed   bool // the failure domains of the engines alternate in the order of their names
	Figures passes.Figures
	Queue   int           // longest queue of an engine, in requests
	Lag     time.Duration // delay of reports between entries
	Overrun float64       // actual over declared prefill time; 0 means 1
	Kinds   []Kind
	Load    []Phase
	Faults  []Fault
	Policy  Policy
}
