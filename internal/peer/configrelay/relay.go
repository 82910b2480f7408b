// Package configrelay lets entries that can't reach the log, or are not to read it
// themselves, follow and change the configuration through other entries.
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
	// Readers is the number of entries of a failure domain that read the log
	// themselves; the others follow them, and read the log where they can't.
	Readers = 2

	// hedgeAfter is the time beyond a read's wait after which the other way is
	// tried beside the first.
	hedgeAfter = 500 * time.Millisecond
	// probeEvery is how often a log that could not be read is tried again.
	probeEvery = 2 * time.Second
	// RetryFor is how long an entry tries to append a change itself before others do.
	RetryFor = 500 * time.Millisecond
	// avoidFor is how long an entry that gave no answer is asked after the others.
	avoidFor = 5 * time.Second

	stateTimeout  = 3 * time.Second
	appendTimeout = 4 * time.Second
	appendPeers   = 3 // entries asked to append a record
	readPeers     = 2 // entries asked in one read
	statePeers    = 3 // entries asked for their state at once
	maxHops       = 8
	// maxAge is the age of an answer without records from which on another entry is
	// asked: entries that follow each other in a circle learn nothing new.
	maxAge = 8 * time.Second
)

// Peer is another entry.
type Peer struct {
	VM      string
	Address string // host:port for calls between entries
	Own     bool   // of this entry's failure domain
}

// Seams are the relay's ways to the log and to other entries.
type Seams struct {
	Read   func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)
	Append func(ctx context.Context, record []byte) (uint64, error)
	Peers  func() []Peer
	// Rank returns the place of this entry among those of its failure domain.
	Rank func() (rank, of int)
	// Do carries a call, as link.Do does.
	Do func(*http.Request) (*http.Response, error)
}

// Relay reads and appends by the way that works. Its methods may be called from
// any goroutine.
type Relay struct {
	seams  Seams
	ctx    context.Context // ends with the relay
	stop   context.CancelFunc
	probes sync.WaitGroup

	mu      sync.Mutex
	known   map[string]*peer
	suspect bool // the last direct call failed or gave no answer in time
	probing bool
	hops    int       // of the source of the last read
	contact time.Time // when the log itself told what is known of its end
	state   State
}

// peer is what is known of another entry.
type peer struct {
	client  configwire.ConfigRelay
	hops    uint32
	avoided time.Time // until then it is asked after the others
}

// State is the relay's part of the state dump.
type State struct {
	LogReachable bool   `json:"logReachable"` // as far as the last call tells
	Source       string `json:"source"`       // of the last records: log or the name of a VM
	Hops         int    `json:"hops"`         // entries between this one and the log
	ViaPeers     uint64 `json:"viaPeers"`     // reads and appends that other entries did
}

// New returns a relay. Close ends what it does in the background.
func New(seams Seams) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{
		seams: seams, ctx: ctx, stop: cancel, known: map[string]*peer{},
		state: State{LogReachable: true, Source: sourceLog},
	}
}

// Close ends what the relay does in the background. No call may follow.
func (r *Relay) Close() {
	r.stop()
	r.probes.Wait()
}

const sourceLog = "log"

// State returns the relay's state.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.state
	st.LogReachable, st.Hops = !r.suspect, r.hops
	return st
}

// Source returns the number of entries between this one and the log, and the time
// since the log itself told what is known of its end.
func (r *Relay) Source() (hops int, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.contact.IsZero() {
		return r.hops, maxAge
	}
	return r.hops, time.Since(r.contact)
}

// answer is what one way of reading gave.
type answer struct {
	recs   []logservice.Record
	bounds logservice.Bounds
	err    error
	source string
	hops   int
	age    time.Duration
}

// Read reads records of the configuration's stream from the log or, where that
// can't be reached, from another entry.
func (r *Relay) Read(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ways := []func() answer{
		func() answer { return r.direct(ctx, from, wait) },
		func() answer { return r.viaPeers(ctx, from, wait) },
	}
	if r.peersFirst() {
		slices.Reverse(ways)
		r.probe()
	}
	a := hedge(ways, wait+hedgeAfter)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.err == nil {
		r.state.Source, r.hops = a.source, a.hops
		if t := time.Now().Add(-a.age); t.After(r.contact) {
			r.contact = t
		}
		if a.source != sourceLog {
			r.state.ViaPeers++
		}
	}
	return a.recs, a.bounds, a.err
}

// hedge takes the first success. The second way is tried when the first failed or
// was silent for the time. Where both fail the error of the log is the answer,
// and records that are gone there count before any other.
func hedge(ways []func() answer, after time.Duration) answer {
	ch := make(chan answer, len(ways))
	run := func(i int) { go func() { ch <- ways[i]() }() }
	run(0)
	timer := time.NewTimer(after)
	defer timer.Stop()
	started, ended := 1, 0
	var failed answer
	for ended < len(ways) {
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
		if started < len(ways) {
			run(started)
			started++
		}
	}
	return failed
}

func (r *Relay) direct(ctx context.Context, from uint64, wait time.Duration) answer {
	late := time.AfterFunc(wait+hedgeAfter, func() { r.note(true) })
	recs, b, err := r.seams.Read(ctx, from, wait)
	switch inTime := late.Stop(); {
	case err == nil, fault.Is(err, logservice.KindGone):
		r.note(false)
	case inTime && ctx.Err() == nil:
		r.note(true)
	}
	return answer{recs: recs, bounds: b, err: err, source: sourceLog}
}

func (r *Relay) note(suspect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspect = suspect
}

// peersFirst reports whether other entries are asked before the log.
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
	return r.suspect || rank >= Readers
}

// probe looks in the background whether a suspected log answers again.
func (r *Relay) probe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.suspect || r.probing {
		return
	}
	r.probing = true
	r.probes.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, probeEvery)
		defer cancel()
		_, _, err := r.seams.Read(ctx, farOffset, 0)
		r.note(err != nil)
		<-ctx.Done()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.probing = false
	})
}

// farOffset is past the end of any stream: a read from it returns the bounds alone.
const farOffset = 1 << 62

// viaPeers asks entries for records, the most promising first.
func (r *Relay) viaPeers(ctx context.Context, from uint64, wait time.Duration) answer {
	last := answer{err: fail("read", KindNoPeer, nil)}
	for _, p := range r.choose(readPeers, r.State().LogReachable) {
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

func (r *Relay) readPeer(ctx context.Context, p Peer, from uint64, wait time.Duration) answer {
	call, cancel := context.WithTimeout(ctx, wait+stateTimeout)
	defer cancel()
	res, err := r.client(p).Read(call, &configwire.ReadRequest{From: from, WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		if ctx.Err() == nil {
			r.avoid(p)
		}
		return answer{err: fail("read", KindNoPeer, err), source: p.VM}
	}
	r.learn(p, res.Hops)
	a := answer{source: p.VM, hops: int(res.Hops) + 1, age: time.Duration(res.AgeMs) * time.Millisecond, bounds: logservice.Bounds{Epoch: res.Epoch, Earliest: res.Earliest, Next: res.Next}}
	for _, rec := range res.Records {
		a.recs = append(a.recs, logservice.Record{Offset: rec.Offset, Time: time.Unix(0, rec.TimeUnixNs).UTC(), Data: rec.Data})
	}
	switch {
	case res.Gone:
		a.err = fault.New(&class, "read", logservice.KindGone, nil)
	case len(a.recs) == 0 && (a.age >= maxAge || a.hops >= maxHops || res.Next < from):
		r.avoid(p)
		a.err = fail("read", KindBehind, nil)
	}
	return a
}

func (r *Relay) client(p Peer) configwire.ConfigRelay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer(p).client
}

// peer returns what is known of an entry. r.mu is held.
func (r *Relay) peer(p Peer) *peer {
	k := r.known[p.Address]
	if k == nil {
		k = &peer{client: configwire.NewConfigRelayProtobufClient("http://"+p.Address, doer(r.seams.Do))}
		r.known[p.Address] = k
	}
	return k
}

// doer makes a function the HTTP client of twirp's generated clients.
type doer func(*http.Request) (*http.Response, error)

// Do carries a call.
func (d doer) Do(req *http.Request) (*http.Response, error) { return d(req) }

func (r *Relay) learn(p Peer, hops uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(p).hops = hops
}

func (r *Relay) avoid(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peer(p).avoided = time.Now().Add(avoidFor)
}

// choose returns up to n entries: those that answer, are near to the log, and are
// of the own failure domain come first, or of another one where this entry can't
// reach the log: what cut it off has likely cut off its neighbours too.
func (r *Relay) choose(n int, own bool) []Peer {
	peers := slices.Clone(r.seams.Peers())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(peers)
	now := time.Now()
	weight := func(p Peer) int {
		k := r.peer(p)
		w := int(k.hops) * 2
		if p.Own != own {
			w++
		}
		if now.Before(k.avoided) {
			w += 100 * maxHops
		}
		return w
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return peers[:min(n, len(peers))]
}

// forget drops what is known of entries that are gone. r.mu is held.
func (r *Relay) forget(peers []Peer) {
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

// PeerState returns the newest state of some other entries, beyond the offset.
func (r *Relay) PeerState(ctx context.Context, beyond uint64) (config.PeerState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	peers := r.choose(statePeers, true)
	ch := make(chan config.PeerState, len(peers))
	for _, p := range peers {
		go func() { ch <- r.stateOf(ctx, p, beyond) }()
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

func (r *Relay) stateOf(ctx context.Context, p Peer, beyond uint64) config.PeerState {
	res, err := r.client(p).State(ctx, &configwire.StateRequest{Beyond: beyond})
	if err != nil {
		r.avoid(p)
		return config.PeerState{}
	}
	return config.PeerState{Epoch: res.Epoch, Offset: res.Offset, State: res.State}
}

// Append appends a record to the log or, where that can't be reached, through
// other entries. A record carries a change id, so that the fold takes one of two
// copies: what may have taken effect by one way may be tried by another, and the
// answer stays unknown unless a way says that it was appended.
func (r *Relay) Append(ctx context.Context, record []byte) (uint64, error) {
	ways := []func(context.Context, []byte) (uint64, error){r.appendDirect, r.appendViaPeers}
	if r.State().LogReachable {
		return appendBy(ctx, record, ways)
	}
	slices.Reverse(ways)
	r.probe()
	return appendBy(ctx, record, ways)
}

func appendBy(ctx context.Context, record []byte, ways []func(context.Context, []byte) (uint64, error)) (uint64, error) {
	var unknown, last error
	for _, way := range ways {
		offset, err := way(ctx, record)
		if err == nil {
			return offset, nil
		}
		if !logservice.NoEffect(err) {
			unknown = err
		}
		if fault.Is(err, logservice.KindRateLimited) {
			last = err
			break // another way leads to the same log
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
		r.note(true)
	}
	return offset, err
}

func (r *Relay) appendViaPeers(ctx context.Context, record []byte) (uint64, error) {
	ways := []func(context.Context, []byte) (uint64, error){}
	for _, p := range r.choose(appendPeers, false) {
		ways = append(ways, func(ctx context.Context, rec []byte) (uint64, error) { return r.appendPeer(ctx, p, rec) })
	}
	if len(ways) == 0 {
		return 0, noEffect(fail("append", KindNoPeer, nil))
	}
	return appendBy(ctx, record, ways)
}

func noEffect(err error) error { return fault.New(&class, "append", logservice.KindUnavailable, err) }

func (r *Relay) appendPeer(ctx context.Context, p Peer, record []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	res, err := r.client(p).Append(ctx, &configwire.AppendRequest{Record: record})
	if err != nil {
		r.avoid(p)
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
		r.avoid(p)
		return 0, noEffect(errors.New(res.Reason))
	case configwire.AppendAnswer_RATE_LIMITED:
		return 0, fault.New(&class, "append", logservice.KindRateLimited, errors.New(res.Reason))
	default:
		return 0, fault.New(&class, "append", logservice.KindUnknown, errors.New(res.Reason))
	}
}

// notSent reports whether a call failed before a byte of it was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
