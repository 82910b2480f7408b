package fleet

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

// Spare returns what the engines of a failure domain can take over from others, by
// deployment.
func (f *Fleet) Spare(domain string) []*memberwire.Spare {
	var out []*memberwire.Spare
	for _, d := range f.seams.View().Deployments() {
		s := &memberwire.Spare{Deployment: d.Name()}
		for _, e := range f.Of(d) {
			if e.Upstream().Spec().FailureDomain == domain {
				e.addTo(s)
			}
		}
		out = append(out, s)
	}
	return out
}

// addTo adds what the engine can take over, where it serves and its load is known.
func (e *Engine) addTo(s *memberwire.Spare) {
	l, _, failures := e.Load()
	e.mu.Lock()
	state, heard := e.state, e.heard
	e.mu.Unlock()
	if state != membership.StateLive || l.Leaving || failures >= deadPolls || time.Since(heard) >= 2*staleAfter {
		return
	}
	s.Engines++
	s.MemoryK += uint64(max(0, l.MemoryTotal-l.MemoryUsed) / thousand)
	s.PrefillK += uint64(l.PrefillTokens / thousand)
}
