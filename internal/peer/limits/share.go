package limits

import "time"

const (
	// evenFraction is the fraction of a limit that is split evenly; the rest follows the demand.
	evenFraction = 0.2
	// startupFraction is the fraction of a limit that an entry takes during startupPeriod, as
	// it may not know the other entries yet.
	startupFraction = 1.0 / 64
	startupPeriod   = 3 * time.Second
	// A report reaches all entries within settleBase plus settlePerEntry for each entry.
	settleBase     = 3 * time.Second
	settlePerEntry = 300 * time.Millisecond
)

// SettleTime returns how long a report takes to reach all entries of a failure domain.
func SettleTime(entries int) time.Duration {
	return settleBase + settlePerEntry*time.Duration(entries)
}

// group is this entry's view of the entries that share a limit.
type group struct {
	reachable, known int  // numbers of reachable entries, and of all that may be serving
	starting         bool // this entry may not know the others yet
}

// reachablePart returns the part of a limit that the reachable entries have together.
// Unreachable ones may be serving and keep the rest.
func (g group) reachablePart(limit float64) float64 {
	return limit * float64(g.reachable) / float64(g.known)
}

// share returns this entry's share of a limit, given its own demand as known to all other
// entries, and theirs. The shares of entries with the same view add up to reachablePart.
func (g group) share(limit, own, others float64) float64 {
	if g.starting {
		return min(limit*startupFraction, g.reachablePart(limit)/float64(g.reachable))
	}
	reachable, even := g.reachablePart(limit), 1/float64(g.reachable)
	if own+others <= 0 {
		return reachable * even
	}
	return reachable * (evenFraction*even + (1-evenFraction)*own/(own+others))
}

// delayedRise is a value that follows increases only once they have lasted for a delay, and
// decreases at once. It is the minimum over three windows of half the delay each.
type delayedRise struct {
	lows     [3]float64 // minimum of each window, the current one first
	lowStart time.Time
}

// set records the current value.
func (h *delayedRise) set(v float64, delay time.Duration, now time.Time) {
	if h.lowStart.IsZero() {
		h.lowStart = now
	}
	for ; now.Sub(h.lowStart) >= delay/2; h.lowStart = h.lowStart.Add(delay / 2) {
		h.lows = [3]float64{v, h.lows[0], h.lows[1]}
		if now.Sub(h.lowStart) > 2*delay {
			h.lowStart = now
		}
	}
	h.lows[0] = min(h.lows[0], v)
}

// get returns the minimum over the windows.
func (h *delayedRise) get() float64 { return min(h.lows[0], h.lows[1], h.lows[2]) }

// delayedFall is a value that follows decreases only after a delay, and increases at once.
type delayedFall struct {
	value   float64
	updated time.Time
}

// set records the current value.
func (h *delayedFall) set(v float64, delay time.Duration, now time.Time) {
	if v >= h.value || now.Sub(h.updated) >= delay {
		h.value, h.updated = v, now
	}
}
