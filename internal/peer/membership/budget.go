package membership

import "time"

const (
	// budgetBytesPerSecond limits an entry's control traffic, sent and received. It
	// leaves an eighth of the target of 4 KB/s for bursts of urgent updates.
	budgetBytesPerSecond = 3584 // bytes a second, sent and received
	budgetBurstBytes     = 3 * budgetBytesPerSecond
)

// budget is a token bucket for the bytes of control traffic. Urgent updates are
// always sent and may make it negative; everything else waits until it is positive.
type budget struct {
	available float64 // bytes
	lastSpent int64   // total bytes at the last call
	updated   time.Time
}

// left returns the available bytes, given the total bytes spent since the start.
func (b *budget) left(spent int64, now time.Time) int {
	if b.updated.IsZero() {
		b.available, b.updated = budgetBurstBytes, now
	}
	b.available += budgetBytesPerSecond*now.Sub(b.updated).Seconds() - float64(spent-b.lastSpent)
	b.available = max(-budgetBurstBytes, min(budgetBurstBytes, b.available))
	b.updated, b.lastSpent = now, spent
	return int(b.available)
}
