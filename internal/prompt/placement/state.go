package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
)

// State is the part of the state dump about placement.
type State struct {
	OutstandingTokens map[string]int    `json:"outstandingTokens"` // by engine
	Waiting           int               `json:"waiting"`
	WaitingBytes      int               `json:"waitingBytes"`
	Deployments       []DeploymentState `json:"deployments"`
	Engines           []EngineState     `json:"engines"`
}

// DeploymentState summarizes the decisions for a deployment.
type DeploymentState struct {
	Name    string                    `json:"name"`
	Totals  scheduler.Counts          `json:"totals"`
	Classes []scheduler.ClassEstimate `json:"classes"`
}

// EngineState is the state of an engine as this entry predicts it.
type EngineState struct {
	Name      string  `json:"name"`
	Circuit   string  `json:"circuit"`
	Usable    bool    `json:"usable"`
	Slow      float64 `json:"slow"`      // factor by which it is slower than other engines, at least 1
	Streams   int     `json:"streams"`   // of this entry
	FreeNow   int     `json:"freeNow"`   // tokens of memory, as predicted
	AheadNow  int     `json:"aheadNow"`  // prefill tokens of all entries, as predicted
	LongOnIt  bool    `json:"longOnIt"`  // a big prefill runs or waits there
	Predicted string  `json:"predicted"` // time of the report behind the prediction
}

// State returns the part of the state dump about placement.
func (p *Placer) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := State{
		OutstandingTokens: map[string]int{}, Waiting: p.waiting(), WaitingBytes: p.shared.Bounds.Bytes(),
		Deployments: []DeploymentState{}, Engines: []EngineState{},
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		pl := p.pools[name]
		st.Deployments = append(st.Deployments, DeploymentState{Name: name, Totals: pl.Counts(), Classes: pl.Estimates()})
	}
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[name]
		e.Sync()
		if n := e.OwnTokens(); n > 0 {
			st.OutstandingTokens[name] = n
		}
		st.Engines = append(st.Engines, EngineState{
			Name: name, Circuit: string(e.Circuit().State()), Usable: e.Usable(now), Slow: e.Slowdown(),
			Streams: e.Sends(), FreeNow: e.Free(), AheadNow: e.TotalBacklog(now), LongOnIt: e.RunsBig(now),
			Predicted: e.Reported().UTC().Format(time.RFC3339Nano),
		})
	}
	return st
}
