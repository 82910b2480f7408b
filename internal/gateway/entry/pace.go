package entry

import (
	"context"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
)

// reportLimit bounds an engine's report, which takes a few milliseconds: one that is slow
// to tell is asked again.
const reportLimit = 300 * time.Millisecond

// askPace asks an engine in the background how fast it is.
func (s *Server) askPace(service string, e passes.Engine) {
	s.parts.Go(func() {
		r, err := s.engines.Report(context.Background(), e.Name, e.Address, reportLimit)
		if err != nil {
			s.log.Info("An engine did not tell how fast it is.", "upstream", e.Name, "err", err)
			return
		}
		s.log.Info("An engine told how fast it is.", "upstream", e.Name, "pace", r.Pace)
		s.belief.SetPace(service, passes.Pace{Engine: e.Name, Factor: r.Pace, At: time.Now()})
	})
}
