package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/ring"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/entry"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// goMemoryShare is the share of the process's memory up to which the garbage collector runs only as often
// as usual: garbage of large answers must not make the process exceed its limit.
const goMemoryShare = 0.7

// Run runs an entry on the users' platform until SIGTERM or an interrupt. SIGHUP, which
// announces changed settings, has no effect.
func (o *GatewayOptions) Run(env *environment) error {
	cfg, err := platform.ReadSettings(o.Boot)
	if err != nil {
		return &codedError{code: exitUsage, err: fmt.Errorf("--boot: %w", err)}
	}
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(cfg.Memory)))
	}
	lines := ring.New(env.stdout)
	defer lines.Close()
	logger := log.NewWithOptions(lines, log.Options{
		Level: env.log.GetLevel(), Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	}).With("vm", cfg.VM)
	s, err := entry.New(cfg, netio.TCP(), logger, lines.Total)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	failed := make(chan error, 1)
	go func() { failed <- s.Serve() }()
	for {
		select {
		case err := <-failed:
			return errors.Join(errors.New("serving ended"), err)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				logger.Info("Ignoring SIGHUP: settings are loaded at startup only.")
				continue
			}
			return s.Shutdown(context.Background())
		}
	}
}
