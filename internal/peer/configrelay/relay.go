// Package configrelay relays the configuration log between entries. An entry that
// can't reach the log, or that leaves reading it to others of its failure domain,
// follows and changes the configuration through other entries.
package configrelay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	// ReadersPerDomain is the number of entries per failure domain that read the log directly.
	// The others read from them and use the log only as a fallback.
	ReadersPerDomain = 2

	// hedgeDelay is the time beyond a read's wait after which the read is hedged by the
	// other route.
	hedgeDelay = 500 * time.Millisecond
	// probeInterval is the interval between probes of a log that could not be reached.
	probeInterval = 2 * time.Second
	// DirectAppendRetry is how long an entry retries a direct append before it uses other entries.
	DirectAppendRetry = 500 * time.Millisecond
	// avoidDuration is how long an entry that failed to respond is ranked behind the others.
	avoidDuration = 5 * time.Second

	stateTimeout  = 3 * time.Second
	appendTimeout = 4 * time.Second
	appendPeers   = 3 // entries tried to append a record
	readPeers     = 2 // entries tried in one read
	statePeers    = 3 // entries queried for their state concurrently
	maxHops       = 8
	// maxAge is the age from which on a response without records is rejected and
	// another entry is tried. Without it, entries that read from each other in a cycle
	// would never learn of new records.
	maxAge = 8 * time.Second
)

// Peer describes another entry.
type Peer struct {
	VM         string
	Address    string // host:port for calls between entries
	SameDomain bool   // in this entry's failure domain
}

// Seams are the relay's dependencies: access to the log and to other entries.
type Seams struct {
	Read   func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)
	Append func(ctx context.Context, record []byte) (uint64, error)
	Peers  func() []Peer
	// Rank returns the rank of this entry among those of its failure domain and their
	// number. If nil, the rank is 0.
	Rank func() (rank, of int)
	// Do sends a request to another entry, as link.Do does.
	Do func(*http.Request) (*http.Response, error)
}

// Relay reads and appends records directly or through other entries, whichever works.
// It is safe for concurrent use.
type Relay struct {
	seams  Seams
	ctx    context.Context // canceled by Close
	stop   context.CancelFunc
	probes sync.WaitGroup

	mu      sync.Mutex
	known   map[string]*peer
	suspect bool // the last direct call failed or timed out
	probing bool
	hops    int       // entries between this one and the log, for the last read
	endAsOf time.Time // when the known end of the log was current
	state   State
}

// peer is the client and the routing state of another entry.
type peer struct {
	client     configwire.ConfigRelay
	hops       uint32
	avoidUntil time.Time // until then it is ranked behind the others
}

// State is the state of the relay in the state dump.
type State struct {
	LogReachable bool   `json:"logReachable"` // according to the last direct call
	Source       string `json:"source"`       // of the last read: "log" or the name of a VM
	Hops         int    `json:"hops"`         // entries between this one and the log
	ViaPeers     uint64 `json:"viaPeers"`     // reads and appends through other entries
}

// New returns a Relay. The caller must Close it.
func New(seams Seams) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		seams: seams, ctx: ctx, stop: cancel, known: map[string]*peer{},
		state: State{LogReachable: true, Source: sourceLog},
	}
}

// Close stops the background probe and waits for it. No other method may be called
// afterwards.
func (r *Relay) Close() {
	r.stop()
	r.probes.Wait()
}

const sourceLog = "log"

// State returns the relay's current state.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state
	st.LogReachable, st.Hops = !r.suspect, r.hops
	return st
}

// Source returns the number of entries between this one and the log, and the age of
// the known end of the log. The age is maxAge if nothing has been read.
func (r *Relay) Source() (hops int, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endAsOf.IsZero() {
		return r.hops, maxAge
	}
	return r.hops, time.Since(r.endAsOf)
}

// readResult is the result of a read by one route.
type readResult struct {
	recs   []logservice.Record
	bounds logservice.Bounds
	err    error
	source string
	hops   int
	age    time.Duration
}

// Read reads records of the configuration stream from the log or from other entries,
// hedged by the other route if the first one fails or is slow.
func (r *Relay) Read(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	routes := []func() readResult{
		func() readResult { return r.readDirect(ctx, from, wait) },
		func() readResult { return r.readViaPeers(ctx, from, wait) },
	}
	if r.peersFirst() {
		slices.Reverse(routes)
		r.probe()
	}
	a := hedge(routes, wait+hedgeDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.err == nil {
		r.state.Source, r.hops = a.source, a.hops
		if t := time.Now().Add(-a.age); t.After(r.endAsOf) {
			r.endAsOf = t
		}
		if a.source != sourceLog {
			r.state.ViaPeers++
		}
	}
	return a.recs, a.bounds, a.err
}

// hedge runs the first read and starts the second one when the first fails or takes
// longer than after. It returns the first success. If both fail it returns the error
// of the log, which shows whether the log has trimmed the records.
func hedge(routes []func() readResult, after time.Duration) readResult {
	ch := make(chan readResult, len(routes))
	run := func(i int) { go func() { ch <- routes[i]() }() }
	run(0)
	timer := time.NewTimer(after)
	defer timer.Stop()
	started, ended := 1, 0
	var failed readResult
	for ended < len(routes) {
		select {
		case a := <-ch:
			ended++
			if a.err == nil {
				return a
			}
			if failed.err == nil || a.source == sourceLog {
				failed = a
			}
		case <-timer.C:
		}
		if started < len(routes) {
			run(started)
			started++
		}
	}
	return failed
}

func (r *Relay) readDirect(ctx context.Context, from uint64, wait time.Duration) readResult {
	late := time.AfterFunc(wait+hedgeDelay, func() { r.setSuspect(true) })
	recs, b, err := r.seams.Read(ctx, from, wait)
	switch inTime := late.Stop(); {
	case err == nil, fault.Is(err, logservice.KindGone):
		r.setSuspect(false)
	case inTime && ctx.Err() == nil:
		r.setSuspect(true)
	}
	return readResult{recs: recs, bounds: b, err: err, source: sourceLog}
}

func (r *Relay) setSuspect(suspect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspect = suspect
}

// peersFirst reports whether a read tries other entries before the log.
func (r *Relay) peersFirst() bool {
	if len(r.seams.Peers()) == 0 {
		return false
	}
	rank := 0
	if r.seams.Rank != nil {
		rank, _ = r.seams.Rank()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspect || rank >= ReadersPerDomain
}

// probe starts a background check of whether a suspect log responds again, unless one
// is running.
func (r *Relay) probe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.suspect || r.probing {
		return
	}
	r.probing = true
	r.probes.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, probeInterval)
		defer cancel()
		_, _, err := r.seams.Read(ctx, offsetPastEnd, 0)
		r.setSuspect(err != nil)
		<-ctx.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.probing = false
	})
}

// offsetPastEnd is past the end of any stream, so a read at it returns only the bounds.
const offsetPastEnd = 1 << 62

// readViaPeers reads from other entries in the order of selectPeers until one succeeds.
func (r *Relay) readViaPeers(ctx context.Context, from uint64, wait time.Duration) readResult {
	last := readResult{err: fail("read", KindNoPeer, nil)}
	for _, p := range r.selectPeers(readPeers, r.State().LogReachable) {
		a := r.readPeer(ctx, p, from, wait)
		if a.err == nil {
			return a
		}
		if !fault.Is(last.err, logservice.KindGone) {
			last = a
		}
	}
	return last
}

func (r *Relay) readPeer(ctx context.Context, p Peer, from uint64, wait time.Duration) readResult {
	call, cancel := context.WithTimeout(ctx, wait+stateTimeout)
	defer cancel()
	res, err := r.client(p).Read(call, &configwire.ReadRequest{From: from, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		if ctx.Err() == nil {
			r.markAvoided(p)
		}
		return readResult{err: fail("read", KindNoPeer, err), source: p.VM}
	}
	r.setHops(p, res.Hops)
	a := readResult{source: p.VM, hops: int(res.Hops) + 1, age: time.Duration(res.AgeMs) * time.Millisecond, bounds: logservice.Bounds{Epoch: res.Epoch, Earliest: res.Earliest, Next: res.Next}}
	for _, rec := range res.Records {
		a.recs = append(a.recs, logservice.Record{Offset: rec.Offset, Time: time.Unix(0, rec.TimeUnixNs).UTC(), Data: rec.Data})
	}
	switch {
	case res.Gone:
		a.err = fault.New(&class, "read", logservice.KindGone, nil)
	case len(a.recs) == 0 && (a.age >= maxAge || a.hops >= maxHops || res.Next < from):
		r.markAvoided(p)
		a.err = fail("read", KindBehind, nil)
	}
	return a
}

func (r *Relay) client(p Peer) configwire.ConfigRelay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer(p).client
}

// peer returns the routing state of an entry and creates it if needed. r.mu must be held.
func (r *Relay) peer(p Peer) *peer {
	k := r.known[p.Address]
	if k == nil {
		k = &peer{client: configwire.NewConfigRelayProtobufClient("http://"+p.Address, httpDoer(r.seams.Do))}
		r.known[p.Address] = k
	}
	return k
}

// httpDoer adapts a function to the HTTP client interface of twirp's generated clients.
type httpDoer func(*http.Request) (*http.Response, error)

// Do sends the request.
func (d httpDoer) Do(req *http.Request) (*http.Response, error) { return d(req) }

func (r *Relay) setHops(p Peer, hops uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(p).hops = hops
}

func (r *Relay) markAvoided(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(p).avoidUntil = time.Now().Add(avoidDuration)
}

// selectPeers returns up to n entries by rank: entries that respond, that have few hops to
// the log, and that are in this entry's failure domain come first. If sameDomain is false,
// entries of other domains are preferred instead: a fault that makes the log
// unreachable for this entry probably does so for its whole domain.
func (r *Relay) selectPeers(n int, sameDomain bool) []Peer {
	peers := slices.Clone(r.seams.Peers())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pruneKnown(peers)
	now := time.Now()
	weight := func(p Peer) int {
		k := r.peer(p)
		w := int(k.hops) * 2
		if p.SameDomain != sameDomain {
			w++
		}
		if now.Before(k.avoidUntil) {
			w += 100 * maxHops
		}
		return w
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return peers[:min(n, len(peers))]
}

// pruneKnown removes the routing state of entries that are no longer members. It does
// nothing until there are more than twice as many states as members. r.mu must be held.
func (r *Relay) pruneKnown(peers []Peer) {
	if len(r.known) <= 2*len(peers) {
		return
	}
	live := map[string]*peer{}
	for _, p := range peers {
		if k := r.known[p.Address]; k != nil {
			live[p.Address] = k
		}
	}
	r.known = live
}

// PeerState queries some entries concurrently and returns the newest state that is
// beyond the offset, or an error of KindNoPeer.
func (r *Relay) PeerState(ctx context.Context, beyond uint64) (config.PeerState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	peers := r.selectPeers(statePeers, true)
	ch := make(chan config.PeerState, len(peers))
	for _, p := range peers {
		go func() { ch <- r.fetchState(ctx, p, beyond) }()
	}
	var best config.PeerState
	for range peers {
		if s := <-ch; len(s.State) > 0 && s.Offset > beyond && s.Offset > best.Offset {
			best = s
		}
	}
	if best.Offset == 0 {
		return best, fail("state", KindNoPeer, nil)
	}
	return best, nil
}

func (r *Relay) fetchState(ctx context.Context, p Peer, beyond uint64) config.PeerState {
	res, err := r.client(p).State(ctx, &configwire.StateRequest{Beyond: beyond})
	if err != nil {
		r.markAvoided(p)
		return config.PeerState{}
	}
	return config.PeerState{Epoch: res.Epoch, Offset: res.Offset, State: res.State}
}

// Append appends a record to the log or, if that can't be reached, through other
// entries. A record that may have been appended by one route can safely be sent by
// another, since it carries a change ID by which the duplicate is dropped on replay. The
// outcome then stays unknown unless a route confirms the append.
func (r *Relay) Append(ctx context.Context, record []byte) (uint64, error) {
	routes := []func(context.Context, []byte) (uint64, error){r.appendDirect, r.appendViaPeers}
	if r.State().LogReachable {
		return appendByRoutes(ctx, record, routes)
	}
	slices.Reverse(routes)
	r.probe()
	return appendByRoutes(ctx, record, routes)
}

func appendByRoutes(ctx context.Context, record []byte, routes []func(context.Context, []byte) (uint64, error)) (uint64, error) {
	var unknown, last error
	for _, route := range routes {
		offset, err := route(ctx, record)
		if err == nil {
			return offset, nil
		}
		if !logservice.NoEffect(err) {
			unknown = err
		}
		if fault.Is(err, logservice.KindRateLimited) {
			last = err
			break // other routes lead to the same rate-limited log
		}
		if last == nil || !fault.Is(err, KindNoPeer) {
			last = err
		}
	}
	if unknown != nil {
		return 0, unknown
	}
	return 0, last
}

func (r *Relay) appendDirect(ctx context.Context, record []byte) (uint64, error) {
	offset, err := r.seams.Append(ctx, record)
	if err != nil && !fault.Is(err, logservice.KindRateLimited) {
		r.setSuspect(true)
	}
	return offset, err
}

func (r *Relay) appendViaPeers(ctx context.Context, record []byte) (uint64, error) {
	routes := []func(context.Context, []byte) (uint64, error){}
	for _, p := range r.selectPeers(appendPeers, false) {
		routes = append(routes, func(ctx context.Context, rec []byte) (uint64, error) { return r.appendPeer(ctx, p, rec) })
	}
	if len(routes) == 0 {
		return 0, noEffect(fail("append", KindNoPeer, nil))
	}
	return appendByRoutes(ctx, record, routes)
}

func noEffect(err error) error { return fault.New(&class, "append", logservice.KindUnavailable, err) }

func (r *Relay) appendPeer(ctx context.Context, p Peer, record []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := r.client(p).Append(ctx, &configwire.AppendRequest{Record: record})
	if err != nil {
		r.markAvoided(p)
		if notSent(err) {
			return 0, noEffect(err)
		}
		return 0, fault.New(&class, "append", logservice.KindUnknown, err)
	}
	switch res.Result {
	case configwire.AppendAnswer_APPENDED:
		r.mu.Lock()
		r.state.ViaPeers++
		r.mu.Unlock()
		return res.Offset, nil
	case configwire.AppendAnswer_NO_EFFECT:
		r.markAvoided(p)
		return 0, noEffect(errors.New(res.Reason))
	case configwire.AppendAnswer_RATE_LIMITED:
		return 0, fault.New(&class, "append", logservice.KindRateLimited, errors.New(res.Reason))
	default:
		return 0, fault.New(&class, "append", logservice.KindUnknown, errors.New(res.Reason))
	}
}

// notSent reports whether the call failed to connect, before anything was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
