package retry

import (
	"fmt"
	"math"
	"testing"
)

// Parameters of a model of entries that share the platform's bound on retries: in any
// window of modelWindow steps, at most modelRatio times the requests plus modelSlack.
// The tests explore every order of requests, retries, restarts and steps with Budget.
const (
	modelEntries      = 2
	modelWindow       = 2 // steps
	modelRatio        = 0.25
	modelSlack        = 5.0
	modelUsedShare    = 0.8  // part of the bound that the entries use; the same as in the gateway
	modelInitialShare = 0.25 // part of that at a start; the same as in the gateway
	maxStepRequests   = 1    // of one entry in one step
	service           = "s"
)

// modelState is the complete state of the model. The newest step is last.
type modelState struct {
	left         [modelEntries]float64
	known        [modelEntries]bool // had a request since its start
	sinceStart   [modelEntries]int  // steps since the last start, up to modelWindow
	requests     [modelWindow]int
	retries      [modelWindow]int
	stepRequests [modelEntries]int // of the entry in the newest step
}

// roundLeft rounds the retries left, so that budgets that differ only by floating-point
// errors give equal states.
func roundLeft(left float64) float64 { return math.Round(left*1000) / 1000 }

// budget returns the budget of an entry in the state.
func (s *modelState) budget(entry int, initialShare float64) *Budget {
	b := NewWithin(modelUsedShare*modelRatio, modelUsedShare*modelSlack/modelEntries, initialShare)
	if s.known[entry] {
		b.left[service] = s.left[entry]
	}
	return b
}

// next returns the possible successor states.
func (s modelState) next(initialShare float64) []modelState {
	var out []modelState
	const now = modelWindow - 1
	for e := range modelEntries {
		if s.stepRequests[e] < maxStepRequests {
			n, b := s, s.budget(e, initialShare)
			b.Request(service)
			n.left[e], n.known[e] = roundLeft(b.Left(service)), true
			n.requests[now]++
			n.stepRequests[e]++
			out = append(out, n)
		}
		if b := s.budget(e, initialShare); b.Retry(service) {
			n := s
			n.left[e] = roundLeft(b.Left(service))
			n.retries[now]++
			out = append(out, n)
		}
		if s.sinceStart[e] >= modelWindow {
			n := s
			n.left[e], n.known[e], n.sinceStart[e] = 0, false, 0
			out = append(out, n)
		}
	}
	n := s
	copy(n.requests[:], s.requests[1:])
	copy(n.retries[:], s.retries[1:])
	n.requests[now], n.retries[now], n.stepRequests = 0, 0, [modelEntries]int{}
	for e := range modelEntries {
		n.sinceStart[e] = min(modelWindow, s.sinceStart[e]+1)
	}
	return append(out, n)
}

// violation describes how the state exceeds the bound; "" if it does not.
func (s *modelState) violation() string {
	requests, retries := 0, 0
	for i := range modelWindow {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	if limit := modelRatio*float64(requests) + modelSlack; float64(retries) > limit {
		return fmt.Sprintf("%d retries with %d requests in a window, want at most %.1f", retries, requests, limit)
	}
	return ""
}

// explore visits all reachable states, up to the first violation. It returns the number
// of states seen and that violation.
func explore(initialShare float64) (states int, violation string) {
	start := modelState{}
	for e := range modelEntries {
		start.sinceStart[e] = modelWindow
	}
	seen := map[modelState]bool{start: true}
	for queue := []modelState{start}; len(queue) > 0; queue = queue[1:] {
		if v := queue[0].violation(); v != "" {
			return len(seen), v
		}
		for _, n := range queue[0].next(initialShare) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// Guards against a retry bound exceeded by any order of events, also if every entry
// restarts once in a window.
func TestBudgetHoldsInEveryOrder(t *testing.T) {
	states, violation := explore(modelInitialShare)
	t.Logf("%d states", states)
	if violation != "" {
		t.Error(violation)
	}
}

// Guards against a model that can't fail: entries that start with a full budget exceed
// the bound once all of them restart in a window.
func TestModelDetectsFullInitialBudgets(t *testing.T) {
	if _, violation := explore(1); violation == "" {
		t.Error("no violation was found")
	}
}
