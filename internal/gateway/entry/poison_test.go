package entry

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

const (
	poison = "dead01"
	// maxCrashes and maxRequestCrashes are how many crashes the users accept until prompts with a
	// segment, or one request, are held back, and maxSendsBeyond how many are sent after that.
	maxCrashes        = 5
	maxRequestCrashes = 3
	maxSendsBeyond    = 3
)

// askWith sends a prompt with the segments, and one of its own, to an entry.
func (env *testEnv) askWith(entry *Server, id, segments string) reply {
	env.t.Helper()
	req := env.requestAt(entry, http.MethodPost, "/ask/")
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Prompt-Prefix", segments+","+id+":500")
	return env.do(req)
}

func crashes(list []*server.Server) int {
	n := 0
	for _, s := range list {
		if s.Crashed() {
			n++
		}
	}
	return n
}

// newPoisonEnv returns an environment with a second entry and n engines that crash on the
// segment poison.
func newPoisonEnv(t *testing.T, n int) (*testEnv, *Server, []*server.Server) {
	t.Helper()
	return newDeadlyEnv(t, "engines", n, func(s *server.Server) { s.SetPoison(poison) })
}

// newDeadlyEnv returns an environment with a second entry and n servers of a service, which arm
// makes crash on some requests.
func newDeadlyEnv(t *testing.T, service string, n int, arm func(s *server.Server)) (*testEnv, *Server, []*server.Server) {
	t.Helper()
	env := newTestEnv(t)
	env.configure()
	other := env.startOther()
	var list []*server.Server
	for i := range n {
		s := env.serve(service, fmt.Sprintf("i-%d", i))
		arm(s)
		list = append(list, s)
	}
	env.awaitOther(other, n)
	return env, other, list
}

// Engines crash as they begin to answer prompts with one segment. Unless these are held back, each
// takes down one engine after the other, at all entries, and sound prompts find none.
func TestSegmentThatCrashesEnginesIsHeldBack(t *testing.T) {
	is := is.New(t)
	const engineCount, prompts = 16, 24
	env, other, engines := newPoisonEnv(t, engineCount)
	entries := []*Server{env.entry, other}
	for i := range prompts {
		is.True(env.askWith(entries[i%2], fmt.Sprintf("%x", i), "5c1e07a2:40,"+poison+":460").status != http.StatusOK)
	}
	t.Logf("%d engines crashed", crashes(engines))
	is.True(crashes(engines) <= maxCrashes+maxSendsBeyond)
	for i := range prompts {
		r := env.askWith(entries[i%2], fmt.Sprintf("%x", prompts+i), "5c1e07a2:40")
		is.Equal(r.status, http.StatusOK) // it shares a segment and the key
		is.Equal(r.body, server.Events(testEvents))
	}
	for _, s := range entries {
		r := env.askWith(s, "fff", "5c1e07a2:40,"+poison+":460")
		is.Equal(r.status, http.StatusServiceUnavailable)
		is.True(r.header.Get("Retry-After") != "")
	}
}

// deadlyBody is the body of the requests on which servers crash.
const deadlyBody = "the deadly one"

// post sends a request with a body to an entry.
func (env *testEnv) post(entry *Server, id, path, body string) reply {
	env.t.Helper()
	req := env.requestAt(entry, http.MethodPost, path)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:500", xxh3.HashString(body)))
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return env.do(req)
}

// Servers crash as they run one request, which comes again and again at all entries. Unless it is held
// back, it takes down each server, and then sound requests find none.
func TestRequestThatCrashesServersIsHeldBack(t *testing.T) {
	const servers, repeats = 16, 24
	for name, c := range map[string]struct{ service, path string }{
		"plain":          {"desk", "/look/at"},
		"non-idempotent": {"desk", "/once/at"},
		"prompt":         {"engines", "/ask/"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env, other, list := newDeadlyEnv(t, c.service, servers, func(s *server.Server) {
				s.SetDeadly(func(run *server.Run) bool { return run.Body == deadlyBody })
			})
			entries := []*Server{env.entry, other}
			for i := range repeats {
				is.True(env.post(entries[i%2], fmt.Sprintf("%x", i), c.path, deadlyBody).status != http.StatusOK)
			}
			env.await(func() bool { // the last one to run it may not have crashed yet
				return !slices.ContainsFunc(list, func(s *server.Server) bool { return len(s.Runs()) > 0 && !s.Crashed() })
			})
			t.Logf("%d servers crashed", crashes(list))
			is.True(crashes(list) <= maxRequestCrashes+maxSendsBeyond)
			for i := range repeats { // sound ones of the same caller and path
				is.Equal(env.post(entries[i%2], fmt.Sprintf("%x", repeats+i), c.path, fmt.Sprint("sound ", i%3)).status, http.StatusOK)
			}
			for _, s := range entries {
				r := env.post(s, "fff", c.path, deadlyBody)
				is.Equal(r.status, http.StatusServiceUnavailable)
				is.True(r.header.Get("Retry-After") != "")
			}
		})
	}
}
