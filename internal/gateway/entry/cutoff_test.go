package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// cutKind is what becomes of an entry's connections to servers once it is cut off from them.
type cutKind string

const (
	cutHang   cutKind = "hang"   // new ones time out
	cutReset  cutKind = "reset"  // open ones are reset, new ones refused
	cutRefuse cutKind = "refuse" // open ones go on, new ones are refused
)

// cutNetwork is a network that can be cut off from servers.
type cutNetwork struct {
	mu      sync.Mutex
	kind    cutKind // "": not cut off
	servers map[string]bool
	conns   []net.Conn // to servers
}

// network returns the network for entries.
func (c *cutNetwork) network() *netio.Network {
	tcp := netio.TCP()
	return netio.New(func(ctx context.Context, addr string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.kind == "" || !c.servers[addr]:
			conn, err := tcp.Dial(ctx, addr)
			if c.servers[addr] && err == nil {
				c.conns = append(c.conns, conn)
			}
			return conn, err
		case c.kind == cutHang:
			c.mu.Unlock()
			<-ctx.Done()
			c.mu.Lock()
		}
		return nil, io.ErrClosedPipe
	}, tcp.Listen)
}

// set cuts the network off, or ends the cut if kind is empty.
func (c *cutNetwork) set(kind cutKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = kind
	for _, conn := range c.conns {
		if kind == cutReset {
			_ = conn.Close()
		}
	}
}

// newCutEnv returns an environment whose entry has a network that can be cut off from servers, a
// second entry that can't, and servers of both services.
func newCutEnv(t *testing.T) (*testEnv, *cutNetwork, *Server, []*server.Server) {
	t.Helper()
	env := newTestEnv(t)
	_ = env.entry.Shutdown(cancelledContext())
	n := &cutNetwork{servers: map[string]bool{}}
	env.entry = startEntryOn(t, "vm-1", "a", env.store.Addr(), env.entry.cfg.PeerPort, n.network())
	env.configure()
	other := env.startOther()
	var list []*server.Server
	for i := range 3 {
		list = append(list, env.serve("desk", fmt.Sprint("d-", i)), env.serve("engines", fmt.Sprint("e-", i)))
	}
	n.mu.Lock()
	for _, s := range list {
		n.servers[s.Addr()] = true
	}
	n.mu.Unlock()
	env.awaitOther(other, len(list))
	return env, n, other, list
}

// requireServed sends a request and checks its answer.
func (env *testEnv) requireServed(id, path, want string) {
	env.t.Helper()
	is := is.New(env.t)
	req := env.request(http.MethodPost, path)
	req.Header.Set("X-Attempt-Id", id)
	r := env.do(req)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, want)
	is.Equal(r.header.Get("X-Attempt-Id"), id)
}

// requireRunOnce checks that the servers ran each of n requests once, for the caller's workspace.
func requireRunOnce(t *testing.T, list []*server.Server, n int) {
	t.Helper()
	is := is.New(t)
	runs := map[string]int{}
	for _, s := range list {
		for _, run := range s.Runs() {
			runs[run.ID]++
			is.Equal(run.Header.Get("X-Tenant"), "guild")
		}
	}
	for i := range n {
		is.Equal(runs[fmt.Sprint("later-", i)], 1)
	}
}

// An entry loses its path to all servers while callers, the store and other entries still reach it.
// Its callers got refusals for as long as that lasted.
func TestEntryCutOffFromServersServes(t *testing.T) {
	const requests = 20
	for _, kind := range []cutKind{cutHang, cutReset, cutRefuse} {
		for path, want := range map[string]string{"/look/": "plain answer", "/once/": "plain answer", "/ask/": server.Events(testEvents)} {
			t.Run(string(kind)+path, func(t *testing.T) {
				t.Parallel()
				env, network, _, list := newCutEnv(t)
				network.set(kind)
				env.await(func() bool { return env.do(env.request(http.MethodPost, path)).status == http.StatusOK }) // callers of the first moment may be refused
				for i := range requests {
					env.requireServed(fmt.Sprint("later-", i), path, want)
				}
				requireRunOnce(t, list, requests)
			})
		}
	}
}

// A stream is in progress as the entry loses its servers. What follows comes through another entry,
// which waits for the stream when it is stopped.
func TestStreamGoesOnThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	env, network, other, list := newCutEnv(t)
	for _, s := range list {
		s.SetScripts(server.PauseEvent, server.PauseEvent)
	}
	res, err := http.DefaultClient.Do(env.request(http.MethodPost, "/ask/")) // returns with the first event
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	network.set(cutReset)
	env.await(func() bool { return other.tunnels.Opened() > 0 })
	is.NoErr(other.Shutdown(t.Context()))
	b, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(string(b), server.Events(testEvents))
}

// The only entry that reaches the servers is leaving. It still serves its own callers, and those of the
// entry that is cut off found nothing.
func TestEntryCutOffFromServersServesThroughLeavingOne(t *testing.T) {
	env, network, other, _ := newCutEnv(t)
	other.exchange.Leave()
	env.await(func() bool {
		staying, _ := env.entry.exchange.Staying()
		return !staying
	})
	network.set(cutRefuse)
	env.await(func() bool { return env.do(env.request(http.MethodPost, "/once/")).status == http.StatusOK })
	env.requireServed("later-0", "/ask/", server.Events(testEvents))
}

// An entry with a full link, cut off from a server, did not know yet that it leaves, and sent it a request
// through another entry, which knew. The other one has to refuse that, but not what runs there needs.
func TestTunnelForWorkToALeavingServerIsRefused(t *testing.T) {
	is := is.New(t)
	env, network, other, list := newCutEnv(t)
	network.set(cutRefuse)
	env.await(func() bool { return env.do(env.request(http.MethodPost, "/once/")).status == http.StatusOK })
	leaving := list[0] // of the plain service
	for _, s := range list[1:] {
		env.entry.sched.HeardLeaving(s.Instance(), time.Now()) // what is left is the one of which it does not know
	}
	other.sched.HeardLeaving(leaving.Instance(), time.Now())
	before := len(leaving.Runs())
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusServiceUnavailable)
	is.Equal(len(leaving.Runs()), before)
	conn, err := tunnel.Dial(t.Context(), env.entry.direct, other.own.Address, leaving.Addr())
	is.NoErr(err)
	is.NoErr(conn.Close())
}

// A server says that it leaves between the choice of it and the send. It must get nothing and must not
// count as failed.
func TestServerLeavesBeforeSend(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	s := env.serve("desk", "i-1")
	ctx := withUpstream(t.Context(), "i-1")
	conn, err := env.entry.dialForWork(ctx, s.Addr())
	is.NoErr(err)
	is.NoErr(conn.Close())
	env.entry.sched.HeardLeaving("i-1", time.Now())
	conn, err = env.entry.dialForWork(ctx, s.Addr())
	is.True(conn == nil)
	is.True(fault.Is(err, KindUnsent) && takesNothingNew(err))
	is.True(!env.entry.reach.IsUnreachable(s.Addr()))
}

// All entries are cut off from the servers: none hands a connection on to another, which would hand it
// back, and callers are told at once that nothing ran.
func TestEntriesThatAreAllCutOffRefuse(t *testing.T) {
	is := is.New(t)
	env, network, other, list := newCutEnv(t)
	for _, s := range list {
		s.Close()
	}
	network.set(cutRefuse)
	for range 4 {
		is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusServiceUnavailable)
	}
	env.await(env.entry.reach.IsCutOff)
	env.await(func() bool {
		staying, leaving := other.exchange.Connected()
		return len(staying)+len(leaving) == 0
	})
	is.Equal(len(env.entry.reach.Detours()), 0)
}

// The entry that lends its connections is lost in the middle of an answer that ends with its
// connection. It must not look complete, and what may not be repeated must not run again.
func TestAnswerThroughLostEntryIsNotComplete(t *testing.T) {
	is := is.New(t)
	env, network, other, list := newCutEnv(t)
	network.set(cutRefuse)
	env.await(func() bool { return env.do(env.request(http.MethodPost, "/once/")).status == http.StatusOK })
	begun := make(chan struct{}, len(list))
	for _, s := range list {
		s.SetScripts(server.Raw, server.Raw)
		s.SetRaw(func(w io.Writer, header string) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+header+"\r\nhalf of it")
			begun <- struct{}{}
			<-t.Context().Done()
		})
	}
	go func() {
		<-begun
		other.tunnels.Close()
	}()
	req := env.request(http.MethodPost, "/once/")
	req.Header.Set("X-Attempt-Id", "later-0")
	is.Equal(env.do(req).status, http.StatusBadGateway)
	requireRunOnce(t, list, 1)
}
