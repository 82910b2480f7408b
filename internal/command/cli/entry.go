package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/entry/server"
)

// Run runs an entry until a signal and drains it.
func (o *EntryOptions) Run(env *environment) error {
	s, err := server.New(server.Config{
		Network:        netio.TCP(),
		VM:             o.VM,
		FailureDomain:  o.FailureDomain,
		Listen:         o.Listen,
		PeerListen:     o.PeerListen,
		PeerKey:        o.PeerKey,
		Seeds:          o.Seeds,
		LogURL:         o.LogURL,
		LogRetention:   o.LogRetention,
		VMListURL:      o.VMListURL,
		WeightStoreURL: o.WeightStoreURL,
		OperatorToken:  o.OperatorToken,
		MaxBodyBytes:   o.MaxBodyBytes,
		Drain:          o.Drain,
	}, env.log)
	if fault.Is(err, server.KindSetting) {
		return &codedError{code: exitUsage, err: err}
	}
	if err != nil {
		return err
	}
	return serveUntilSignal(s)
}

// serveUntilSignal runs the servers. The first signal drains them, the second one stops them
// without waiting for requests in progress.
func serveUntilSignal(servers ...*server.Server) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.Serve() }()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving ended: %w", err)
	case <-signals:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() { ended <- s.Shutdown(ctx) }()
	}
	var errList []error
	for range servers {
		errList = append(errList, <-ended)
	}
	err := errors.Join(errList...)
	if fault.Is(err, server.KindDrain) {
		return &codedError{code: exitDrainFailed, err: err}
	}
	return err
}
