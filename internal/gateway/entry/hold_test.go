package entry

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// Memory is set aside for a prompt, and the engine that writes is lost without notice: the
// memory runs out, though the entry still waits for the first event. While the engine
// answers, or takes connections, it is kept.
func TestMemoryOfALostWriterRunsOut(t *testing.T) {
	w := newWorld(t)
	w.configure()
	helper := w.serve("engines", "i-helper")
	for name, c := range map[string]struct {
		address string
		events  bool
		kept    bool
	}{
		"lost":                      {address: gone(t)},
		"takes no connections only": {address: gone(t), events: true, kept: true},
		"silent only":               {address: helper.Addr(), kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			h := &held{
				s: w.entry, id: name, writer: c.address, stop: cancel, done: make(chan struct{}),
				list: []platform.Reservation{{ID: name, Instance: "i-helper", Address: helper.Addr(), Tokens: 1000}},
			}
			h.heard.Store(c.events)
			go h.renew(ctx)
			if !c.kept {
				<-h.done // by itself
				return
			}
			w.await(func() bool { return renewed(helper, name) })
			select {
			case <-h.done:
				t.Error("the memory is not renewed")
			default:
			}
			cancel()
			<-h.done
		})
	}
}

// renewed reports whether an engine was asked to keep the memory of an id.
func renewed(s *server.Server, id string) bool {
	return slices.ContainsFunc(s.Runs(), func(r *server.Run) bool { return strings.Contains(r.Body, id) })
}

// gone returns an address that takes no connections.
func gone(t *testing.T) string {
	ln := listen(t)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
