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
	// settleAfter is how long an entry must be live before it owns upstreams.
	settleAfter = 5 * time.Second
	// leaveGrace is how long after its announcement a leaving entry may still take
	// new work.
	leaveGrace = 5 * time.Second
	// recordTTL is how long the record of a gone entry or upstream is kept.
	recordTTL = 10 * time.Minute

	upstreamPrefix = "upstream/" // prefix of the record keys of upstreams
)

// State is the state of an entry or upstream as seen by this entry.
type State string

// The states of an entry. A suspect entry is unreachable, a leaving one gets no new
// work, and a gone one has left, was replaced or has been suspect for goneAfter.
const (
	StateLive    State = "live"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

var stateFromProto = map[memberwire.State]State{
	memberwire.State_LIVE:    StateLive,
	memberwire.State_SUSPECT: StateSuspect,
	memberwire.State_LEAVING: StateLeaving,
	memberwire.State_GONE:    StateGone,
}

// table holds the state records of the failure domain's entries and upstreams. It
// does no I/O and no locking: the clock is passed in and callers serialize access.
type table struct {
	now        func() time.Time
	self       *memberwire.Peer
	feed       *feed[*memberwire.Peer]
	since      map[string]time.Time // time of the last state change, by record key
	liveSince  map[string]time.Time // start of the time live, not reset by short suspicions
	superseded bool                 // a newer incarnation of this VM exists

	listsGen  uint64 // generation of the feed for which the lists below were built
	entryList []*memberwire.Peer
	liveNames []string
}

func newTable(now func() time.Time, self *memberwire.Peer) *table {
	t := &table{now: now, self: self, feed: newFeed[*memberwire.Peer](), since: map[string]time.Time{}, liveSince: map[string]time.Time{}}
	t.put(self, self.GetName())
	return t
}

// recordKey returns the feed key of a record.
func recordKey(p *memberwire.Peer) string {
	if p.GetUpstream() {
		return upstreamPrefix + p.GetName()
	}
	return p.GetName()
}

// newer reports whether a replaces b, a record with the same key: by incarnation,
// then sequence number, then state.
func newer(a, b *memberwire.Peer) bool {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetSeq(), b.GetSeq()),
		cmp.Compare(a.GetState(), b.GetState()),
	) > 0
}

// put stores a record and updates the times of its state.
func (t *table) put(p *memberwire.Peer, source string) {
	k := recordKey(p)
	old, known := t.feed.get(k)
	if !known || old.GetIncarnation() != p.GetIncarnation() || t.gone(old) {
		t.liveSince[k] = t.now()
	}
	if !known || old.GetState() != p.GetState() || old.GetIncarnation() != p.GetIncarnation() {
		t.since[k] = t.now()
	}
	t.feed.put(k, p, source, t.now())
}

// merge stores a record received from the VM source if it is newer than the known
// one. It reports whether anything changed.
func (t *table) merge(p *memberwire.Peer, source string) bool {
	if !p.GetUpstream() && p.GetName() == t.self.GetName() {
		return t.refute(p)
	}
	old, known := t.feed.get(recordKey(p))
	if known && !newer(p, old) {
		return false
	}
	t.put(p, source)
	return true
}

// refute overrides a newer record about this entry with a higher sequence number. A
// record of a higher incarnation means that another process of this VM replaced it.
func (t *table) refute(p *memberwire.Peer) bool {
	switch {
	case p.GetIncarnation() > t.self.GetIncarnation():
		t.superseded = true
		return false
	case !newer(p, t.self):
		return false
	}
	t.setSelf(t.self.GetState(), max(p.GetSeq(), t.self.GetSeq())+1)
	return true
}

// setSelf replaces this entry's own record.
func (t *table) setSelf(state memberwire.State, seq uint32) {
	t.self = &memberwire.Peer{
		Name: t.self.GetName(), Address: t.self.GetAddress(), Incarnation: t.self.GetIncarnation(),
		Seq: seq, State: state,
	}
	t.put(t.self, t.self.GetName())
}

// setState changes the state of a record and reports whether it differed. A record
// that returns to a lower state, such as live, gets a higher sequence number: only
// the entry itself, or the owner of an upstream, may do that.
func (t *table) setState(k string, state memberwire.State) bool {
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

// markUnreachable records that all probes of an entry failed: a live entry becomes
// suspect and a leaving one gone. It reports whether the state changed.
func (t *table) markUnreachable(vm string, incarnation uint64) bool {
	p, ok := t.feed.get(vm)
	if !ok || p.GetIncarnation() != incarnation {
		return false
	}
	switch p.GetState() {
	case memberwire.State_LIVE:
		return t.setState(vm, memberwire.State_SUSPECT)
	case memberwire.State_LEAVING:
		return t.setState(vm, memberwire.State_GONE) // it stopped without announcing it
	default:
		return false
	}
}

// markReplaced records that another VM answers at the entry's address: the entry is
// gone. It reports whether the state changed.
func (t *table) markReplaced(vm string, incarnation uint64) bool {
	p, ok := t.feed.get(vm)
	return ok && p.GetIncarnation() == incarnation && t.setState(vm, memberwire.State_GONE)
}

// state returns the state of a record and the time when it began. An entry that has
// been suspect for goneAfter is gone.
func (t *table) state(p *memberwire.Peer) (State, time.Time) {
	since := t.since[recordKey(p)]
	if p.GetState() == memberwire.State_SUSPECT && !p.GetUpstream() && t.now().Sub(since) >= goneAfter {
		return StateGone, since.Add(goneAfter)
	}
	return stateFromProto[p.GetState()], since
}

func (t *table) gone(p *memberwire.Peer) bool {
	state, _ := t.state(p)
	return state == StateGone
}

// entries returns the records of entries, sorted by name. Callers must not modify
// the result.
func (t *table) entries() []*memberwire.Peer {
	if t.listsGen == t.feed.gen {
		return t.entryList
	}
	t.listsGen, t.liveNames = t.feed.gen, nil
	t.entryList = t.records(func(p *memberwire.Peer) bool { return !p.GetUpstream() })
	for _, p := range t.entryList {
		if p.GetState() == memberwire.State_LIVE {
			t.liveNames = append(t.liveNames, p.GetName())
		}
	}
	return t.entryList
}

// nonLiveUpstreams returns the records of upstreams that are not live, sorted by
// name.
func (t *table) nonLiveUpstreams() []*memberwire.Peer {
	return t.records(func(p *memberwire.Peer) bool { return p.GetUpstream() && p.GetState() != memberwire.State_LIVE })
}

// records returns the matching records, sorted by key.
func (t *table) records(match func(*memberwire.Peer) bool) []*memberwire.Peer {
	var out []*memberwire.Peer
	for _, k := range slices.Sorted(maps.Keys(t.feed.items)) {
		if p := t.feed.items[k].val; match(p) {
			out = append(out, p)
		}
	}
	return out
}

// live returns the sorted names of the live entries. Callers must not modify the
// result.
func (t *table) live() []string {
	t.entries()
	return t.liveNames
}

// settled returns the names of the entries that own upstreams: those that have been
// live or suspect for settleAfter. New entries own nothing yet and suspect ones keep
// what they own, so that a flapping entry doesn't move ownership. If no entry is
// settled yet, all live ones count.
func (t *table) settled() []string {
	var out []string
	for _, p := range t.entries() {
		state, _ := t.state(p)
		if (state == StateLive || state == StateSuspect) && t.now().Sub(t.liveSince[p.GetName()]) >= settleAfter {
			out = append(out, p.GetName())
		}
	}
	if len(out) == 0 {
		return t.live()
	}
	return out
}

// outOfReach returns how many entries besides the live ones may be serving: those
// that became unreachable without a sign that they stopped, and those that have
// announced within leaveGrace that they are leaving.
func (t *table) outOfReach() int {
	count := 0
	for _, p := range t.entries() {
		recent := t.now().Sub(t.since[p.GetName()]) < leaveGrace
		if p.GetState() == memberwire.State_SUSPECT || p.GetState() == memberwire.State_LEAVING && recent {
			count++
		}
	}
	return count
}

// evictExpired drops the records of entries that have been gone, and of upstreams
// that have not been live, for recordTTL.
func (t *table) evictExpired() {
	t.feed.evict(func(it *item[*memberwire.Peer]) bool {
		state, since := t.state(it.val)
		gone := state == StateGone || it.val.GetUpstream() && state != StateLive
		expired := gone && t.now().Sub(since) >= recordTTL && it.key != t.self.GetName()
		if expired {
			delete(t.since, it.key)
			delete(t.liveSince, it.key)
		}
		return expired
	})
}
