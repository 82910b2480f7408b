package entry

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/relay"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// Connections to the only server are reset at each byte of the question and of the answer:
// what may run once runs at most once, a promise that it did not run is true, and a success
// is whole.
func TestResetAtEachByte(t *testing.T) {
	const longest = 700 // bytes; questions and answers of these requests are shorter
	for _, path := range []string{"/once/", "/look/", "/ask/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(t)
			w.configure()
			service, events, whole := "desk", 0, "plain answer"
			if path == "/ask/" {
				service, events, whole = "engines", testEvents, server.Events(testEvents)
			}
			s := server.New(listen(t), "i-1", events)
			t.Cleanup(s.Close)
			c := relay.New(listen(t), s.Addr())
			t.Cleanup(c.Close)
			seen := 0
			for n := range longest {
				for _, cut := range []func(after int){c.CutRequests, c.CutResponses} {
					w.born++ // a new server to the entry, which forgets how it failed
					w.store.Put("keyed.servers", "i-1", fmt.Appendf(nil,
						`{"service":%q,"address":%q,"zone":"a","slots":16,"state":"ready","sequence":1,"born":%d}`, service, c.Addr(), w.born))
					w.await(func() bool { return w.bornAs(service, "i-1", w.born) })
					s.SetScripts()
					cut(n)
					r := w.do(w.request(http.MethodPost, path))
					c.CutNothing()
					runs := len(s.Runs())
					switch {
					case path == "/once/" && runs > 1:
						t.Fatalf("reset after %d bytes: it ran %d times", n, runs)
					case r.status == http.StatusServiceUnavailable && runs > 0:
						t.Fatalf("reset after %d bytes: it ran, though the refusal says that it did not", n)
					case r.status == http.StatusOK && r.err == nil && r.body != whole:
						t.Fatalf("reset after %d bytes: a success that is not whole: %q", n, r.body)
					case r.status == http.StatusOK && r.err == nil:
						seen++
					}
				}
			}
			is.True(seen > 0) // both ends get through once enough bytes do
		})
	}
}
