package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// longAnswer are token counts of a prompt that is written in less than 3 s, and in more than what is left
// of that when the attempt takes too long.
const longAnswer = "1460,5500"

// soundSilence is how long a sound upstream is silent: longer than an attempt takes by prediction.
const soundSilence = 1500 * time.Millisecond

// A sound upstream is silent for a moment, and takes no connections meanwhile or does, while no other
// one may be asked: there is none, the route allows one attempt only, or no retries are left. The
// attempt was given up all the same, and the request failed with time left.
func TestSilentUpstreamIsWaitedForWithoutAnother(t *testing.T) {
	for _, path := range []string{"/look/", "/ask/"} {
		for _, place := range []string{"before the head", "after the head"} {
			for _, why := range []string{"alone", "unreachable", "one attempt", "no retries"} {
				t.Run(fmt.Sprint(path, place, " ", why), func(t *testing.T) {
					t.Parallel()
					checkSilentUpstream(t, path, place == "before the head", why)
				})
			}
		}
	}
}

// An engine is silent for a moment, and the other ones would refuse the prompt: too little time is left.
// The attempt was given up all the same, and the request failed.
func TestSilentEngineIsWaitedForWhereOthersRefuse(t *testing.T) {
	for name, beforeHead := range map[string]bool{"before the head": true, "after the head": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSilentUpstream(t, "/ask/", beforeHead, "no time")
		})
	}
}

func checkSilentUpstream(t *testing.T, path string, beforeHead bool, why string) {
	is := is.New(t)
	env := newTestEnv(t)
	service, want := "desk", "plain answer"
	if path == "/ask/" {
		service, want = "engines", server.Events(testEvents)
	}
	var silent atomic.Pointer[string] // address of the silent upstream if it is unreachable
	env.check(func(sched *scheduler) bool {
		sched.unreachable = func(address string) bool { at := silent.Load(); return at != nil && *at == address }
		if why == "no retries" {
			sched.budget = retry.NewWithin(0, 0, 0)
		}
		return true
	})
	if why == "one attempt" {
		for _, r := range env.config["routes"].([]any) {
			r.(map[string]any)["max_attempts"] = 1
		}
	}
	env.configure()
	a := env.serve(service, "i-1", server.Raw)
	if why == "one attempt" || why == "no retries" || why == "no time" {
		env.serve(service, "i-2")
	}
	a.SetRaw(func(w io.Writer, header string) {
		if why == "unreachable" || why == "one attempt" {
			at := a.Addr()
			silent.Store(&at)
		}
		head, body := okLine+header+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(want)), want
		if beforeHead {
			head, body = "", head+body
		}
		_, _ = io.WriteString(w, head) // a failure shows in the answer
		time.Sleep(soundSilence)
		_, _ = io.WriteString(w, body)
	})
	for len(a.Runs()) == 0 { // until the silent one was picked
		req := env.request(http.MethodGet, path)
		req.Header.Set("X-Deadline-Milliseconds", "3000")
		if why == "no time" { // the time to write the answer is left now, and not after the silence
			req.Header.Set("X-Token-Counts", longAnswer)
		}
		r := env.do(req)
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.body, want)
	}
}

// A server breaks off a plain request that may be repeated while the other one takes no connections for
// a moment. The request failed at once, with time left.
func TestPlainRetryWaitsForSilentServer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	a := env.serve("desk", "i-1", server.Reset)
	silent := closedAddress(t)
	env.register("desk", "i-2", silent)
	got := make(chan reply, 1)
	go func() { got <- env.do(env.request(http.MethodGet, "/look/")) }()
	env.await(func() bool { return len(a.Runs()) == 1 && env.entry.reach.IsUnreachable(silent) })
	ln, err := net.Listen("tcp", silent)
	is.NoErr(err)
	b := server.New(ln, "i-2", 0)
	t.Cleanup(b.Close)
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, "plain answer")
	is.Equal(len(b.Runs()), 1)
}

// A plain request fails to connect to one server and is then broken off by the other, with no retries left. It
// was sent to the first one all the same once that took connections, beyond the retry budget.
func TestSilentServerIsAskedAgainWithinBudget(t *testing.T) {
	for i := range 16 { // which server is picked first is random
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.check(func(sched *scheduler) bool {
				sched.budget = retry.NewWithin(0, 0, 0)
				return true
			})
			env.configure()
			a := env.serve("desk", "i-1", server.Reset)
			silent := closedAddress(t)
			env.register("desk", "i-2", silent)
			got := make(chan reply, 1)
			go func() { got <- env.do(env.request(http.MethodGet, "/look/")) }()
			env.await(func() bool { return len(a.Runs()) == 1 })
			ln, err := net.Listen("tcp", silent)
			is.NoErr(err)
			b := server.New(ln, "i-2", 0)
			t.Cleanup(b.Close)
			r := <-got
			is.NoErr(r.err)
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(len(b.Runs()), 0)
		})
	}
}

// An engine has sent the head of its answer and takes no connections for a moment. It was given up 0.25 s later
// though it was reachable again and in time, as soon as another one took the prompt.
func TestReachableEngineKeepsItsTime(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	var silent atomic.Pointer[string]
	env.check(func(sched *scheduler) bool {
		sched.unreachable = func(address string) bool { at := silent.Load(); return at != nil && *at == address }
		return true
	})
	env.configure()
	a := env.serve("engines", "i-1", server.Raw)
	at, want := a.Addr(), server.Events(testEvents)
	spare := make(chan struct{})
	a.SetRaw(func(w io.Writer, header string) {
		silent.Store(&at)
		_, _ = io.WriteString(w, okLine+header+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(want))) // a failure shows in the answer
		time.Sleep(400 * time.Millisecond)
		silent.Store(nil)
		close(spare)
		time.Sleep(450 * time.Millisecond) // it has 1.2 s at least
		_, _ = io.WriteString(w, want)
	})
	got := make(chan reply, 1)
	go func() { got <- env.do(env.request(http.MethodPost, "/ask/")) }()
	select {
	case <-spare:
	case r := <-got:
		t.Fatalf("status %d, %v, before the engine was reachable again", r.status, r.err)
	}
	b := env.serve("engines", "i-2")
	r := <-got
	is.NoErr(r.err)
	is.Equal(r.body, want)
	is.Equal(len(b.Runs()), 0)
}
