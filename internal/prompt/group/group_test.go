package group_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/circuit"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errRefused = errors.New("refused")

// calls returns the calls to stand-in engines.
func calls(engines map[string]*engine.Engine) group.Calls {
	refused := func(err error) error {
		if err != nil {
			return fmt.Errorf("%w: %w", errRefused, err)
		}
		return nil
	}
	return group.Calls{
		Hold: func(_ context.Context, upstream, hold string, tokens int, ttl time.Duration) error {
			return refused(engines[upstream].Hold(engine.HoldRequest{Hold: hold, Tokens: tokens, TTL: ttl}))
		},
		Renew: func(_ context.Context, upstream, hold string, ttl time.Duration) error {
			return refused(engines[upstream].Renew(hold, ttl))
		},
		Release: func(_ context.Context, upstream, hold string) error { return engines[upstream].Release(hold) },
		Refused: func(err error) bool { return errors.Is(err, errRefused) },
	}
}

var names = []string{"engine-1", "engine-2", "engine-3"}

const share = 400_000

// bubble runs f with stand-in engines in a synctest bubble.
func bubble(t *testing.T, f func(ctx context.Context, is *is.I, engines map[string]*engine.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engines := map[string]*engine.Engine{}
		for _, n := range names {
			engines[n] = engine.New(engine.Default(n, "m"))
			defer engines[n].Close()
		}
		f(t.Context(), is.New(t), engines)
	})
}

func used(engines map[string]*engine.Engine) int {
	n := 0
	for _, e := range engines {
		n += e.MemoryUsed()
	}
	return n
}

func TestHoldsAllOrNone(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		is.NoErr(engines["engine-3"].Hold(engine.HoldRequest{Hold: "other", Tokens: 200_000, TTL: time.Minute}))
		_, err := group.Acquire(ctx, "r1", names, share, calls(engines))
		var m *group.MemberError
		is.True(errors.As(err, &m))
		is.Equal(m.Upstream(), "engine-3")
		is.Equal(used(engines), 200_000) // the first two holds are released
		is.NoErr(engines["engine-3"].Release("other"))
		h, err := group.Acquire(ctx, "r2", names, share, calls(engines))
		is.NoErr(err)
		is.Equal(used(engines), 3*share)
		h.Close()
		is.Equal(used(engines), 0)
	})
}

func TestHoldWithLostAnswerIsReleased(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		engines["engine-2"].LoseAnswers(1) // the hold is made all the same
		_, err := group.Acquire(ctx, "r1", names, share, calls(engines))
		is.True(err != nil)
		is.Equal(used(engines), 0)
	})
}

func TestHoldsAreRenewed(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		h, err := group.Acquire(ctx, "r1", names, share, calls(engines))
		is.NoErr(err)
		time.Sleep(10 * group.TTL)
		synctest.Wait()
		is.Equal(engines["engine-2"].MemoryUsed(), share)
		is.Equal(engines["engine-3"].MemoryUsed(), share)
		is.Equal(h.Lapsed(), 0)
		h.Close()
		is.Equal(used(engines), 0)
	})
}

// Guards against memory that stays held when an entry crashes while it acquires a group:
// it neither renews nor releases its holds.
func TestHoldsOfCrashedEntryExpire(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		c, errCrashed := calls(engines), errors.New("dead")
		hold := c.Hold
		c.Hold = func(ctx context.Context, upstream, id string, tokens int, ttl time.Duration) error {
			if upstream == "engine-3" {
				return errCrashed
			}
			return hold(ctx, upstream, id, tokens, ttl)
		}
		c.Release = func(context.Context, string, string) error { return errCrashed }
		_, err := group.Acquire(ctx, "r1", names, share, c)
		is.True(errors.Is(err, errCrashed))
		is.Equal(used(engines), 2*share)
		time.Sleep(group.TTL + time.Second)
		synctest.Wait()
		is.Equal(used(engines), 0)
	})
}

func TestLapsedHoldIsReacquired(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		h, err := group.Acquire(ctx, "r1", names, share, calls(engines))
		is.NoErr(err)
		defer h.Close()
		is.NoErr(engines["engine-2"].Release(h.Hold(1))) // as if the hold had expired while the entry was paused
		time.Sleep(group.TTL)
		synctest.Wait() // a renewal is due now: let it finish before the next step
		is.Equal(engines["engine-2"].MemoryUsed(), share)
		is.Equal(h.Lapsed(), 0)

		is.NoErr(engines["engine-3"].Release(h.Hold(2)))
		is.NoErr(engines["engine-3"].Hold(engine.HoldRequest{Hold: "other", Tokens: 200_000, TTL: time.Minute}))
		time.Sleep(group.TTL)
		synctest.Wait()
		is.True(h.Lapsed() > 0)
	})
}

// Guards against entries that block each other when they need the same engines: each
// one acquires them in the end.
func TestEntriesDoNotDeadlock(t *testing.T) {
	bubble(t, func(ctx context.Context, is *is.I, engines map[string]*engine.Engine) {
		done := make(chan int)
		for entry := range 4 {
			go func() {
				tries := 0
				for {
					tries++
					h, err := group.Acquire(ctx, fmt.Sprintf("entry-%d-%d", entry, tries), names, share, calls(engines))
					if err == nil {
						time.Sleep(time.Second)
						h.Close()
						done <- tries
						return
					}
					time.Sleep(time.Duration(100+entry) * time.Millisecond)
				}
			}()
		}
		for range 4 {
			is.True(<-done < 100)
		}
		is.Equal(used(engines), 0)
	})
}

func domain(n int) []*model.Engine {
	var out []*model.Engine
	for i := range n {
		out = append(out, model.NewEngine(fmt.Sprintf("engine-%d", i+1), "a", 400_000, 20_000, circuit.New(func() float64 { return 1 })))
	}
	return out
}

func TestMembers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	d := domain(6)
	is.True(group.Possible(d, 1_000_000, now))
	is.True(!group.Possible(d, 2_000_000, now)) // exceeds the share of the domain
	members := group.Members(d, 1_000_000, 0, nil, now)
	is.Equal(len(members), 3) // the smallest group that fits
	for i := 1; i < len(members); i++ {
		is.True(members[i-1].Name() < members[i].Name())
	}
	is.Equal(len(group.Members(d, 1_000_000, 2, nil, now)), 0) // groups of this entry use two of the four allowed
	for _, e := range d[:4] {
		e.Report(model.Report{At: now, PrefillTokens: 100_000, MemoryUsed: 100_000})
	}
	is.Equal(len(group.Members(d, 1_000_000, 0, nil, now)), 0) // four run big prefills
	is.Equal(len(group.Members(d, 700_000, 0, nil, now)), 2)
	is.Equal(len(group.Members(d, 700_000, 0, map[string]bool{"engine-6": true}, now)), 0)
}
