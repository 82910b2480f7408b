package limits

import "time"

const (
	// evenPart of a limit is split evenly; the rest follows the demand.
	evenPart = 0.2
	// startPart of a limit is what an entry takes until it knows the others.
	startPart = 1.0 / 64
	startFor  = 3 * time.Second
	// A report reaches all entries within settleBase and settlePerEntry for each.
	settleBase     = 3 * time.Second
	settlePerEntry = 300 * time.Millisecond
)

// SettleTime is how long a report takes to reach all entries of a failure domain.
func SettleTime(entries int) time.Duration {
	return settleBase + settlePerEntry*time.Duration(entries)
}

// group is the entries that share a limit, as this one sees them.
type group struct {
	reach, known int  // entries that can be reached, and all that may be serving
	starting     bool // this entry may not know the others yet
}

// part returns what of a limit the entries in reach have together. Those that are
// cut off keep the rest.
func (g group) part(limit float64) float64 {
	return limit * float64(g.reach) / float64(g.known)
}

// share returns what of a limit this entry has, from the demand that it has told
// all others and from theirs. Shares of entries with the same view sum up to the
// part that is in reach.
func (g group) share(limit, own, others float64) float64 {
	if g.starting {
		return min(limit*startPart, g.part(limit)/float64(g.reach))
	}
	part, even := g.part(limit), 1/float64(g.reach)
	if own+others <= 0 {
		return part * even
	}
	return part * (evenPart*even + (1-evenPart)*own/(own+others))
}

// lowHold is a value whose rise counts only after it was there for a time. Its
// fall counts at once.
type lowHold struct {
	blocks [3]float64 // lowest values, the running block first
	turned time.Time
}

// set notes the value that is told now.
func (h *lowHold) set(v float64, hold time.Duration, now time.Time) {
	if h.turned.IsZero() {
		h.turned = now
	}
	for ; now.Sub(h.turned) >= hold/2; h.turned = h.turned.Add(hold / 2) {
		h.blocks = [3]float64{v, h.blocks[0], h.blocks[1]}
		if now.Sub(h.turned) > 2*hold {
			h.turned = now
		}
	}
	h.blocks[0] = min(h.blocks[0], v)
}

// get returns the lowest value of the time.
func (h *lowHold) get() float64 { return min(h.blocks[0], h.blocks[1], h.blocks[2]) }

// highHold is a value whose fall counts only after a time. Its rise counts at once.
type highHold struct {
	value float64
	at    time.Time
}

// set notes the newest value.
func (h *highHold) set(v float64, hold time.Duration, now time.Time) {
	if v >= h.value || now.Sub(h.at) >= hold {
		h.value, h.at = v, now
	}
}
