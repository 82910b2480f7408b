package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// again starts an entry at other addresses in place of the one that is lost.
func (w *world) again() {
	w.t.Helper()
	_ = w.entry.Shutdown(over()) // as if it had lost power: it gives nothing back that another needs
	w.start()
}

func (w *world) ready() int {
	w.t.Helper()
	res, err := http.Get("http://" + w.entry.readyLn.Addr().String() + platform.ReadyPath)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = res.Body.Close() // its status is all that matters
	return res.StatusCode
}

// All entries are lost just after the store has acknowledged a configuration that drops a
// route: the first answer of a new one is by that configuration.
func TestRecoversWithTheAcknowledgedConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusOK)
	routes := w.config["routes"].([]any)
	w.config["routes"] = append(routes[:1:1], routes[2:]...) // without /look/
	w.version++
	w.config["version"] = w.version
	w.put()
	w.again()
	w.await(func() bool { return w.ready() == http.StatusOK })
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusNotFound)
	is.Equal(w.do(w.request(http.MethodPost, "/once/")).status, http.StatusOK)
}

// An entry that starts while the store is away is not ready and promises that nothing ran;
// it serves once the store is back.
func TestStartsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	desk := w.serve("desk", "i-1")
	w.store.SetOutage(true)
	w.again()
	is.Equal(w.ready(), http.StatusServiceUnavailable)
	r := w.do(w.request(http.MethodPost, "/once/"))
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
	is.Equal(len(desk.Runs()), 0)
	w.store.SetOutage(false)
	w.await(func() bool { return w.ready() == http.StatusOK })
	is.Equal(w.do(w.request(http.MethodPost, "/once/")).status, http.StatusOK)
}

// The store turns one of two entries away: that one takes a new configuration over from
// the other, which reads it, and serves by it.
func TestTurnedAwayEntryFollowsThroughTheOther(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.configure()
	w.serve("desk", "i-1")
	// The other entry has the same records from a store of its own, as if the first one
	// alone were turned away.
	own := store.Serve(listen(t))
	t.Cleanup(own.Close)
	for _, r := range []struct{ topic, key string }{{"keyed.op", "config"}, {"keyed.servers", "i-1"}, {"keyed.status", "vm-1"}} {
		own.Put(r.topic, r.key, w.store.Value(r.topic, r.key))
	}
	other := startEntry(t, "vm-2", "b", own.Addr())
	w.await(func() bool { return own.Value("keyed.status", "vm-2") != nil })
	w.store.Put("keyed.status", "vm-2", own.Value("keyed.status", "vm-2"))
	w.await(func() bool { return w.entry.known() == 2 && other.known() == 2 })

	w.store.SetOutage(true)
	for range 2 { // the other store is behind by a record: it has seen fewer versions
		w.version++
		w.config["version"] = w.version
		b, err := json.Marshal(w.config)
		is.NoErr(err)
		own.Put("keyed.op", "config", b)
	}
	w.await(func() bool { return w.entry.belief.Table().Version() == int64(w.version) })
	is.Equal(w.do(w.request(http.MethodGet, "/look/")).status, http.StatusOK)
}
