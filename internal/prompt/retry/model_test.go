package retry

import (
	"fmt"
	"math"
	"testing"
)

// A model of entries that share the platform's bound on retries: in any window of some
// steps there may be so many as a share of the requests in it, and some more. Every order
// of requests, retries, starts and steps is tried, by the budget's own code.
const (
	modelEntries = 2
	modelWindow  = 2 // steps
	modelRatio   = 0.25
	modelSlack   = 5.0
	modelUse     = 0.8  // part of the bound that entries use, as the gateway does
	modelFirst   = 0.25 // part of it at a start, as the gateway has it
	mostRequests = 1    // of an entry in a step
	service      = "s"
)

// modelState is all that the future depends on. Steps are the newest last.
type modelState struct {
	left     [modelEntries]float64
	alive    [modelEntries]bool // it has served since its start
	started  [modelEntries]int  // steps since it started again; modelWindow: long ago
	requests [modelWindow]int
	retries  [modelWindow]int
	own      [modelEntries]int // requests in this step
}

// exact rounds what is left, so that the same budget is the same state.
func exact(left float64) float64 { return math.Round(left*1000) / 1000 }

// budget returns an entry's budget as it stands.
func (s *modelState) budget(entry int, first float64) *Budget {
	b := NewWithin(modelUse*modelRatio, modelUse*modelSlack/modelEntries, first)
	if s.alive[entry] {
		b.left[service] = s.left[entry]
	}
	return b
}

// next returns the states that may follow.
func (s modelState) next(first float64) []modelState {
	var out []modelState
	const now = modelWindow - 1
	for e := range modelEntries {
		if s.own[e] < mostRequests {
			n, b := s, s.budget(e, first)
			b.Request(service)
			n.left[e], n.alive[e] = exact(b.Left(service)), true
			n.requests[now]++
			n.own[e]++
			out = append(out, n)
		}
		if b := s.budget(e, first); b.Retry(service) {
			n := s
			n.left[e] = exact(b.Left(service))
			n.retries[now]++
			out = append(out, n)
		}
		if s.started[e] >= modelWindow {
			n := s
			n.left[e], n.alive[e], n.started[e] = 0, false, 0
			out = append(out, n)
		}
	}
	n := s
	copy(n.requests[:], s.requests[1:])
	copy(n.retries[:], s.retries[1:])
	n.requests[now], n.retries[now], n.own = 0, 0, [modelEntries]int{}
	for e := range modelEntries {
		n.started[e] = min(modelWindow, s.started[e]+1)
	}
	return append(out, n)
}

// broken tells how the bound is broken, or "".
func (s *modelState) broken() string {
	requests, retries := 0, 0
	for i := range modelWindow {
		requests += s.requests[i]
		retries += s.retries[i]
	}
	if most := modelRatio*float64(requests) + modelSlack; float64(retries) > most {
		return fmt.Sprintf("%d retries with %d requests in a window, at most %.1f are allowed", retries, requests, most)
	}
	return ""
}

// explore tries every order and returns how many states there are and the first breach.
func explore(first float64) (states int, breach string) {
	start := modelState{}
	for e := range modelEntries {
		start.started[e] = modelWindow
	}
	seen := map[modelState]bool{start: true}
	for queue := []modelState{start}; len(queue) > 0; queue = queue[1:] {
		if why := queue[0].broken(); why != "" {
			return len(seen), why
		}
		for _, n := range queue[0].next(first) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), ""
}

// No order breaks the bound, also where every entry starts again once in a window.
func TestBudgetHoldsInEveryOrder(t *testing.T) {
	states, breach := explore(modelFirst)
	t.Logf("%d states", states)
	if breach != "" {
		t.Error(breach)
	}
}

// The model finds what it is for: entries that start with their whole share break the bound
// once all start again in a window.
func TestModelFindsFullStarts(t *testing.T) {
	if _, breach := explore(1); breach == "" {
		t.Error("no breach was found")
	}
}
