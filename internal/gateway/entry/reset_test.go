package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/relay"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// Resets the connections to the only server after each byte of the request and of the answer. A
// request that may run once must not run twice, a refusal that states that it did not run must be
// true, and a successful answer must be complete.
func TestResetAtEachByte(t *testing.T) {
	const longest = 700 // bytes; requests and answers of this test are shorter
	for _, path := range []string{"/once/", "/look/", "/ask/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(t)
			env.configure()
			service, events, want := "desk", 0, "plain answer"
			if path == "/ask/" {
				service, events, want = "engines", testEvents, server.Events(testEvents)
			}
			s := server.New(listen(t), "i-1", events)
			t.Cleanup(s.Close)
			c := relay.New(listen(t), s.Addr())
			t.Cleanup(c.Close)
			seen := 0
			refused := map[string]int{} // the bytes after which a refused attempt was reset, by id
			for n := range longest {
				for i, reset := range []func(after int){c.CutRequests, c.CutResponses} {
					env.register(service, "i-1", c.Addr()) // a new server to the entry, which forgets the earlier failures
					reset(n)
					req := env.request(http.MethodPost, path)
					id := fmt.Sprintf("request-%d-%d", n, i)
					req.Header.Set("X-Attempt-Id", id)
					r := env.do(req)
					c.CutNothing()
					switch {
					case r.status == http.StatusServiceUnavailable:
						refused[id] = n
					case r.status == http.StatusOK && r.err == nil && r.body != want:
						t.Fatalf("reset after %d bytes: incomplete successful answer: %q", n, r.body)
					case r.status == http.StatusOK && r.err == nil:
						seen++
					}
				}
			}
			checkRuns(t, s.Runs(), path == "/once/", refused)
			is.True(seen > 0) // requests succeed once the reset is after their last byte
		})
	}
}

// checkRuns fails the test if an attempt ran though it was refused, or ran twice where it may run once
// only. The runs include those that began after the caller had its answer.
func checkRuns(t *testing.T, runs []*server.Run, once bool, refused map[string]int) {
	t.Helper()
	ran := map[string]int{}
	for _, run := range runs {
		id := run.Header.Get("X-Attempt-Id")
		if ran[id]++; once && ran[id] > 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
		if n, ok := refused[id]; ok {
			t.Errorf("reset after %d bytes: it ran, though the refusal states that it did not", n)
		}
	}
}
