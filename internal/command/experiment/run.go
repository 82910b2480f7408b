package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/fleet"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/passengine"
)

const (
	// Histograms hold milliseconds with three significant digits. No caller waits as long
	// as the maximum of two minutes.
	minMillis = 1
	maxMillis = 120_000
	digits    = 3
	// largestShare is the share of a kind's requests that are reported as its largest.
	largestShare = 0.1
)

// Report holds the results of an experiment by policy.
type Report struct {
	Name     string         `json:"name"`
	Days     int            `json:"days"`
	Policies []PolicyReport `json:"policies"`
}

// PolicyReport holds the results of a policy over all days.
type PolicyReport struct {
	Policy    string       `json:"policy"`
	Worth     float64      `json:"worth"`     // share of the worth of all requests
	WorstKind float64      `json:"worstKind"` // lowest Worth of any kind
	Reading   float64      `json:"reading"`   // share of the engines' time
	Writing   float64      `json:"writing"`   // share of the engines' time
	Idle      float64      `json:"idle"`      // share of the engines' time
	Rejected  int          `json:"rejected"`  // requests rejected by engines
	Preempted int          `json:"preempted"`
	Kinds     []KindReport `json:"kinds"`
}

// KindReport holds the results of a kind of request with a policy.
type KindReport struct {
	Kind      string  `json:"kind"`
	Asked     int     `json:"asked"`     // requests
	OnTime    float64 `json:"onTime"`    // share
	LateFirst float64 `json:"lateFirst"` // share
	Paused    float64 `json:"paused"`    // share
	Refused   float64 `json:"refused"`   // share
	Failed    float64 `json:"failed"`    // share
	Largest   float64 `json:"largest"`   // share on time of the largest tenth
	Worth     float64 `json:"worth"`     // share of the worth of all requests of the kind
	FirstMS   Times   `json:"firstMs"`   // time to the first event
	PauseMS   Times   `json:"pauseMs"`   // longest pause between events
	curve     []point // cumulative distribution of the time to the first event
}

// Times holds quantiles in milliseconds.
type Times struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

// point is a point of a cumulative distribution: the share of all requests whose first
// event came within a time.
type point struct {
	ms    float64
	share float64
}

// Run simulates all days with each policy.
func (p *Plan) Run() *Report {
	out := &Report{Name: p.Name, Days: p.Days}
	for _, policy := range p.policies() {
		out.Policies = append(out.Policies, p.runPolicy(policy))
	}
	return out
}

// runPolicy simulates all days with a policy.
func (p *Plan) runPolicy(policy fleet.Policy) PolicyReport {
	var (
		kinds      = make([]fleet.Result, len(p.Kinds))
		use        passengine.Use
		engineTime time.Duration // total of all engines
	)
	for day := range p.Days {
		f := fleet.New(p.settings(policy, day))
		for i, r := range f.Run() {
			kinds[i].Add(r)
		}
		u, d := f.Use()
		use.Add(u)
		engineTime += d * time.Duration(p.Engines.Count)
	}
	out := PolicyReport{
		Policy: string(policy), Rejected: use.Rejected, Preempted: use.Preempted, WorstKind: 1,
		Reading: share(float64(use.Reading), float64(engineTime)), Writing: share(float64(use.Writing), float64(engineTime)),
	}
	out.Idle = max(0, 1-out.Reading-out.Writing)
	worth, owed := 0.0, 0.0
	for _, r := range kinds {
		k := kindReport(r)
		out.Kinds = append(out.Kinds, k)
		worth, owed = worth+r.Worth, owed+r.Owed
		if r.Asked > 0 {
			out.WorstKind = min(out.WorstKind, k.Worth)
		}
	}
	out.Worth = share(worth, owed)
	return out
}

func kindReport(r fleet.Result) KindReport {
	part := func(n int) float64 { return share(float64(n), float64(r.Asked)) }
	first, pause := histogram(), histogram()
	for _, a := range r.Answers {
		if a.First > 0 {
			record(first, a.First)
		}
		if a.Whole {
			record(pause, a.Pause)
		}
	}
	return KindReport{
		Kind: r.Kind, Asked: r.Asked, OnTime: part(r.OnTime), LateFirst: part(r.LateFirst), Paused: part(r.Pauses),
		Refused: part(r.Refused), Failed: part(r.Failed), Worth: share(r.Worth, r.Owed), Largest: largestOnTime(r.Answers),
		FirstMS: times(first), PauseMS: times(pause), curve: curve(first, r.Asked),
	}
}

// largestOnTime returns the share on time among the requests with the most tokens.
func largestOnTime(list []fleet.Answer) float64 {
	bySize := slices.Clone(list)
	slices.SortFunc(bySize, func(a, b fleet.Answer) int { return b.Tokens - a.Tokens })
	n := min(len(bySize), max(1, int(largestShare*float64(len(bySize)))))
	onTime := 0
	for _, a := range bySize[:n] {
		if a.OnTime {
			onTime++
		}
	}
	return share(float64(onTime), float64(n))
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(minMillis, maxMillis, digits) }

// record adds a time, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxMillis, max(minMillis, d.Milliseconds()))) // clamped to the range
}

func times(h *hdrhistogram.Histogram) Times {
	return Times{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99)}
}

// curve returns a cumulative distribution over all requests, including those without a
// recorded time.
func curve(h *hdrhistogram.Histogram, asked int) []point {
	var out []point
	sum := int64(0)
	for _, b := range h.Distribution() {
		if b.Count == 0 {
			continue
		}
		sum += b.Count
		out = append(out, point{ms: float64(b.To), share: share(float64(sum), float64(asked))})
	}
	return out
}

// share returns part divided by whole, or 0 if whole is 0.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
