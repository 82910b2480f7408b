package membership

import "time"

const (
	// budgetRate is what an entry may spend on control. It leaves
	// an eighth of the target of 4 KB a second for bursts of what is urgent.
	budgetRate  = 3584 // bytes a second, sent and received
	budgetBurst = 3 * budgetRate
)

// budget is the bytes that may still be spent. What is urgent is always sent and
// may overdraw it; all else waits until it is positive again.
type budget struct {
	level float64 // bytes
	spent int64   // bytes, at the last call
	at    time.Time
}

// left returns what may be spent, given the bytes spent since the start.
func (b *budget) left(spent int64, now time.Time) int {
	if b.at.IsZero() {
		b.level, b.at = budgetBurst, now
	}
	b.level += budgetRate*now.Sub(b.at).Seconds() - float64(spent-b.spent)
	b.level = max(-budgetBurst, min(budgetBurst, b.level))
	b.at, b.spent = now, spent
	return int(b.level)
}
