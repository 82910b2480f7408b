package fleet

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// Spare returns the capacity of a failure domain's engines to take over load from other
// domains, by deployment.
func (f *Fleet) Spare(domain string) []*memberwire.Spare {
	var out []*memberwire.Spare
	for _, d := range f.seams.View().Deployments() {
		s := &memberwire.Spare{Deployment: d.Name()}
		for _, e := range f.EnginesOf(d) {
			if e.Upstream().Spec().FailureDomain == domain {
				e.addSpare(s)
			}
		}
		out = append(out, s)
	}
	return out
}

// addSpare adds the engine's spare capacity to s if the engine is serving and its load is
// recent.
func (e *Engine) addSpare(s *memberwire.Spare) {
	l, _, failures := e.Load()
	e.mu.Lock()
	state, confirmed := e.state, e.confirmed
	e.mu.Unlock()
	if state != membership.StateLive || l.Leaving || failures >= deadAfterFailures || time.Since(confirmed) >= 2*staleAfter {
		return
	}
	s.Engines++
	s.MemoryK += uint64(max(0, l.MemoryTotal-l.MemoryUsed) / tokensPerK)
	s.PrefillK += uint64(l.PrefillTokens / tokensPerK)
}
