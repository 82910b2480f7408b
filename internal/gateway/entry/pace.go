package entry

import (
	"context"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// reportTimeout limits the wait for an engine's report, which takes a few milliseconds. An
// engine that does not answer in time is queried again.
const reportTimeout = 300 * time.Millisecond

// queryPace queries an engine's speed in the background.
func (s *Server) queryPace(service string, e passes.Engine) {
	s.tasks.Go(func() {
		r, err := s.workEngines.Report(context.Background(), e.Name, e.Address, reportTimeout)
		if err != nil {
			s.log.Info("An engine did not report its speed.", "upstream", e.Name, "err", err)
			return
		}
		s.log.Info("An engine reported its speed.", "upstream", e.Name, "pace", r.Pace)
		if r.ColdKnown {
			s.sched.HeardCold(e.Name, r.Cold)
		}
		s.sched.SetPace(service, passes.Pace{Engine: e.Name, Factor: r.Pace, At: time.Now()})
	})
}
