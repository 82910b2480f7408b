// Package experiment simulates a load with faults on emulated engines and compares
// scheduling policies.
package experiment

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/fleet"
)

// Plan describes an experiment. Its file is YAML with the fields that the tags name;
// durations are written as in "300ms".
type Plan struct {
	Name    string        `yaml:"name"`
	Seed    uint64        `yaml:"seed"` // day n, counted from 0, uses seed+n
	Days    int           `yaml:"days"`
	Entries Entries       `yaml:"entries"`
	Engines Engines       `yaml:"engines"`
	Domains int           `yaml:"domains"` // failure domains; engines and entries are spread evenly over them
	Kinds   []Request     `yaml:"kinds"`
	Load    []Phase       `yaml:"load"`
	Faults  []fleet.Fault `yaml:"faults"`
	// Policies are the policies to compare; empty means all.
	Policies []fleet.Policy `yaml:"policies"`
}

// Entries describes the entries of a fleet.
type Entries struct {
	Count int           `yaml:"count"`
	Lag   time.Duration `yaml:"lag"` // delay of state updates between entries
}

// Engines describes the engines of a fleet, which are identical.
type Engines struct {
	Count          int           `yaml:"count"`
	Slots          int           `yaml:"slots"`
	Queue          int           `yaml:"queue"`
	MemoryTokens   int           `yaml:"memoryTokens"`
	Stride         int           `yaml:"stride"` // decode steps per pass
	ChunkTokens    int           `yaml:"chunkTokens"`
	Step           time.Duration `yaml:"step"`
	StepPerWriter  time.Duration `yaml:"stepPerWriter"`
	StepPerContext time.Duration `yaml:"stepPerContext"` // per 1,000 tokens of context
	ReadTokens     float64       `yaml:"readTokensPerSecond"`
	ReadPairs      time.Duration `yaml:"readPairs"` // per million token pairs
	StepPerHelpers time.Duration `yaml:"stepPerHelpers"`
	ReadLongerBy   float64       `yaml:"readLongerBy"` // share by which reads take longer than declared
}

// Request describes a kind of request.
type Request struct {
	Name     string        `yaml:"name"`
	Tokens   Size          `yaml:"tokens"`
	Events   Size          `yaml:"events"` // Most is the limit that callers set
	Hints    float64       `yaml:"hints"`  // spread of callers' length hints, as standard deviation of the logarithm; 0: no hints
	Target   time.Duration `yaml:"target"` // limit for the time to the first event
	Pause    time.Duration `yaml:"pause"`  // limit for the time between events
	Patience time.Duration `yaml:"patience"`
	Worth    float64       `yaml:"worth"`   // of an answer on time
	Late     float64       `yaml:"late"`    // worth of a late answer
	Returns  int           `yaml:"returns"` // retries of a caller after a refusal
	Storms   bool          `yaml:"storms"`  // callers retry immediately
}

// Size describes a distribution of lengths.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"` // standard deviation divided by the mean
	Most   int     `yaml:"most"`   // maximum
}

// Phase is a period of the load with its rates in requests a second by kind.
type Phase struct {
	For   time.Duration      `yaml:"for"`
	Rates map[string]float64 `yaml:"rates"`
}

// Read reads and validates an experiment file. Unknown fields are an error. Its errors have
// KindFile.
func Read(r io.Reader) (*Plan, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, fail("read", KindFile, "%w", err)
	}
	p := &Plan{Seed: 1, Days: 1, Domains: 1, Entries: Entries{Count: 1}}
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(p); err != nil {
		return nil, fail("read", KindFile, "%s", firstLine(err))
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return p, nil
}

// Override replaces the plan's policies unless policies is empty, and its days unless days
// is 0, and validates the plan.
func (p *Plan) Override(policies []string, days int) error {
	if len(policies) > 0 {
		p.Policies = nil
	}
	for _, name := range policies {
		p.Policies = append(p.Policies, fleet.Policy(name))
	}
	if days != 0 {
		p.Days = days
	}
	return p.check()
}

// firstLine returns the text of a YAML error without the excerpt of the file below it.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// check returns an error that names invalid fields, at least the first one.
func (p *Plan) check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"days", p.Days >= 1},
		{"domains", p.Domains >= 1},
		{"entries.count", p.Entries.Count >= 1},
		{"entries.lag", p.Entries.Lag >= 0},
		{"engines.count", p.Engines.Count >= 1},
		{"engines.slots", p.Engines.Slots >= 1},
		{"engines.memoryTokens", p.Engines.MemoryTokens >= 1},
		{"engines.stride", p.Engines.Stride >= 1},
		{"engines.step", p.Engines.Step > 0},
		{"engines.readTokensPerSecond", p.Engines.ReadTokens > 0},
		{"engines.chunkTokens", p.Engines.ChunkTokens >= 1},
		{"engines.readLongerBy", p.Engines.ReadLongerBy >= 0},
		{"kinds", len(p.Kinds) > 0},
		{"load", len(p.Load) > 0},
	} {
		if !f.ok {
			return fail("check", KindFile, "%s is missing or out of range", f.name)
		}
	}
	return errors.Join(p.checkKinds(), p.checkLoad(), p.checkFaults(), p.checkPolicies())
}

func (p *Plan) checkKinds() error {
	for i, k := range p.Kinds {
		if k.Name == "" || slices.ContainsFunc(p.Kinds[:i], func(o Request) bool { return o.Name == k.Name }) {
			return fail("check", KindFile, "kinds[%d].name is missing or used twice", i)
		}
		if k.Tokens.Mean <= 0 || k.Tokens.Most < 1 || k.Events.Mean < 1 || k.Tokens.Spread < 0 || k.Events.Spread < 0 || k.Events.Most < 0 || k.Hints < 0 {
			return fail("check", KindFile, "kinds[%d].tokens, events or hints is missing or out of range", i)
		}
		if k.Target <= 0 || k.Pause <= 0 || k.Patience < k.Target || k.Worth <= 0 || k.Late < 0 || k.Late > k.Worth || k.Returns < 0 {
			return fail("check", KindFile, "kinds[%d]: target, pause, patience, worth, late or returns is out of range", i)
		}
	}
	return nil
}

func (p *Plan) checkLoad() error {
	for i, ph := range p.Load {
		if ph.For <= 0 {
			return fail("check", KindFile, "load[%d].for is missing", i)
		}
		for name, rate := range ph.Rates {
			if !slices.ContainsFunc(p.Kinds, func(k Request) bool { return k.Name == name }) || rate < 0 {
				return fail("check", KindFile, "load[%d].rates: unknown kind %q or negative rate", i, name)
			}
		}
	}
	return nil
}

func (p *Plan) checkFaults() error {
	for i, f := range p.Faults {
		most := p.Engines.Count
		switch f.Kind {
		case fleet.Freeze:
			most = p.Entries.Count
		case fleet.Part, fleet.Lose:
			most = p.Domains
		case fleet.Slow:
			if f.Factor <= 0 {
				return fail("check", KindFile, "faults[%d].factor is missing", i)
			}
		case fleet.Crash, fleet.Cut, fleet.Deaf, fleet.Near:
		default:
			return fail("check", KindFile, "faults[%d].kind: %q is not one of crash, cut, deaf, freeze, lose, near, part, slow", i, f.Kind)
		}
		if f.First < 0 || f.Count < 0 || f.First+f.Count > most || f.At < 0 || f.For < 0 {
			return fail("check", KindFile, "faults[%d]: first and count exceed the %d that exist, or a value is negative", i, most)
		}
	}
	return nil
}

func (p *Plan) checkPolicies() error {
	for i, name := range p.Policies {
		if !slices.Contains(fleet.Policies(), name) {
			return fail("check", KindFile, "policies[%d]: %q is not one of %v", i, name, fleet.Policies())
		}
	}
	return nil
}

// policies returns the policies to compare.
func (p *Plan) policies() []fleet.Policy {
	if len(p.Policies) == 0 {
		return fleet.Policies()
	}
	return p.Policies
}

// settings returns the fleet's settings for a policy and a day.
func (p *Plan) settings(policy fleet.Policy, day int) fleet.Settings {
	e := p.Engines
	out := fleet.Settings{
		Seed: p.Seed + uint64(day), Engines: e.Count, Entries: p.Entries.Count, Domains: p.Domains,
		Queue: e.Queue, Lag: p.Entries.Lag, Overrun: 1 + e.ReadLongerBy, Faults: p.Faults, Policy: policy,
		Figures: passes.Figures{
			Slots: e.Slots, Memory: e.MemoryTokens, Stride: e.Stride, Chunk: e.ChunkTokens, Step: e.Step, PerWriter: e.StepPerWriter,
			PerContext: e.StepPerContext, ReadRate: e.ReadTokens, PerPairs: e.ReadPairs, PerHop: e.StepPerHelpers,
		},
	}
	for _, k := range p.Kinds {
		out.Kinds = append(out.Kinds, fleet.Kind{
			Name: k.Name, Tokens: k.Tokens.Mean, Spread: k.Tokens.Spread, Most: k.Tokens.Most, Events: k.Events.Mean, Varies: k.Events.Spread, Bound: k.Events.Most, Hints: k.Hints,
			Target: k.Target, Gap: k.Pause, Patience: k.Patience, Worth: k.Worth, Late: k.Late, Returns: k.Returns, Storms: k.Storms,
		})
	}
	for _, ph := range p.Load {
		phase := fleet.Phase{For: ph.For}
		for _, k := range p.Kinds {
			phase.Rates = append(phase.Rates, ph.Rates[k.Name])
		}
		out.Load = append(out.Load, phase)
	}
	return out
}
