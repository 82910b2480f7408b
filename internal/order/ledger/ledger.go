package ledger

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

const (
	// ClockMargin is the largest tolerated difference between any two clocks:
	// callers', entries' and the log's.
	ClockMargin = 2 * time.Minute
	// bucketWidth is the granularity at which keys expire.
	bucketWidth = time.Minute
	// answerCacheBytes limits the size of one ledger's cached answers.
	answerCacheBytes = 4 << 20
	// answerOverheadBytes is added to the length of a cached answer.
	answerOverheadBytes = 96
)

// State is the state of an order.
type State string

// The states of an order. Done, void and lost are final.
const (
	StateNone    State = ""        // no intent is known
	StatePending State = "pending" // an intent won; its attempt has not ended
	StateDone    State = "done"    // executed; the answer is known
	StateVoid    State = "void"    // not executed, and never will be
	StateLost    State = "unknown" // sent; the answer will never be known
)

// Status is what a ledger knows about an order.
type Status struct {
	state       State
	fingerprint Fingerprint
	attempt     Attempt
	offset      uint64
	at          time.Time
	answer      *StoredAnswer
}

// State returns the order's state.
func (s Status) State() State { return s.state }

// Fingerprint returns the fingerprint of the intent that won.
func (s Status) Fingerprint() Fingerprint { return s.fingerprint }

// Attempt returns the attempt whose intent won.
func (s Status) Attempt() Attempt { return s.attempt }

// Offset returns the offset of a done order's outcome, else of its first record.
func (s Status) Offset() uint64 { return s.offset }

// At returns the time at which the log took the order's first record.
func (s Status) At() time.Time { return s.at }

// Answer returns the answer of a done order, or nil if it is not cached and has to
// be read from the log.
func (s Status) Answer() *StoredAnswer { return s.answer }

// orderID identifies an order by its workspace and key.
type orderID struct {
	key       uuid.UUID
	workspace uint32
}

// holder is the entry incarnation whose attempt won.
type holder struct {
	vm          string
	incarnation uint64
}

type order struct {
	fingerprint Fingerprint
	holder      uint32
	state       uint8
	attempt     uint64
	offset      uint64
	at          int64 // log's time of the first record, Unix ms
}

const (
	codePending uint8 = iota
	codeDone
	codeVoid
	codeLost
)

var states = [...]State{StatePending, StateDone, StateVoid, StateLost}

// Ledger is the state of a stream's orders after its records up to an offset. It
// is not safe for concurrent use.
type Ledger struct {
	window       time.Duration
	offset       uint64
	newest       time.Time // latest of the log's times
	floor        time.Time // older keys are dropped and refused
	orders       map[orderID]order
	buckets      map[int64][]orderID // by the key's time in units of bucketWidth
	oldestBucket int64               // no bucket is before it
	workspaces   interner[string]
	holders      interner[holder]
	answers      *answerCache
}

// New returns the ledger of an empty stream. It remembers keys for the window.
func New(window time.Duration) *Ledger {
	return &Ledger{
		window:     window,
		orders:     map[orderID]order{},
		buckets:    map[int64][]orderID{},
		workspaces: newInterner[string](),
		holders:    newInterner[holder](),
		answers:    newAnswerCache(answerCacheBytes),
	}
}

// Offset returns the last offset that was applied or skipped.
func (l *Ledger) Offset() uint64 { return l.offset }

// Floor returns the time before which the ledger refuses keys, as it may have
// dropped their records.
func (l *Ledger) Floor() time.Time { return l.floor }

// Newest returns the latest log time of the applied records; zero after a Skip.
func (l *Ledger) Newest() time.Time { return l.newest }

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.orders) }

// Skip advances the offset past records that the log deleted before they were
// applied. The next record's time bounds the keys that they may have held.
func (l *Ledger) Skip(offset uint64) {
	if offset > l.offset {
		l.offset = offset
		l.newest = time.Time{}
	}
}

// Apply applies the record at the offset, which the log took at the given time. A
// record at or below the last offset is ignored. One that can't be decoded changes
// no order's state and returns an error of KindRecord.
func (l *Ledger) Apply(offset uint64, at time.Time, data []byte) error {
	if offset <= l.offset {
		return nil
	}
	if offset > l.offset+1 || l.newest.IsZero() && l.offset > 0 {
		// A deleted intent was taken before this record, and its key's time is at
		// most ClockMargin after that.
		l.raiseFloor(at.Add(ClockMargin + bucketWidth))
	}
	l.offset = offset
	if at.After(l.newest) {
		l.newest = at
		l.raiseFloor(at.Add(-l.window - ClockMargin))
	}
	r, err := Decode(data)
	if err != nil {
		return err
	}
	if r.Type != RecordType_MARK {
		l.apply(offset, at, r)
	}
	return nil
}

func (l *Ledger) apply(offset uint64, at time.Time, r *Record) {
	key := uuid.UUID(r.Key)
	if t := KeyTime(key); t.Before(l.floor) || t.After(at.Add(ClockMargin)) {
		return // every ledger refuses it, so no attempt with this key wins
	}
	k := orderID{key: key, workspace: l.workspaces.add(r.Workspace)}
	h := l.holders.add(holder{vm: r.Vm, incarnation: r.Incarnation})
	o, known := l.orders[k]
	if !known {
		l.applyFirst(k, h, offset, at, r)
		return
	}
	if o.state != codePending || o.holder != h || o.attempt != r.Attempt {
		return // already ended, or not from the attempt that won
	}
	switch r.Type {
	case RecordType_OUTCOME:
		o.state, o.offset = codeDone, offset
		l.answers.add(k, r.Answer)
	case RecordType_VOID:
		o.state = codeVoid
	case RecordType_LOST:
		o.state = codeLost
	default:
		return
	}
	l.orders[k] = o
}

// applyFirst applies the first record of a key. A void that precedes its intent
// ends the order, so that the intent can't win later.
func (l *Ledger) applyFirst(k orderID, h uint32, offset uint64, at time.Time, r *Record) {
	o := order{holder: h, attempt: r.Attempt, offset: offset, at: at.UnixMilli()}
	switch r.Type {
	case RecordType_INTENT:
		copy(o.fingerprint[:], r.Fingerprint)
	case RecordType_VOID:
		o.state = codeVoid
	default:
		return
	}
	l.orders[k] = o
	b := bucketOf(KeyTime(k.key))
	l.buckets[b] = append(l.buckets[b], k)
}

// raiseFloor drops the keys before the time, rounded down to a bucket. It never
// lowers the floor.
func (l *Ledger) raiseFloor(to time.Time) {
	b := bucketOf(to)
	if b <= l.oldestBucket {
		return
	}
	l.oldestBucket = b
	l.floor = time.UnixMilli(b * bucketWidth.Milliseconds())
	for old, ids := range l.buckets {
		if old >= b {
			continue
		}
		for _, k := range ids {
			delete(l.orders, k)
			l.answers.remove(k)
		}
		delete(l.buckets, old)
	}
}

func bucketOf(t time.Time) int64 { return t.UnixMilli() / bucketWidth.Milliseconds() }

// Get returns the status of a workspace's key, or the zero Status if it is unknown.
func (l *Ledger) Get(workspace string, key uuid.UUID) Status {
	w, ok := l.workspaces.find(workspace)
	if !ok {
		return Status{}
	}
	k := orderID{key: key, workspace: w}
	o, ok := l.orders[k]
	if !ok {
		return Status{}
	}
	h := l.holders.value(o.holder)
	return Status{
		state:       states[o.state],
		fingerprint: o.fingerprint,
		attempt:     Attempt{VM: h.vm, Incarnation: h.incarnation, Number: o.attempt},
		offset:      o.offset,
		at:          time.UnixMilli(o.at),
		answer:      l.answers.get(k),
	}
}

// Digest returns a hash that is equal for ledgers that hold the same orders.
func (l *Ledger) Digest() uint64 {
	lines := make([]string, 0, len(l.orders))
	for k, o := range l.orders {
		h := l.holders.value(o.holder)
		b := append([]byte(nil), k.key[:]...)
		b = append(b, o.fingerprint[:]...)
		b = append(b, o.state)
		b = binary.BigEndian.AppendUint64(b, o.attempt)
		b = binary.BigEndian.AppendUint64(b, o.offset)
		b = binary.BigEndian.AppendUint64(b, h.incarnation)
		lines = append(lines, string(b)+h.vm+"\x00"+l.workspaces.value(k.workspace))
	}
	slices.Sort(lines)
	d := xxh3.New()
	for _, line := range lines {
		_, _ = d.WriteString(line) // a hash never fails
	}
	return d.Sum64()
}

// Counts returns the number of keys in each state.
func (l *Ledger) Counts() map[State]int {
	out := map[State]int{}
	for o := range maps.Values(l.orders) {
		out[states[o.state]]++
	}
	return out
}
