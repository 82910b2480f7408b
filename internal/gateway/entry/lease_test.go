package entry

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/dogwoodmill/dogwoodmill/internal/base/ports"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// The engine that generates an answer disappears without notice: the memory reserved for it must
// expire, even while the entry waits for the first event. As long as the engine sends data or
// accepts connections, the memory is kept.
func TestMemoryLeaseOfLostWriterExpires(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	helper := env.serve("engines", "i-helper")
	for name, c := range map[string]struct {
		address string
		events  bool
		kept    bool
	}{
		"lost":                      {address: closedAddress(t)},
		"takes no connections only": {address: closedAddress(t), events: true, kept: true},
		"silent only":               {address: helper.Addr(), kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			lease := &memoryLease{
				s: env.entry, id: name, writer: c.address, stop: cancel, done: make(chan struct{}),
				reservations: []platform.Reservation{{ID: name, Instance: "i-helper", Address: helper.Addr(), Tokens: 1000}},
			}
			lease.writerActive.Store(c.events)
			go lease.renew(ctx)
			if !c.kept {
				<-lease.done // the renewal ended by itself
				return
			}
			env.await(func() bool { return renewed(helper, name) })
			select {
			case <-lease.done:
				t.Error("the lease is not renewed")
			default:
			}
			cancel()
			<-lease.done
		})
	}
}

// The engine that generates an answer reads a long prompt, so that it sends nothing, and takes no
// connection for a moment. The memory reserved for it was never renewed after that, and the engine
// cut the answer off when it expired.
func TestMemoryLeaseSurvivesSilentWriter(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	helper := env.serve("engines", "i-helper")
	writer := closedAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	lease := &memoryLease{
		s: env.entry, id: "silent", writer: writer, stop: cancel, done: make(chan struct{}),
		reservations: []platform.Reservation{{ID: "silent", Instance: "i-helper", Address: helper.Addr(), Tokens: 1000}},
	}
	go lease.renew(ctx)
	env.await(func() bool { return env.entry.reach.IsUnreachable(writer) })
	ln, err := net.Listen("tcp", writer)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	env.await(func() bool {
		select {
		case <-lease.done:
			t.Fatal("the lease is not renewed")
		default:
		}
		return renewed(helper, "silent")
	})
	cancel()
	<-lease.done
}

// renewed reports whether an engine got a reservation with an id.
func renewed(s *server.Server, id string) bool {
	return slices.ContainsFunc(s.Runs(), func(r *server.Run) bool { return strings.Contains(r.Body, id) })
}

// closedAddress returns an address that refuses connections until the test listens there. No listener
// with a port of the system's choice gets it.
func closedAddress(t *testing.T) string {
	t.Helper()
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.Free(t, 1)[0]))
}

// The caller leaves, or its time is up, while its answer can't be written: the memory was renewed until
// the write failed, which may be never.
func TestMemoryLeaseEndsWithItsCaller(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	helper := env.serve("engines", "i-helper")
	ctx, leave := context.WithCancel(t.Context())
	lease, err := env.entry.reserve(ctx, "left", helper.Addr(), []platform.Reservation{{ID: "left", Instance: "i-helper", Address: helper.Addr(), Tokens: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	leave()
	<-lease.done // the renewal ended by itself
	lease.release()
}
