package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

// join starts an entry that has the first one as its seed.
func (b *harness) join(vm string) *Server {
	b.t.Helper()
	cfg := b.entries[0].cfg
	cfg.VM, cfg.Listen, cfg.PeerListen = vm, "127.0.0.1:0", "127.0.0.1:0"
	cfg.Seeds = []string{b.entries[0].PeerAddr()}
	s, err := New(cfg, log.New(io.Discard))
	if err != nil {
		b.t.Fatal(err)
	}
	b.entries = append(b.entries, s)
	go func() { _ = s.Serve() }()
	return s
}

func TestEntriesShareOwnershipAndSlots(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(3, nil))
	first := b.entries[0]
	second := b.join("entry-2")
	offset := first.store.View().Offset()
	b.await("the objects are in force at both", func() bool {
		return first.InForce(offset) == 2 && second.InForce(offset) == 2
	})
	b.await("each engine has one owner", func() bool {
		for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
			if first.peers.Owns(name) == second.peers.Owns(name) {
				return false
			}
		}
		return true
	})
	_, of := second.peers.Rank()
	is.Equal(of, 2)

	b.Engines[0].SetLeaving(true)
	for _, s := range b.entries {
		b.await("the engine is known to be leaving", func() bool {
			l, _, _ := s.fleet.Engine("engine-1").Load()
			return l.Leaving
		})
	}

	release, err := first.peers.Slot(t.Context(), "engine-2", 200_000)
	is.NoErr(err)
	_, err = second.peers.Slot(t.Context(), "engine-2", 200_000)
	is.True(err != nil) // the first entry holds the slot
	release()
	is.True(first.peers.Spill("engine-2", "exact", 1000)) // same failure domain
}

func TestRequestOverTheLimitIsRejected(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	c := client.New(netio.TCP(), "http://"+b.entries[0].Addr(), testToken)
	ws, ok := b.entries[0].store.View().Object(resource.TypeWorkspace, "guild")
	is.True(ok)
	ws.Metadata.ChangeID = ""
	ws.Spec = json.RawMessage(`{"weight":1,"patience":60,"keys":["` + resource.HashKey(guildKey) + `"],"limits":{"requestsPerSecond":0.01}}`)
	_, err := c.Put(t.Context(), ws)
	is.NoErr(err)

	ask := func() (int, http.Header, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.entries[0].Addr()+"/v1/completions",
			strings.NewReader(`{"model":"exact","max_tokens":2,"prompt":"hello"}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+guildKey)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.StatusCode, res.Header, string(body)
	}
	status, _, _ := ask()
	is.Equal(status, http.StatusOK)
	status, header, body := ask()
	is.Equal(status, http.StatusTooManyRequests)
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(body, `"ran":"no"`))
	is.Equal(b.entries[0].peers.limiter.State().Refused["requests_per_second"], int64(1))
}

func TestWrongMethodNamesTheAllowedOne(t *testing.T) {
	is := is.New(t)
	b := newHarness(t, 1, engines(1, nil))
	for path, allowed := range map[string]string{
		"/v1/completions": "POST", "/v1/chat/completions": "POST", "/v1/models": "GET", "/v1/orders/x": "GET",
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+b.entries[0].Addr()+path, nil)
		is.NoErr(err)
		res, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_ = res.Body.Close()
		is.Equal(res.StatusCode, http.StatusMethodNotAllowed)
		is.Equal(res.Header.Get("Allow"), allowed)
	}
}
