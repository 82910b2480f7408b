package slots

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
)

// pair is two entries that may disagree about the owner of an upstream.
type pair struct {
	mu    sync.Mutex
	owner [2]string // as seen by each entry
	down  bool
	slots [2]*Slots
}

func newPair() *pair {
	p := &pair{owner: [2]string{"b", "b"}}
	links := map[string]*link.Link{}
	for i, vm := range []string{"a", "b"} {
		l := link.NewOver(vm, "shared-key", func(r *http.Request) (*http.Response, error) {
			p.mu.Lock()
			down := p.down
			p.mu.Unlock()
			if down {
				<-r.Context().Done()
				return nil, errors.New("down")
			}
			rec := httptest.NewRecorder()
			links[r.URL.Host].ServeHTTP(rec, r)
			return rec.Result(), nil
		})
		links[vm] = l
		p.slots[i] = New(Seams{Self: vm, Link: l, Owner: func(string) (string, bool) {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.owner[i], p.owner[i] == vm
		}})
	}
	return p
}

func (p *pair) set(owner [2]string, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owner, p.down = owner, down
}

func runPair(t *testing.T, f func(is *is.I, p *pair)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		f(is.New(t), p)
		p.slots[0].Close()
		p.slots[1].Close()
	})
}

func TestOneLongPrefillAtATime(t *testing.T) {
	runPair(t, func(is *is.I, p *pair) {
		ctx := context.Background()
		release, err := p.slots[0].Slot(ctx, "engine-1")
		is.NoErr(err)
		_, err = p.slots[1].Slot(ctx, "engine-1")
		is.True(fault.Is(err, KindBusy))
		is.True(RetryAfter(err) > 0 && RetryAfter(err) <= leaseDuration)
		time.Sleep(5 * leaseDuration) // the renewals keep the slot
		_, err = p.slots[1].Slot(ctx, "engine-1")
		is.True(fault.Is(err, KindBusy))
		other, err := p.slots[1].Slot(ctx, "engine-2")
		is.NoErr(err)
		is.Equal(p.slots[1].State().Given, 2)
		release()
		release()
		other()
		synctest.Wait()
		release, err = p.slots[1].Slot(ctx, "engine-1")
		is.NoErr(err)
		release()
	})
}

func TestSlotOfUnreachableHolderExpires(t *testing.T) {
	runPair(t, func(is *is.I, p *pair) {
		_, err := p.slots[0].Slot(context.Background(), "engine-1")
		is.NoErr(err)
		p.set([2]string{"", "b"}, true) // the holder can't reach the owner
		time.Sleep(leaseDuration + time.Second)
		_, err = p.slots[1].Slot(context.Background(), "engine-1")
		is.NoErr(err)
	})
}

func TestSlotsAreGrantedWithoutOwner(t *testing.T) {
	runPair(t, func(is *is.I, p *pair) {
		p.set([2]string{"b", "b"}, true) // the owner does not answer
		start := time.Now()
		_, err := p.slots[0].Slot(context.Background(), "engine-1")
		is.NoErr(err)
		is.Equal(time.Since(start), callTimeout)
		p.set([2]string{"", ""}, false)
		_, err = p.slots[0].Slot(context.Background(), "engine-1")
		is.NoErr(err)
		is.Equal(p.slots[0].State().Unasked, int64(2))
	})
}

// While two entries both consider themselves the owner of an upstream, it runs one long
// prefill too many. This must end once their views agree.
func TestConflictingOwners(t *testing.T) {
	runPair(t, func(is *is.I, p *pair) {
		ctx := context.Background()
		p.set([2]string{"a", "b"}, false) // each considers itself the owner
		first, err := p.slots[0].Slot(ctx, "engine-1")
		is.NoErr(err)
		second, err := p.slots[1].Slot(ctx, "engine-1")
		is.NoErr(err)
		_, err = p.slots[0].Slot(ctx, "engine-1")
		is.True(fault.Is(err, KindBusy))
		_, err = p.slots[1].Slot(ctx, "engine-1")
		is.True(fault.Is(err, KindBusy))

		p.set([2]string{"b", "b"}, false)
		time.Sleep(2 * renewInterval)
		second()
		synctest.Wait()
		time.Sleep(2 * renewInterval) // the renewal makes the first slot known to the owner
		_, err = p.slots[1].Slot(ctx, "engine-1")
		is.True(fault.Is(err, KindBusy))
		first()
	})
}
