package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// goneLimit is how long an upstream may still work on a request after its caller left.
const goneLimit = 500 * time.Millisecond

// connect sends a request on a connection of its own, with which the caller may leave.
func (env *testEnv) connect(path, deadlineMS string) net.Conn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.entry.callersLn.Addr().String())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	req := env.request(http.MethodPost, path)
	req.Header.Set("X-Deadline-Milliseconds", deadlineMS)
	if err := req.Write(conn); err != nil {
		env.t.Fatal(err)
	}
	return conn
}

// awaitRun waits until a server runs n requests, and returns the last one.
func (env *testEnv) awaitRun(s *server.Server, n int) *server.Run {
	env.t.Helper()
	env.await(func() bool { return len(s.Runs()) >= n })
	return s.Runs()[n-1]
}

// requireGone checks that a server's connections for all its runs end in time, and that it gets no
// further request.
func requireGone(t *testing.T, since time.Time, list ...*server.Server) {
	t.Helper()
	is := is.New(t)
	n := 0
	for _, s := range list {
		for _, run := range s.Runs() {
			select {
			case <-run.Gone:
			case <-time.After(time.Until(since.Add(goneLimit))):
				t.Fatalf("%s works on the request after its caller left", s.Instance())
			}
			n++
		}
	}
	time.Sleep(goneLimit)
	after := 0
	for _, s := range list {
		after += len(s.Runs())
	}
	is.Equal(after, n)
}

// headOnly makes a server answer with the head of a stream and no event.
func headOnly(s *server.Server, blocked <-chan struct{}) {
	s.SetRaw(func(w io.Writer, header string) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", header)
		<-blocked
	})
}

// serveInOrder starts as many servers as there are scripts, which follow them together: the first run
// follows the first script, whichever server gets it. Each run is announced on the channel.
func (env *testEnv) serveInOrder(service string, scripts []server.Script) ([]*server.Server, <-chan struct{}) {
	env.t.Helper()
	blocked, runs, next := make(chan struct{}), make(chan struct{}, 10), make(chan server.Script, len(scripts))
	var list []*server.Server
	for i, script := range scripts {
		next <- script
		s := env.serve(service, fmt.Sprint("i-", i))
		headOnly(s, blocked)
		s.OnRun(func(*server.Run) { runs <- struct{}{} })
		s.SetChoice(func() server.Script {
			select {
			case script := <-next:
				return script
			default:
				return server.Whole
			}
		})
		list = append(list, s)
	}
	env.t.Cleanup(func() { close(blocked) }) // before the servers are closed
	return list, runs
}

// departure is how a caller leaves.
type departure string

const (
	closes      departure = "closes"
	closesAhead departure = "closes after bytes of the next request"
	resetsAhead departure = "resets after bytes of the next request"
	timeIsUp    departure = "time is up"
)

// departureTime is the time of a caller that leaves by timeIsUp: later than a parallel send.
const departureTime = 2200 * time.Millisecond

// leave makes the caller leave that sent its request at a time, and returns when it leaves.
func (d departure) leave(t *testing.T, conn net.Conn, sentAt time.Time) time.Time {
	t.Helper()
	if d == timeIsUp {
		return sentAt.Add(departureTime)
	}
	if d != closes {
		_, err := conn.Write([]byte("POST /look/"))
		is.New(t).NoErr(err)
		time.Sleep(20 * time.Millisecond) // the entry reads them
	}
	if d == resetsAhead {
		is.New(t).NoErr(conn.(*net.TCPConn).SetLinger(0))
	}
	left := time.Now()
	is.New(t).NoErr(conn.Close())
	return left
}

// deadline returns the time limit that the caller sends, in milliseconds.
func (d departure) deadline() string {
	if d == timeIsUp {
		return strconv.FormatInt(departureTime.Milliseconds(), 10)
	}
	return "4000"
}

// A caller leaves, or its time is up, at each stage of a request. The upstream must end its work, and
// get nothing more.
func TestNothingRunsAfterCallerLeft(t *testing.T) {
	for _, c := range []struct {
		name, path, service string
		scripts             []server.Script
	}{
		{"head of a plain answer", "/look/", "desk", []server.Script{server.Silent}},
		{"head of a plain answer, sent once", "/once/", "desk", []server.Script{server.Silent}},
		{"head of a stream", "/ask/", "engines", []server.Script{server.Silent}},
		{"first event", "/ask/", "engines", []server.Script{server.Raw}},
		{"further events", "/ask/", "engines", []server.Script{server.StopEvent}},
		{"resumption", "/ask/", "engines", []server.Script{server.CutEvent, server.Silent}},
		{"parallel send", "/ask/", "engines", []server.Script{server.StopEvent, server.Silent}},
	} {
		for _, how := range []departure{closes, closesAhead, resetsAhead, timeIsUp} {
			t.Run(c.name+", "+string(how), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.configure()
				list, runs := env.serveInOrder(c.service, c.scripts)
				sentAt := time.Now()
				conn := env.connect(c.path, how.deadline())
				for range c.scripts {
					<-runs
				}
				requireGone(t, how.leave(t, conn, sentAt), list...)
			})
		}
	}
}

// The caller leaves while its prompt waits in the entry's queue: it must not be sent later.
func TestQueuedPromptWhoseCallerLeft(t *testing.T) {
	is := is.New(t)
	env := newPatientEnv(t)
	engine := env.serve("engines", "i-1", server.PauseEvent)
	got := env.askPatiently()
	env.awaitRun(engine, 1)
	env.config["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)["slots"] = 1
	env.configure()
	queued := func() int {
		env.entry.sched.mu.Lock()
		defer env.entry.sched.mu.Unlock()
		return env.entry.sched.queued()
	}
	conn := env.connect("/ask/", "9500")
	env.await(func() bool { return queued() == 1 })
	_, err := conn.Write([]byte("POST /look/"))
	is.NoErr(err)
	is.NoErr(conn.Close())
	time.Sleep(goneLimit)
	is.Equal(queued(), 0)
	is.Equal((<-got).body, server.Events(testEvents))
	is.Equal(len(engine.Runs()), 1)
}

// heldDial is a network on which the next connection to an address is held.
type heldDial struct {
	address chan string
	dialled chan struct{} // closed once it is there
	proceed chan struct{} // closed to deliver it
}

// newHeldEnv is newTestEnv with an entry on such a network.
func newHeldEnv(t *testing.T) (*testEnv, *heldDial) {
	t.Helper()
	env, h := newTestEnv(t), &heldDial{address: make(chan string, 1), dialled: make(chan struct{}), proceed: make(chan struct{})}
	_ = env.entry.Shutdown(cancelledContext())
	env.entry = startEntryOn(t, "vm-1", "a", env.store.Addr(), env.entry.cfg.PeerPort, netio.New(h.dial, netio.TCP().Listen))
	env.configure()
	return env, h
}

func (h *heldDial) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := netio.TCP().Dial(ctx, addr)
	select {
	case held := <-h.address:
		if held != addr {
			h.address <- held
			break
		}
		close(h.dialled)
		<-h.proceed
	default:
	}
	return conn, err
}

// The caller leaves while the entry connects to the upstream, which must get nothing.
func TestConnectingWhenCallerLeaves(t *testing.T) {
	for path, service := range map[string]string{"/ask/": "engines", "/once/": "desk"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env, h := newHeldEnv(t)
			upstream := env.serve(service, "i-1")
			h.address <- upstream.Addr()
			conn := env.connect(path, "2000")
			<-h.dialled
			is.NoErr(conn.Close())
			time.Sleep(200 * time.Millisecond) // the entry notices
			close(h.proceed)
			time.Sleep(200 * time.Millisecond)
			is.Equal(len(upstream.Runs()), 0)
		})
	}
}

// Connecting takes 200 ms of the caller's time. The upstream must be told no more than what is left.
func TestTimeLeftAfterConnecting(t *testing.T) {
	for path, service := range map[string]string{"/ask/": "engines", "/once/": "desk"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			env, h := newHeldEnv(t)
			upstream := env.serve(service, "i-1")
			h.address <- upstream.Addr()
			env.connect(path, "2000")
			<-h.dialled
			time.Sleep(200 * time.Millisecond)
			close(h.proceed)
			left, err := strconv.Atoi(env.awaitRun(upstream, 1).Header.Get("X-Deadline-Milliseconds"))
			is.NoErr(err)
			is.True(left <= 1800)
		})
	}
}

// The entry reaches the upstream only through another one. It must end its work when the caller leaves.
func TestTunnelWhoseCallerLeft(t *testing.T) {
	env, n, _, list := newCutEnv(t)
	n.set(cutRefuse)
	env.await(func() bool { return env.do(env.request(http.MethodPost, "/ask/")).status == http.StatusOK }) // by a tunnel
	runs := make(chan struct{}, 10)
	for _, s := range list {
		s.SetScripts(server.Silent)
		s.OnRun(func(*server.Run) { runs <- struct{}{} })
	}
	conn := env.connect("/ask/", "4000")
	<-runs
	left := time.Now()
	_ = conn.Close()
	requireGone(t, left, list...)
}
