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
	// ClockMargin bounds the difference between any two clocks that the window
	// allows for: callers', entries' and the log's.
	ClockMargin = 2 * time.Minute
	// bucketWidth is the unit in which keys are forgotten.
	bucketWidth = time.Minute
	// answerBytes is the memory that kept answers of one ledger may take.
	answerBytes = 4 << 20
	// answerCost is added to the length of a kept answer.
	answerCost = 96
)

// State is what became of an order.
type State string

// The states of an order. Done, void and lost never change.
const (
	StateNone    State = ""        // no intent is known
	StatePending State = "pending" // an intent won; its holder has not ended it
	StateDone    State = "done"    // executed; the answer is known
	StateVoid    State = "void"    // not executed, and never will be
	StateLost    State = "unknown" // sent; the answer will never be known
)

// Status is what a ledger knows of an order.
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

// Offset returns the offset of the record with the answer, else of the intent.
func (s Status) Offset() uint64 { return s.offset }

// At returns the log's time of the intent.
func (s Status) At() time.Time { return s.at }

// Answer returns the answer of a done order; nil where it has to be read from the log.
func (s Status) Answer() *StoredAnswer { return s.answer }

// id is a key of a workspace.
type id struct {
	key       uuid.UUID
	workspace uint32
}

// holder is an entry's incarnation.
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
	at          int64 // log's time of the intent, ms
}

const (
	codePending uint8 = iota
	codeDone
	codeVoid
	codeLost
)

var states = [...]State{StatePending, StateDone, StateVoid, StateLost}

// Ledger is the state that the records of a stream up to an offset make. It
// belongs to one goroutine.
type Ledger struct {
	window  time.Duration
	offset  uint64
	newest  time.Time // of the log's times
	floor   time.Time // keys before it are not known
	orders  map[id]order
	buckets map[int64][]id // by the key's time in units of bucketWidth
	oldest  int64          // no bucket is before it
	names   interner[string]
	holders interner[holder]
	answers *answerCache
}

// New returns the ledger of an empty stream that knows keys of the window.
func New(window time.Duration) *Ledger {
	return &Ledger{
		window:  window,
		orders:  map[id]order{},
		buckets: map[int64][]id{},
		names:   newInterner[string](),
		holders: newInterner[holder](),
		answers: newAnswerCache(answerBytes),
	}
}

// Offset returns the last offset applied.
func (l *Ledger) Offset() uint64 { return l.offset }

// Floor returns the time before which the ledger may not know a key.
func (l *Ledger) Floor() time.Time { return l.floor }

// Newest returns the newest time of the log that was applied.
func (l *Ledger) Newest() time.Time { return l.newest }

// Len returns the number of keys.
func (l *Ledger) Len() int { return len(l.orders) }

// Skip notes that the records up to the offset are gone and were not applied.
// The next record's time tells which keys they may have held.
func (l *Ledger) Skip(offset uint64) {
	if offset > l.offset {
		l.offset = offset
		l.newest = time.Time{}
	}
}

// Apply applies the record at the offset, which the log took at the time. A
// record at or below the last offset, or that can't be decoded, changes nothing.
func (l *Ledger) Apply(offset uint64, at time.Time, data []byte) error {
	if offset <= l.offset {
		return nil
	}
	if offset > l.offset+1 || l.newest.IsZero() && l.offset > 0 {
		// An intent that is gone was taken before this record, and its key's
		// time is at most a margin after that.
		l.raise(at.Add(ClockMargin + bucketWidth))
	}
	l.offset = offset
	if at.After(l.newest) {
		l.newest = at
		l.raise(at.Add(-l.window - ClockMargin))
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
		return // at every ledger, so that no attempt with this key wins
	}
	k := id{key: key, workspace: l.names.add(r.Workspace)}
	h := l.holders.add(holder{vm: r.Vm, incarnation: r.Incarnation})
	o, known := l.orders[k]
	if !known {
		l.first(k, h, offset, at, r)
		return
	}
	if o.state != codePending || o.holder != h || o.attempt != r.Attempt {
		return // ended, or not the holder's word
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

// first applies the first record of a key. A void that comes before its intent
// ends the key, so that the intent can't win later.
func (l *Ledger) first(k id, h uint32, offset uint64, at time.Time, r *Record) {
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

// raise forgets the keys before the time, rounded down. It never goes down again.
func (l *Ledger) raise(to time.Time) {
	b := bucketOf(to)
	if b <= l.oldest {
		return
	}
	l.oldest = b
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

// Get returns what is known of a workspace's key.
func (l *Ledger) Get(workspace string, key uuid.UUID) Status {
	w, ok := l.names.find(workspace)
	if !ok {
		return Status{}
	}
	k := id{key: key, workspace: w}
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

// Digest returns a number that two ledgers share where they hold the same.
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
		lines = append(lines, string(b)+h.vm+"\x00"+l.names.value(k.workspace))
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
