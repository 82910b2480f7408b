package entry

import (
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
			for n := range longest {
				for _, reset := range []func(after int){c.CutRequests, c.CutResponses} {
					env.register(service, "i-1", c.Addr()) // a new server to the entry, which forgets the earlier failures
					s.SetScripts()
					reset(n)
					r := env.do(env.request(http.MethodPost, path))
					c.CutNothing()
					runs := len(s.Runs())
					switch {
					case path == "/once/" && runs > 1:
						t.Fatalf("reset after %d bytes: it ran %d times", n, runs)
					case r.status == http.StatusServiceUnavailable && runs > 0:
						t.Fatalf("reset after %d bytes: it ran, though the refusal states that it did not", n)
					case r.status == http.StatusOK && r.err == nil && r.body != want:
						t.Fatalf("reset after %d bytes: incomplete successful answer: %q", n, r.body)
					case r.status == http.StatusOK && r.err == nil:
						seen++
					}
				}
			}
			is.True(seen > 0) // requests succeed once the reset is after their last byte
		})
	}
}
