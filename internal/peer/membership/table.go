package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
)

const (
	// goneAfter is how long an entry is suspect before it counts as gone.
	goneAfter = 5 * time.Second
	// settleAfter is how long an entry is live before it owns anything.
	settleAfter = 5 * time.Second
	// leaveServes is how long a leaving entry may still take new work.
	leaveServes = 5 * time.Second
	// forgetAfter is how long a record of a gone entry or upstream is kept.
	forgetAfter = 10 * time.Minute

	upstreamPrefix = "upstream/" // of the keys of upstreams
)

// State is what an entry knows of another one.
type State string

// The states of an entry. A leaving one gets no new work, a suspect one can't be
// reached, a gone one left, was replaced or has been suspect for some seconds.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

var states = map[memberwire.State]State{
	memberwire.State_LIVE:    StateLive,
	memberwire.State_SUSPECT: StateSuspect,
	memberwire.State_LEAVING: StateLeaving,
	memberwire.State_GONE:    StateGone,
}

// table holds the records of the failure domain and the rules that change them.
// It is pure: the clock is a function, and its caller serializes the calls.
type table struct {
	now        func() time.Time
	self       *memberwire.Peer
	feed       *feed[*memberwire.Peer]
	since      map[string]time.Time // when the record's state became known
	joined     map[string]time.Time // since when an entry is live but for short suspicions
	superseded bool                 // a newer incarnation of this VM exists

	gen    uint64 // of the feed that the lists below are of
	listed []*memberwire.Peer
	alive  []string
}

func newTable(now func() time.Time, self *memberwire.Peer) *table {
	t := &table{now: now, self: self, feed: newFeed[*memberwire.Peer](), since: map[string]time.Time{}, joined: map[string]time.Time{}}
	t.put(self, self.GetName())
	return t
}

func key(p *memberwire.Peer) string {
	if p.GetUpstream() {
		return upstreamPrefix + p.GetName()
	}
	return p.GetName()
}

// newer orders the records of one key.
func newer(a, b *memberwire.Peer) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSeq(), b.GetSeq()),
		cmp.Compare(a.GetState(), b.GetState()),
	) > 0
}

func (t *table) put(p *memberwire.Peer, from string) {
	k := key(p)
	old, known := t.feed.get(k)
	if !known || old.GetIncarnation() != p.GetIncarnation() || t.gone(old) {
		t.joined[k] = t.now()
	}
	if !known || old.GetState() != p.GetState() || old.GetIncarnation() != p.GetIncarnation() {
		t.since[k] = t.now()
	}
	t.feed.put(k, p, from, t.now())
}

// merge takes in a record that the VM told and reports whether it was news.
func (t *table) merge(p *memberwire.Peer, from string) bool {
	if !p.GetUpstream() && p.GetName() == t.self.GetName() {
		return t.refute(p)
	}
	old, known := t.feed.get(key(p))
	if known && !newer(p, old) {
		return false
	}
	t.put(p, from)
	return true
}

// refute answers a record about this entry that is not what it says of itself.
func (t *table) refute(p *memberwire.Peer) bool {
	switch {
	case p.GetIncarnation() > t.self.GetIncarnation():
		t.superseded = true
		return false
	case !newer(p, t.self):
		return false
	}
	t.tell(t.self.GetState(), max(p.GetSeq(), t.self.GetSeq())+1)
	return true
}

// tell changes what this entry says of itself.
func (t *table) tell(state memberwire.State, seq uint32) {
	t.self = &memberwire.Peer{
		Name: t.self.GetName(), Address: t.self.GetAddress(), Incarnation: t.self.GetIncarnation(),
		Seq: seq, State: state,
	}
	t.put(t.self, t.self.GetName())
}

// set changes the state of a record and reports whether that was news. A record
// that becomes live again gets a higher sequence number: only the entry itself, or
// the owner of an upstream, may do that.
func (t *table) set(k string, state memberwire.State) bool {
	old, known := t.feed.get(k)
	if !known || old.GetState() == state {
		return false
	}
	p := &memberwire.Peer{
		Name: old.GetName(), Address: old.GetAddress(), Incarnation: old.GetIncarnation(),
		Seq: old.GetSeq(), State: state, Upstream: old.GetUpstream(),
	}
	if !newer(p, old) {
		p.Seq++
	}
	t.put(p, t.self.GetName())
	return true
}

// unreachable records that several probes of an entry failed.
func (t *table) unreachable(vm string, incarnation uint64) bool {
	p, ok := t.feed.get(vm)
	if !ok || p.GetIncarnation() != incarnation {
		return false
	}
	switch p.GetState() {
	case memberwire.State_LIVE:
		return t.set(vm, memberwire.State_SUSPECT)
	case memberwire.State_LEAVING:
		return t.set(vm, memberwire.State_GONE) // it left without a word
	default:
		return false
	}
}

// replaced records that another VM answers at the entry's address.
func (t *table) replaced(vm string, incarnation uint64) bool {
	p, ok := t.feed.get(vm)
	return ok && p.GetIncarnation() == incarnation && t.set(vm, memberwire.State_GONE)
}

// state returns the state of a record, and since when it has it.
func (t *table) state(p *memberwire.Peer) (State, time.Time) {
	since := t.since[key(p)]
	if p.GetState() == memberwire.State_SUSPECT && !p.GetUpstream() && t.now().Sub(since) >= goneAfter {
		return StateGone, since.Add(goneAfter)
	}
	return states[p.GetState()], since
}

func (t *table) gone(p *memberwire.Peer) bool {
	state, _ := t.state(p)
	return state == StateGone
}

// entries returns the records of entries by name. They are not to be changed.
func (t *table) entries() []*memberwire.Peer {
	if t.gen == t.feed.gen {
		return t.listed
	}
	t.gen, t.alive = t.feed.gen, nil
	t.listed = t.records(func(p *memberwire.Peer) bool { return !p.GetUpstream() })
	for _, p := range t.listed {
		if p.GetState() == memberwire.State_LIVE {
			t.alive = append(t.alive, p.GetName())
		}
	}
	return t.listed
}

// upstreams returns the records of upstreams that are not simply live, by name.
func (t *table) upstreams() []*memberwire.Peer {
	return t.records(func(p *memberwire.Peer) bool { return p.GetUpstream() && p.GetState() != memberwire.State_LIVE })
}

func (t *table) records(wanted func(*memberwire.Peer) bool) []*memberwire.Peer {
	var out []*memberwire.Peer
	for _, k := range slices.Sorted(maps.Keys(t.feed.items)) {
		if p := t.feed.items[k].val; wanted(p) {
			out = append(out, p)
		}
	}
	return out
}

// live returns the names of the entries that are live, in order. They are not to
// be changed.
func (t *table) live() []string {
	t.entries()
	return t.alive
}

// settled returns the names of the entries that own duties. A newcomer owns after
// a while and an entry that can't be reached for a moment still owns, so that a
// flap moves nothing. Where nobody is settled yet all live ones are.
func (t *table) settled() []string {
	var out []string
	for _, p := range t.entries() {
		state, _ := t.state(p)
		if (state == StateLive || state == StateSuspect) && t.now().Sub(t.joined[p.GetName()]) >= settleAfter {
			out = append(out, p.GetName())
		}
	}
	if len(out) == 0 {
		return t.live()
	}
	return out
}

// outOfReach returns how many entries may be serving besides the live ones: those
// that became unreachable without a sign that they ended, and those that have just
// said that they leave.
func (t *table) outOfReach() int {
	n := 0
	for _, p := range t.entries() {
		fresh := t.now().Sub(t.since[p.GetName()]) < leaveServes
		if p.GetState() == memberwire.State_SUSPECT || p.GetState() == memberwire.State_LEAVING && fresh {
			n++
		}
	}
	return n
}

// forget drops the records of what has been gone for long.
func (t *table) forget() {
	t.feed.drop(func(it *item[*memberwire.Peer]) bool {
		state, since := t.state(it.val)
		gone := state == StateGone || it.val.GetUpstream() && state != StateLive
		old := gone && t.now().Sub(since) >= forgetAfter && it.key != t.self.GetName()
		if old {
			delete(t.since, it.key)
			delete(t.joined, it.key)
		}
		return old
	})
}
