package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// An upstream in need names the rate of requests that it takes from all entries together. Entries
// that go on as before, or keep within it each by itself, send it several times as much.
func TestNamedLimitIsKept(t *testing.T) {
	const (
		limit = 2 // requests a second
		// maxArrivals is what the users accept in 4 s.
		maxArrivals = 1.5*4*limit + 5
		requests    = 120
	)
	for service, path := range map[string]string{"engines": "/ask/", "desk": "/look/"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			other := env.startOther()
			limited, free := env.serve(service, "i-1"), env.serve(service, "i-2")
			env.awaitOther(other, 2)
			limited.SetLimit(fmt.Sprint(limit))
			entries := []*Server{env.entry, other}
			for i := 0; len(limited.Runs()) == 0; i++ { // until it has named the limit
				is.Equal(env.ask(entries[i%2], path).status, http.StatusOK)
			}
			limited.SetScripts() // counts anew
			is.Equal(env.flood(entries, path, requests), 0)
			t.Logf("%d of %d requests at the limited server", len(limited.Runs()), requests)
			is.True(float64(len(limited.Runs())) <= maxArrivals)
			is.True(len(free.Runs()) >= requests-maxArrivals)

			limited.SetLimit("") // it takes all again once it has said so
			env.publish(service, free, "draining")
			env.await(func() bool {
				env.ask(env.entry, path)
				env.ask(other, path)
				return len(limited.Runs()) > 2*maxArrivals
			})
		})
	}
}

// ask sends a request with the path to an entry.
func (env *testEnv) ask(entry *Server, path string) reply {
	env.t.Helper()
	return env.do(env.requestAt(entry, http.MethodGet, path))
}

// flood sends n requests by the entries at the same time, as fast as they are answered, and returns
// how many failed.
func (env *testEnv) flood(entries []*Server, path string, n int) int {
	env.t.Helper()
	var (
		wg     sync.WaitGroup
		failed atomic.Int64
	)
	for _, s := range entries {
		wg.Go(func() {
			for range n / len(entries) {
				if env.ask(s, path).status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(failed.Load())
}
