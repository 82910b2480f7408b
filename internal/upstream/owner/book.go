package owner

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	// MaxClaimAge is the largest age of a claim that still sends. It is counted
	// from before the claim was appended.
	MaxClaimAge = 5 * time.Second
	appendWait  = 3 * time.Second
)

// Seams are the book's ways out.
type Seams struct {
	Now    func() time.Time
	Append func(ctx context.Context, record []byte) (uint64, error)
}

// held is a claim of this entry.
type held struct {
	fence uint64
	began time.Time
}

// Book holds the claims for the follower that feeds them and the duties that act
// on them. Its methods may be called from any goroutine.
type Book struct {
	seams Seams
	self  Holder
	log   *log.Logger

	mu     sync.Mutex
	claims *Claims
	grown  chan struct{}
	held   map[string]held
}

// NewBook returns a book of the entry.
func NewBook(self Holder, seams Seams, logger *log.Logger) *Book {
	return &Book{
		seams: seams, self: self, log: logger.WithPrefix("owner"),
		claims: NewClaims(), grown: make(chan struct{}), held: map[string]held{},
	}
}

// Apply folds records in order of offset.
func (b *Book) Apply(recs []logservice.Record) {
	b.change(func() {
		for _, r := range recs {
			if err := b.claims.Apply(r.Offset, r.Time, r.Data); err != nil {
				b.log.Error("A record can't be decoded and is passed over.", "offset", r.Offset, "err", err)
			}
		}
	})
}

// Skip notes that the records up to the offset are gone.
func (b *Book) Skip(offset uint64) { b.change(func() { b.claims.Skip(offset) }) }

func (b *Book) change(apply func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apply()
	close(b.grown)
	b.grown = make(chan struct{})
}

// Claim returns the fencing number of a young claim of this entry on the
// upstream, and claims it where there is none.
func (b *Book) Claim(ctx context.Context, upstream string) (uint64, error) {
	if fence, ok := b.Fence(upstream); ok {
		return fence, nil
	}
	began := b.seams.Now()
	offset, err := b.append(ctx, &Record{Type: RecordType_CLAIM, Upstream: upstream})
	if err != nil {
		return 0, fail("claim", KindUnclaimed, err)
	}
	b.mu.Lock()
	b.held[upstream] = held{fence: offset, began: began}
	b.mu.Unlock()
	if fence, ok := b.Fence(upstream); ok {
		return fence, nil
	}
	return 0, fail("claim", KindUnclaimed, nil)
}

// Fence returns the fencing number of the upstream where this entry's claim is
// the newest one known and young. Ask it right before each send.
func (b *Book) Fence(upstream string) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, mine := b.held[upstream]
	fence, newest := b.claims.Fence(upstream, b.self)
	if !mine || !newest || fence != h.fence || age(b.seams.Now(), h.began) > MaxClaimAge {
		return 0, false
	}
	return fence, true
}

// age is the time between two readings by the clock that says more: one of them
// may stand still while the VM is paused.
func age(now, began time.Time) time.Duration {
	return max(now.Sub(began), now.Round(0).Sub(began.Round(0)))
}

// Drop forgets this entry's claim, which an engine called old.
func (b *Book) Drop(upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, upstream)
}

// Begin asks for a slot to take the upstream out of service and reports whether
// it has one. The limit is the number of the deployment's upstreams that may be
// out at once.
func (b *Book) Begin(ctx context.Context, upstream, deployment string, limit int) (bool, error) {
	if b.HasSlot(upstream) {
		return true, nil
	}
	_, err := b.append(ctx, &Record{Type: RecordType_BEGIN, Upstream: upstream, Deployment: deployment, Limit: uint32(max(limit, 0))})
	return err == nil && b.HasSlot(upstream), err
}

// End gives the upstream's slot back.
func (b *Book) End(ctx context.Context, upstream string) error {
	_, err := b.append(ctx, &Record{Type: RecordType_END, Upstream: upstream})
	return err
}

// HasSlot reports whether the upstream may be out of service.
func (b *Book) HasSlot(upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.claims.HasSlot(upstream)
}

// Slots returns the upstreams of the deployment that may be out of service.
func (b *Book) Slots(deployment string) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.claims.Slots(deployment)
}

// append appends a record and waits until it is folded here.
func (b *Book) append(ctx context.Context, r *Record) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	r.Vm, r.Incarnation = b.self.VM, b.self.Incarnation
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, fail("encode", KindRecord, err)
	}
	offset, err := b.seams.Append(ctx, data)
	if err != nil {
		return 0, err
	}
	return offset, b.await(ctx, offset)
}

func (b *Book) await(ctx context.Context, offset uint64) error {
	for {
		b.mu.Lock()
		folded, grown := b.claims.Offset() >= offset, b.grown
		b.mu.Unlock()
		if folded {
			return nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
