package configrelay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configrelay"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configwire"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/logcalls"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

const (
	peerKey   = "peer-key-1"
	peerDelay = 500 * time.Microsecond // one-way delay between entries
	logDelay  = 2 * time.Millisecond   // one-way delay to the log
	retention = time.Hour
)

var class = errs.Class("test")

// fleet is a set of entries with their configuration stores, connected by an in-memory
// network into which partitions and lost responses can be injected.
type fleet struct {
	log *store.Store

	mu       sync.Mutex
	entries  []*entry
	cutLog   map[string]cut     // failure domain -> fault on its route to the log
	cutPeer  map[[2]string]bool // partitioned pairs of failure domains
	loseIn   map[string]int     // failure domain -> number of responses of its entries to drop
	late     int                // number of appends to deliver long after their callers timed out
	held     sync.WaitGroup     // pending late appends
	next     int
	failures []error           // errors of submitted changes
	loseLog  int               // number of responses of the log to drop
	written  map[uint64][]byte // records of the configuration stream by offset
}

// set changes the injected faults.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// failed records the error of a change.
func (f *fleet) failed(err error) { f.set(func() { f.failures = append(f.failures, err) }) }

// live returns the running entries.
func (f *fleet) live() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// cut is the failure mode of a route.
type cut int

const (
	cutNone   cut = iota
	cutRefuse     // calls fail immediately
	cutSilent     // calls get no response
)

// entry is the configuration store of one entry with its relay.
type entry struct {
	vm, domain string
	link       *link.Link
	relay      *configrelay.Relay
	store      *config.Store
	changes    *logservice.Appender
	snapshots  *logservice.Appender
}

func newFleet() *fleet {
	f := &fleet{
		log: store.New(), cutLog: map[string]cut{}, cutPeer: map[[2]string]bool{},
		loseIn: map[string]int{}, written: map[uint64][]byte{},
	}
	f.log.SetRetention(retention)
	return f
}

// add starts an entry in the failure domain.
func (f *fleet) add(domain string) *entry {
	e := &entry{domain: domain}
	f.set(func() {
		f.next++
		e.vm = fmt.Sprintf("%s%d", domain, f.next)
	})
	lim := logservice.NewLimiter(logservice.DefaultEntryAppends)
	appends := func(stream string) *logservice.Appender {
		return logservice.NewAppender(logservice.AppenderConfig{Limiter: lim, RetryFor: configrelay.DirectAppendRetry, Jitter: jitter, Append: f.appends(domain, stream)})
	}
	e.changes, e.snapshots = appends(resource.Stream), appends(config.SnapshotStream)
	e.link = link.NewOver(e.vm, peerKey, func(r *http.Request) (*http.Response, error) { return f.deliver(e, r) })
	e.relay = configrelay.New(configrelay.Seams{
		Read:   f.reads(domain, resource.Stream),
		Append: e.changes.Append,
		Peers:  func() []configrelay.Peer { return f.peers(e) },
		Rank:   func() (int, int) { return f.rank(e) },
		Do:     e.link.Do,
	})
	f.set(func() { f.entries = append(f.entries, e) })
	e.store = config.NewStore(config.Seams{
		Read:           e.relay.Read,
		Append:         e.relay.Append,
		ReadSnapshots:  f.reads(domain, config.SnapshotStream),
		AppendSnapshot: e.snapshots.Append,
		PeerState:      e.relay.PeerState,
		Jitter:         jitter,
		Rank:           func() (int, int) { return slices.Index(f.live(), e), len(f.live()) },
	}, config.Settings{Retention: retention}, log.New(io.Discard))
	e.link.Handle(configwire.ConfigRelayPathPrefix, configrelay.NewServer(configrelay.ServerSeams{
		Records: e.store.Records, State: e.store.Encoded, Append: e.changes.Append,
		Source: e.relay.Source,
	}))
	return e
}

// jitter is deterministic, so that runs are reproducible.
func jitter(d time.Duration) time.Duration { return d * 3 / 4 }

// remove stops an entry, as the loss of its VM does.
func (f *fleet) remove(e *entry) {
	f.set(func() { f.entries = slices.DeleteFunc(f.entries, func(o *entry) bool { return o == e }) })
	e.changes.Close()
	e.snapshots.Close()
	e.store.Close()
	e.relay.Close()
}

func (f *fleet) close() {
	f.held.Wait()
	for _, e := range f.live() {
		f.remove(e)
	}
}

func (f *fleet) peers(e *entry) []configrelay.Peer {
	var out []configrelay.Peer
	for _, o := range f.live() {
		if o != e {
			out = append(out, configrelay.Peer{VM: o.vm, Address: o.vm, SameDomain: o.domain == e.domain})
		}
	}
	return out
}

func (f *fleet) rank(e *entry) (int, int) {
	rank, of := 0, 0
	for _, o := range f.live() {
		if o == e {
			rank = of
		}
		if o.domain == e.domain {
			of++
		}
	}
	return rank, of
}

// deliver delivers a call from one entry to another.
func (f *fleet) deliver(from *entry, r *http.Request) (*http.Response, error) {
	var to *entry
	for _, o := range f.live() {
		if o.vm == r.URL.Host {
			to = o
		}
	}
	if to == nil {
		return nil, errors.New("no such host")
	}
	if f.partitioned(from.domain, to.domain) {
		<-r.Context().Done() // a partition drops packets silently
		return nil, r.Context().Err()
	}
	time.Sleep(peerDelay)
	rec := httptest.NewRecorder()
	to.link.ServeHTTP(rec, r)
	time.Sleep(peerDelay)
	if f.dropResponse(to.domain) {
		return nil, errors.New("connection reset")
	}
	return rec.Result(), r.Context().Err()
}

func (f *fleet) partitioned(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutPeer[[2]string{a, b}] || f.cutPeer[[2]string{b, a}]
}

func (f *fleet) dropResponse(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseIn[domain] == 0 {
		return false
	}
	f.loseIn[domain]--
	return true
}

// traverse simulates one direction of the route between a failure domain and the log.
func (f *fleet) traverse(ctx context.Context, domain string) error {
	time.Sleep(logDelay)
	f.mu.Lock()
	route := f.cutLog[domain]
	f.mu.Unlock()
	switch route {
	case cutRefuse:
		return fault.New(&class, "call", logservice.KindUnavailable, nil)
	case cutSilent:
		<-ctx.Done()
		return fault.New(&class, "call", logservice.KindUnknown, ctx.Err())
	default:
		return nil
	}
}

func (f *fleet) appends(domain, stream string) func(context.Context, [][]byte) (uint64, error) {
	return func(ctx context.Context, recs [][]byte) (uint64, error) {
		if err := f.traverse(ctx, domain); err != nil {
			return 0, err
		}
		if f.scheduleLate(stream, recs) {
			<-ctx.Done()
			return 0, fault.New(&class, "call", logservice.KindUnknown, ctx.Err())
		}
		first, err := f.append(ctx, stream, recs)
		if err != nil {
			return 0, err
		}
		return first, f.traverse(ctx, domain)
	}
}

// append appends to the log and keeps the records for the oracle.
func (f *fleet) append(ctx context.Context, stream string, recs [][]byte) (uint64, error) {
	first, err := logcalls.Append(ctx, f.log, stream, recs)
	if err != nil || stream != resource.Stream {
		return first, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range recs {
		f.written[first+uint64(i)] = r
	}
	if f.loseLog > 0 {
		f.loseLog--
		return 0, fault.New(&class, "call", logservice.KindUnknown, nil)
	}
	return first, nil
}

// lateDelay is the delay of a late append.
const lateDelay = 25 * time.Second

// scheduleLate reports whether the append is to be late, and if so schedules it.
func (f *fleet) scheduleLate(stream string, recs [][]byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if stream != resource.Stream || f.late == 0 {
		return false
	}
	f.late--
	f.held.Go(func() {
		time.Sleep(lateDelay)
		_, _ = f.append(context.Background(), stream, recs) // the caller has timed out
	})
	return true
}

func (f *fleet) reads(domain, stream string) func(context.Context, uint64, time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	return func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
		ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
		defer cancel()
		if err := f.traverse(ctx, domain); err != nil {
			return nil, logservice.Bounds{}, err
		}
		recs, b, err := logcalls.Read(ctx, f.log, stream, from, wait)
		if err != nil {
			return nil, b, err
		}
		return recs, b, f.traverse(ctx, domain)
	}
}

// put returns a change that writes a deployment.
func put(id, name string, replaces uint64, model string) resource.Change {
	spec, err := json.Marshal(resource.DeploymentSpec{Model: model, ContextTokens: 1000})
	if err != nil {
		panic(err)
	}
	return resource.Change{ID: id, Op: resource.OpPut, Kind: resource.TypeDeployment, Name: name, Replaces: replaces, Spec: spec}
}

// withFleet runs a test on a fleet with one entry per listed failure domain.
func withFleet(t *testing.T, domains []string, test func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		defer f.close()
		for _, d := range domains {
			f.add(d)
		}
		time.Sleep(10 * time.Second) // let all entries start
		test(is.New(t), f)
	})
}

// allHave reports whether every entry has applied the offset.
func (f *fleet) allHave(offset uint64) bool {
	for _, e := range f.live() {
		if e.store.View().Offset() < offset {
			return false
		}
	}
	return true
}

// awaitOffset waits up to the limit until every entry has applied the offset and returns
// the time it took.
func (f *fleet) awaitOffset(offset uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for !f.allHave(offset) && time.Since(start) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// agree returns an error if two entries at the same offset have different states.
func (f *fleet) agree() error {
	states := map[uint64][]byte{}
	for _, e := range f.live() {
		p, err := e.store.Encoded(0)
		if err != nil {
			return err
		}
		if other, ok := states[p.Offset]; ok && !bytes.Equal(other, p.State) {
			return fmt.Errorf("%s has another state at offset %d", e.vm, p.Offset)
		}
		states[p.Offset] = p.State
	}
	return nil
}
