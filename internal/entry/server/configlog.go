package server

import (
	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// startConfig starts what follows and changes the configuration.
func (s *Server) startConfig(logger *log.Logger) {
	s.logClient = logservice.NewClient(s.cfg.Network, s.cfg.LogURL)
	s.logLimiter = logservice.NewLimiter(logservice.DefaultEntryAppends)
	s.configLog = logservice.NewAppender(logservice.AppenderConfig{
		Append:  s.logClient.Appends(resource.Stream),
		Limiter: s.logLimiter,
	})
	s.store = config.NewStore(config.Seams{Read: s.logClient.Reads(resource.Stream), Append: s.configLog.Append}, logger)
}

func (s *Server) stopConfig() {
	s.configLog.Close()
	s.store.Close()
}
