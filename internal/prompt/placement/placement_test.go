package placement_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/membership"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/world"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

// eventTimeout bounds the wait for an event. No result depends on it.
const eventTimeout = 20 * time.Second

// fixture is a placer with stand-in engines on loopback.
type fixture struct {
	*placement.Placer
	t       *testing.T
	world   *world.World
	view    *resource.View
	engines []*standin.Engine
}

func newFixture(t *testing.T, engines int, seams placement.Seams) *fixture {
	t.Helper()
	t.Parallel()
	var cfgs []standin.Config
	for i := range engines {
		cfgs = append(cfgs, standin.Default(fmt.Sprintf("engine-%d", i+1), "m"))
	}
	w, err := world.Start(world.SameHost(netio.TCP()), cfgs, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	f := &fixture{t: t, world: w, engines: w.Engines}
	fold := resource.NewFold()
	put := func(kind resource.Type, name, spec string) {
		out, _ := fold.Apply(fold.Offset()+1, resource.Change{ID: name, Op: resource.OpPut, Kind: kind, Name: name, Spec: json.RawMessage(spec)})
		if out.Err() != nil {
			t.Fatal(out.Err())
		}
	}
	put(resource.TypeDeployment, "assistant", `{"model":"m","contextTokens":2000000}`)
	for i, cfg := range cfgs {
		put(resource.TypeUpstream, cfg.Name, fmt.Sprintf(
			`{"address":%q,"failureDomain":"a","deployments":["assistant"],"memoryTokens":%d,"prefillRate":%d}`,
			w.EngineAddr(i), cfg.Memory, cfg.PrefillRate,
		))
	}
	f.view = fold.View()
	logger := log.New(io.Discard)
	seams.View = func() *resource.View { return f.view }
	fl := fleet.New(netio.TCP(), fleet.Seams{
		View: seams.View, Owns: func(string) bool { return true },
		Loads:    func() []*memberwire.Report { return nil },
		State:    func(string) membership.State { return membership.StateLive },
		SetState: func(string, membership.State) {},
	}, logger)
	t.Cleanup(fl.Close)
	f.Placer = placement.New(engine.Owner{VM: "entry-1", Incarnation: 1}, "a", fl, seams, logger)
	f.await("all engines have reported", func() bool {
		for _, e := range fl.State() {
			if e.ReportAgeMS < 0 {
				return false
			}
		}
		return len(fl.State()) == engines
	})
	return f
}

func (f *fixture) await(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(eventTimeout); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (f *fixture) prompt(id string, tokens int) placement.Prompt {
	return placement.Prompt{
		ID: id, Workspace: "guild", Deployment: f.view.Deployment("assistant"),
		Text: strings.Repeat("word", tokens), Tokens: tokens, MaxTokens: 64, Deadline: time.Now().Add(10 * time.Minute),
	}
}

func (f *fixture) used() int {
	n := 0
	for _, e := range f.engines {
		n += e.MemoryUsed()
	}
	return n
}

// fill holds all memory of the first engine and waits until a report shows it.
func (f *fixture) fill() {
	f.t.Helper()
	e := f.engines[0]
	if err := e.Hold(standin.HoldRequest{Hold: "other", Tokens: standin.Default("", "").Memory, TTL: time.Minute}); err != nil {
		f.t.Fatal(err)
	}
	g, err := f.Place(f.t.Context(), f.prompt("first", 10), nil)
	if err == nil {
		g.Done(placement.Outcome{})
	}
	f.await("the memory is known to be full", func() bool { return f.State().Engines[0].FreeNow < 64 })
}

type placeResult struct {
	grant *placement.Grant
	err   error
}

func (f *fixture) place(ctx context.Context, p placement.Prompt) <-chan placeResult {
	out := make(chan placeResult, 1)
	go func() {
		g, err := f.Place(ctx, p, nil)
		out <- placeResult{g, err}
	}()
	return out
}

func TestCanceledPromptLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, placement.Seams{})
	f.fill()
	ctx, cancel := context.WithCancel(t.Context())
	got := f.place(ctx, f.prompt("r1", 1_000))
	f.await("the prompt waits", func() bool { return f.State().Waiting == 1 })
	cancel()
	p := <-got
	is.True(fault.Is(p.err, placement.KindCallerGone))
	is.Equal(f.State().Waiting, 0)
	is.Equal(f.State().WaitingBytes, 0)
}

func TestWaitingPromptIsPlacedWhenMemoryIsFreed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, placement.Seams{})
	f.fill()
	got := f.place(t.Context(), f.prompt("r1", 1_000))
	f.await("the prompt waits", func() bool { return f.State().Waiting == 1 })
	is.NoErr(f.engines[0].Release("other"))
	p := <-got
	is.NoErr(p.err)
	is.Equal(p.grant.Engine().Name(), "engine-1")
	p.grant.FirstToken()
	p.grant.Done(placement.Outcome{Usage: &engine.Usage{PromptTokens: 1_000, CompletionTokens: 20}})
	is.Equal(len(f.State().OutstandingTokens), 0)
}

func TestGroupIsHeldAndReleased(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, placement.Seams{})
	g, err := f.Place(t.Context(), f.prompt("r1", 1_000_000), nil)
	is.NoErr(err)
	r := g.Request("s1")
	is.Equal(r.Group, 3)
	is.True(r.Hold != "")
	is.True(f.used() >= 1_000_000)
	_, err = f.Place(t.Context(), f.prompt("r2", 3_000_000), nil)
	is.True(fault.Is(err, placement.KindTooLarge))
	g.Done(placement.Outcome{Err: errors.New("the caller left")})
	is.Equal(f.used(), 0)
	is.Equal(len(f.State().OutstandingTokens), 0)
}

func TestLongPromptTakesASlot(t *testing.T) {
	is := is.New(t)
	var asked, released atomic.Int32
	f := newFixture(t, 1, placement.Seams{Slot: func(context.Context, string, int) (func(), error) {
		if asked.Add(1) == 1 {
			return nil, errors.New("taken")
		}
		return func() { released.Add(1) }, nil
	}})
	g, err := f.Place(t.Context(), f.prompt("r1", 50_000), nil)
	is.NoErr(err)
	is.Equal(asked.Load(), int32(2)) // the first call failed: the prompt waited and asked again
	g.FirstToken()
	is.Equal(released.Load(), int32(1))
	g.Done(placement.Outcome{})
	is.Equal(released.Load(), int32(1))

	g, err = f.Place(t.Context(), f.prompt("r2", 1_000), nil)
	is.NoErr(err)
	is.Equal(asked.Load(), int32(2)) // short prompts need no slot
	g.Done(placement.Outcome{})
}

func TestEngineWithCachedPrefixIsPreferred(t *testing.T) {
	is := is.New(t)
	ran := map[string]int{}
	f := newFixture(t, 3, placement.Seams{
		Cached: func(upstream string, blocks []uint64) int {
			if upstream == "engine-2" {
				return len(blocks)
			}
			return 0
		},
		Ran: func(upstream string, blocks []uint64) { ran[upstream] += len(blocks) },
	})
	for i := range 5 {
		g, err := f.Place(t.Context(), f.prompt(fmt.Sprint(i), 20_000), nil)
		is.NoErr(err)
		is.Equal(g.Engine().Name(), "engine-2")
		g.FirstToken()
		g.Done(placement.Outcome{})
	}
	is.Equal(ran, map[string]int{"engine-2": 5 * 20_000 * 4 / 1024})
}
