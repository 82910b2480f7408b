package entry

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

// scripts are the server behaviours that end soon.
var scripts = []server.Script{
	server.Whole, server.Reject, server.Fail, server.Reset, server.Unsealed, server.WrongAttempt,
	server.Encoded, server.CutEvent, server.Unframed,
}

// Checks guarantees under any behaviour of servers: a request that may run once runs at most
// once; a refusal that states that it did not run is true; a success is complete and from one
// server; a request runs on no more servers than the route allows.
func TestRapidPromises(t *testing.T) {
	env := newTestEnv(t)
	env.configure()
	var desks, engines []*server.Server
	for i := range 3 {
		desks = append(desks, env.serve("desk", "desk-"+strconv.Itoa(i)))
		engines = append(engines, env.serve("engines", "engine-"+strconv.Itoa(i)))
	}
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/once/", "/look/", "/ask/"}).Draw(t, "path")
		list, service, ways, limit := desks, "desk", append(scripts, server.Silent), 100
		if path == "/ask/" { // a silent engine would be waited for
			list, service, ways, limit = engines, "engines", scripts, 2000
		}
		for i, s := range list {
			s.SetScripts(rapid.SliceOfN(rapid.SampledFrom(ways), 1, 3).Draw(t, "script "+strconv.Itoa(i))...)
			env.restart(service, s)
		}
		req := env.request(http.MethodPost, path)
		req.Header.Set("X-Deadline-Milliseconds", strconv.Itoa(limit))
		r := env.do(req)
		time.Sleep(2 * time.Millisecond) // requests in transit arrive
		runs := 0
		for _, s := range list {
			runs += len(s.Runs())
		}
		if path == "/once/" && runs > 1 {
			t.Fatalf("it ran %d times", runs)
		}
		if runs > 2 {
			t.Fatalf("it ran on %d servers, the route allows 2", runs)
		}
		switch {
		case r.status == http.StatusServiceUnavailable && runs > 0:
			t.Fatal("it ran, though the refusal states that it did not")
		case r.status == http.StatusOK && r.header.Get("X-Response-Seal") == "":
			t.Fatal("successful answer without a seal")
		case r.status == http.StatusOK && r.err == nil && path == "/ask/" && r.body != server.Events(testEvents) && r.body != "plain answer":
			t.Fatalf("incomplete successful answer: %q", r.body)
		case r.status == http.StatusOK && path != "/ask/" && (r.err != nil || r.body != "plain answer"):
			t.Fatalf("incomplete successful answer: %q, %v", r.body, r.err)
		}
	})
}
