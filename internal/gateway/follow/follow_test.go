package follow

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

var testClass = errs.Class("test")

// topic is a topic of a store, in virtual time.
type topic struct {
	mu      sync.Mutex
	records []platform.Keyed
	first   uint64
	down    bool
	calls   int
	applied []string
	whole   int
}

func (tp *topic) put(key string) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	tp.records = append(tp.records, platform.Keyed{Key: key, Value: []byte("v"), Offset: uint64(len(tp.records))})
}

func (tp *topic) set(change func()) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	change()
}

var errDown = errors.New("down")

func (tp *topic) newest(context.Context, string) ([]platform.Keyed, uint64, error) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	tp.calls++
	if tp.down {
		return nil, 0, errDown
	}
	return tp.records, uint64(len(tp.records)), nil
}

func (tp *topic) read(ctx context.Context, _ string, from uint64, wait time.Duration) ([]platform.Keyed, uint64, error) {
	tp.set(func() { tp.calls++ })
	for end := time.Now().Add(wait); ; {
		tp.mu.Lock()
		down, first, list := tp.down, tp.first, tp.records
		tp.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case from < first:
			return nil, 0, fault.New(&testClass, "read", platform.KindTrimmed, nil)
		case from < uint64(len(list)):
			return list[from:], uint64(len(list)), nil
		case !time.Now().Before(end) || !pause.For(ctx, 10*time.Millisecond):
			return nil, from, nil
		}
	}
}

func (tp *topic) apply(records []platform.Keyed, whole bool) {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if whole {
		tp.whole++
	}
	for _, r := range records {
		tp.applied = append(tp.applied, r.Key)
	}
}

func (tp *topic) last() string {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if len(tp.applied) == 0 {
		return ""
	}
	return tp.applied[len(tp.applied)-1]
}

func (tp *topic) made() int {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	return tp.calls
}

func follow(t *testing.T, tp *topic, leads bool) *Follower {
	t.Helper()
	f := New(Settings{Topic: "t", Wait: 2 * time.Second}, Seams{
		Newest: tp.newest, Read: tp.read, Apply: tp.apply, Leads: func() bool { return leads },
	}, log.New(io.Discard))
	t.Cleanup(f.Close)
	return f
}

func TestLeaderReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		f := follow(t, tp, true)
		time.Sleep(50 * time.Millisecond)
		is.Equal(tp.last(), "a")
		tp.put("b")
		time.Sleep(50 * time.Millisecond)
		is.Equal(tp.last(), "b")
		offset, healthy := f.Offset()
		is.Equal(offset, uint64(2))
		is.True(healthy)
	})
}

// An entry that hears of those that lead reads what they tell of, and little else.
func TestFollowerReadsWhatItIsToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		f := follow(t, tp, false)
		heard := func(offset uint64, d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
				f.Hint("other", offset)
			}
		}
		heard(1, 2*time.Second)
		before := tp.made()
		heard(1, 20*time.Second)
		is.True(tp.made()-before <= int(20*time.Second/safetyEvery))
		tp.put("b")
		f.Hint("other", 2)
		time.Sleep(50 * time.Millisecond)
		is.Equal(tp.last(), "b")
	})
}

// An entry that does not lead takes over what it is told of, without a call of the store,
// and reads the store where the other does not hand it on.
func TestFollowerTakesOverWhatItIsToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		f, asked := handOn(t, tp, tp.read, false)
		time.Sleep(50 * time.Millisecond)
		before := tp.made()
		tp.put("b")
		f.Hint("other", 2)
		time.Sleep(50 * time.Millisecond)
		is.Equal(tp.last(), "b")
		is.Equal(asked(), 1)
		is.Equal(tp.made(), before)
		tp.put("c")
		f.Hint("stranger", 3) // hands nothing on
		time.Sleep(50 * time.Millisecond)
		is.Equal(tp.last(), "c")
		is.Equal(tp.made(), before+1)
	})
}

// A store that turns one entry away and serves the others is not away: what is removed
// there meanwhile is gone. Where the others fall silent, too, it may have been away.
func TestStoreThatServesOthersIsNotAway(t *testing.T) {
	for _, c := range []struct {
		name        string
		heard, down time.Duration
		away        bool
	}{
		{"others are served all the while", 6 * time.Second, 5 * time.Second, false},
		{"others fall silent", time.Second, 5 * time.Second, true},
		{"others fall silent until the store is back", 1500 * time.Millisecond, 3 * time.Second, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			tp := &topic{}
			tp.put("a")
			var mu sync.Mutex
			var told []bool
			f := New(Settings{Topic: "t", Wait: 2 * time.Second}, Seams{
				Newest: tp.newest, Read: tp.read, Apply: tp.apply, Leads: func() bool { return true },
				Reached: func(ok bool) {
					mu.Lock()
					defer mu.Unlock()
					told = append(told, ok)
				},
			}, log.New(io.Discard))
			defer f.Close()
			hints := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
					f.Hint("other", 1)
				}
			}
			hints(3 * time.Second)
			began := time.Now()
			tp.set(func() { tp.down = true })
			time.AfterFunc(c.down, func() { tp.set(func() { tp.down = false }) })
			hints(c.heard)
			time.Sleep(c.down + time.Second - time.Since(began))
			mu.Lock()
			defer mu.Unlock()
			if got := slices.Contains(told, false); got != c.away {
				t.Errorf("%s: away %v, want %v", c.name, got, c.away)
			}
			is.True(told[len(told)-1])
		})
	}
}

// An entry that hears of no one that leads finds a change within its check.
func TestFollowerReadsItselfWhereItHearsOfNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		follow(t, tp, false)
		time.Sleep(10 * time.Second)
		tp.put("b")
		time.Sleep(2 * checkEvery)
		is.Equal(tp.last(), "b")
	})
}

// Records that are gone are made up for by the newest of each key.
func TestTrimmedTopicIsTakenWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		follow(t, tp, true)
		time.Sleep(time.Second)
		tp.set(func() { tp.down = true })
		time.Sleep(5 * time.Second)
		tp.put("b")
		tp.put("c")
		tp.set(func() { tp.down, tp.first = false, 3 })
		time.Sleep(2 * lastRetry)
		is.Equal(tp.last(), "c")
		is.Equal(tp.whole, 2)
	})
}

// A store that is down is not pressed, and its return is seen soon.
func TestStoreThatIsDownIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{down: true}
		tp.put("a")
		follow(t, tp, true)
		time.Sleep(time.Minute)
		is.True(tp.made() < int(time.Minute/(lastRetry/2)))
		tp.set(func() { tp.down = false })
		time.Sleep(2 * lastRetry)
		is.Equal(tp.last(), "a")
	})
}

// An entry that leads tells the others that it reads again as soon as it does, not at
// the end of a long read: until then each of them reads the store every second.
func TestStoreThatIsBackIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		f := New(Settings{Topic: "t", Wait: 10 * time.Second}, Seams{Newest: tp.newest, Read: tp.read, Apply: tp.apply}, log.New(io.Discard))
		defer f.Close()
		time.Sleep(time.Second)
		tp.set(func() { tp.down = true })
		time.Sleep(time.Second)
		_, healthy := f.Offset()
		is.True(!healthy)
		tp.set(func() { tp.down = false })
		time.Sleep(time.Second)
		_, healthy = f.Offset()
		is.True(healthy)
		calls := tp.made()
		time.Sleep(9 * time.Second)
		is.True(tp.made()-calls <= 1) // and then waits again
	})
}

// handOn makes a follower ask another entry, which has read the whole topic.
func handOn(t *testing.T, tp *topic, read func(ctx context.Context, topic string, from uint64, wait time.Duration) ([]platform.Keyed, uint64, error), leads bool) (f *Follower, asked func() int) {
	t.Helper()
	n := 0
	asked = func() int {
		tp.mu.Lock()
		defer tp.mu.Unlock()
		return n
	}
	f = New(Settings{Topic: "t", Wait: 10 * time.Second}, Seams{
		Newest: tp.newest, Read: read, Apply: tp.apply, Leads: func() bool { return leads },
		Ask: func(_ context.Context, entry, topic string) ([]platform.Keyed, uint64, error) {
			tp.mu.Lock()
			defer tp.mu.Unlock()
			n++
			if entry != "other" || topic != "t" {
				return nil, 0, errDown
			}
			return tp.records, uint64(len(tp.records)), nil
		},
	}, log.New(io.Discard))
	t.Cleanup(f.Close)
	return f, asked
}

// An entry that the store turns away takes over what another one has read, and goes on
// with the store where that one was.
func TestTurnedAwayEntryAsksAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		f, asked := handOn(t, tp, tp.read, true)
		time.Sleep(50 * time.Millisecond)
		tp.set(func() { tp.down = true })
		time.Sleep(2 * time.Second)
		is.Equal(asked(), 0) // nobody told of more
		tp.put("b")
		f.Hint("other", 2)
		time.Sleep(time.Second)
		is.Equal(tp.last(), "b")
		is.Equal(asked(), 1)
		offset, healthy := f.Offset()
		is.Equal(offset, uint64(2))
		is.True(!healthy) // it tells nobody of what it did not read itself
		tp.put("c")
		tp.set(func() { tp.down = false })
		time.Sleep(time.Second)
		is.Equal(tp.last(), "c")
		is.Equal(tp.whole, 2) // its first read, and what was taken over
		list, _ := f.Newest()
		is.Equal(len(list), 3)
	})
}

// A read that the store never answers ends once another entry has read further.
func TestStuckReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tp := &topic{}
		tp.put("a")
		mute := func(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]platform.Keyed, uint64, error) {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		f, asked := handOn(t, tp, mute, true)
		time.Sleep(time.Second)
		tp.put("b")
		f.Hint("other", 2)
		time.Sleep(stuckAfter - 10*time.Millisecond)
		is.Equal(asked(), 0) // the store may still answer
		time.Sleep(20 * time.Millisecond)
		is.Equal(tp.last(), "b")
		is.Equal(asked(), 1)
	})
}
