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
	// MaxClaimAge is the age up to which a claim may be used to send orders. It is
	// measured from before the append of the claim.
	MaxClaimAge   = 5 * time.Second
	appendTimeout = 3 * time.Second
)

// Seams are the functions that a tracker calls.
type Seams struct {
	Now    func() time.Time
	Append func(ctx context.Context, record []byte) (uint64, error)
}

// ownClaim is a claim that this entry appended.
type ownClaim struct {
	fence     uint64
	requested time.Time
}

// Tracker holds the claims of all entries and appends those of this one. The follower of
// the log feeds it through Apply and Skip. It is safe for concurrent use.
type Tracker struct {
	seams Seams
	self  Holder
	log   *log.Logger

	mu        sync.Mutex
	claims    *Claims
	applied   chan struct{}
	ownClaims map[string]ownClaim
}

// NewTracker returns the tracker of the entry self.
func NewTracker(self Holder, seams Seams, logger *log.Logger) *Tracker {
	return &Tracker{
		seams: seams, self: self, log: logger.WithPrefix("owner"),
		claims: NewClaims(), applied: make(chan struct{}), ownClaims: map[string]ownClaim{},
	}
}

// Apply applies records, which must be in order of offset. It logs and skips those that
// can't be decoded.
func (t *Tracker) Apply(recs []logservice.Record) {
	t.update(func() {
		for _, r := range recs {
			if err := t.claims.Apply(r.Offset, r.Time, r.Data); err != nil {
				t.log.Error("Skipping a record that can't be decoded.", "offset", r.Offset, "err", err)
			}
		}
	})
}

// Skip records that the log no longer has the records up to the offset.
func (t *Tracker) Skip(offset uint64) { t.update(func() { t.claims.Skip(offset) }) }

// update applies a change and wakes the waiting appends.
func (t *Tracker) update(apply func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	apply()
	close(t.applied)
	t.applied = make(chan struct{})
}

// Claim returns the fencing number of this entry's current claim on the upstream. If there
// is none it appends a claim and waits until it is applied. It returns an error of
// KindUnclaimed if the append fails or another entry has claimed the upstream since.
func (t *Tracker) Claim(ctx context.Context, upstream string) (uint64, error) {
	if fence, ok := t.Fence(upstream); ok {
		return fence, nil
	}
	requested := t.seams.Now()
	offset, err := t.append(ctx, &Record{Type: RecordType_CLAIM, Upstream: upstream})
	if err != nil {
		return 0, fail("claim", KindUnclaimed, err)
	}
	t.mu.Lock()
	t.ownClaims[upstream] = ownClaim{fence: offset, requested: requested}
	t.mu.Unlock()
	if fence, ok := t.Fence(upstream); ok {
		return fence, nil
	}
	return 0, fail("claim", KindUnclaimed, nil)
}

// Fence returns the fencing number of this entry's claim on the upstream, if it is the
// newest one known and not older than MaxClaimAge. Call it right before each order.
func (t *Tracker) Fence(upstream string) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, mine := t.ownClaims[upstream]
	fence, newest := t.claims.Fence(upstream, t.self)
	if !mine || !newest || fence != h.fence || age(t.seams.Now(), h.requested) > MaxClaimAge {
		return 0, false
	}
	return fence, true
}

// age returns the larger of the monotonic and the wall clock time between two readings.
// Either clock may stand still while the VM is paused.
func age(now, requested time.Time) time.Duration {
	return max(now.Sub(requested), now.Round(0).Sub(requested.Round(0)))
}

// DropClaim discards this entry's claim after an engine rejected it as outdated.
func (t *Tracker) DropClaim(upstream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.ownClaims, upstream)
}

// AcquireSlot requests a slot to take the upstream out of service and reports whether it has
// one. At most limit upstreams of the deployment may be out of service at once.
func (t *Tracker) AcquireSlot(ctx context.Context, upstream, deployment string, limit int) (bool, error) {
	if t.HasSlot(upstream) {
		return true, nil
	}
	_, err := t.append(ctx, &Record{Type: RecordType_BEGIN, Upstream: upstream, Deployment: deployment, Limit: uint32(max(limit, 0))})
	return err == nil && t.HasSlot(upstream), err
}

// ReleaseSlot releases the upstream's slot.
func (t *Tracker) ReleaseSlot(ctx context.Context, upstream string) error {
	_, err := t.append(ctx, &Record{Type: RecordType_END, Upstream: upstream})
	return err
}

// HasSlot reports whether the upstream may be out of service.
func (t *Tracker) HasSlot(upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claims.HasSlot(upstream)
}

// Slots returns the upstreams of the deployment that may be out of service.
func (t *Tracker) Slots(deployment string) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.claims.Slots(deployment)
}

// append appends a record to the log and waits until it is applied here.
func (t *Tracker) append(ctx context.Context, r *Record) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r.Vm, r.Incarnation = t.self.VM, t.self.Incarnation
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, fail("encode", KindRecord, err)
	}
	offset, err := t.seams.Append(ctx, data)
	if err != nil {
		return 0, err
	}
	return offset, t.waitApplied(ctx, offset)
}

// waitApplied waits until the record at the offset is applied.
func (t *Tracker) waitApplied(ctx context.Context, offset uint64) error {
	for {
		t.mu.Lock()
		done, applied := t.claims.Offset() >= offset, t.applied
		t.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
