package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

const (
	poison = "dead01"
	// maxCrashes is how many crashes the users accept until prompts with a segment are held back,
	// and maxSendsBeyond how many reach engines after that.
	maxCrashes     = 5
	maxSendsBeyond = 3
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
	env := newTestEnv(t)
	env.configure()
	other := env.startOther()
	var engines []*server.Server
	for i := range n {
		s := env.serve("engines", fmt.Sprintf("i-%d", i))
		s.SetPoison(poison)
		engines = append(engines, s)
	}
	env.awaitOther(other, n)
	return env, other, engines
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
