// Package intake bounds the memory of request bodies. Bodies take memory as they arrive. Where it
// runs short, new bodies wait, and the slowest and largest unfinished ones are evicted.
package intake

import (
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindNoMemory marks a body for which no memory became free in time.
	KindNoMemory Kind = "no memory"
	// KindEvicted marks an unfinished body whose memory others needed.
	KindEvicted Kind = "evicted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("intake")

const (
	// nearShare is the share of the budget from which new bodies wait, and clearShare the one below
	// which memory is no longer short.
	nearShare  = 0.875
	clearShare = 0.75
	// waitTimeout is how long a body waits for memory. Callers give up after a second.
	waitTimeout = 700 * time.Millisecond
	// stalledAfter is the time without content from which a waiting new body may evict another one.
	// A caller that sends loses a packet and repeats it within this time.
	stalledAfter = 400 * time.Millisecond
	// scoreOffset keeps the size decisive among bodies that all have just got content.
	scoreOffset = 20 * time.Millisecond
	// waitStep is how often a waiting body looks for one to evict.
	waitStep = 20 * time.Millisecond
)

// Settings configure a Memory.
type Settings struct {
	Most    int64 // bytes of all bodies together
	Now     func() time.Time
	After   func(time.Duration) <-chan time.Time
	Changed func(short bool, st State) // called when memory becomes short and when it no longer is
}

// State is the state of a Memory.
type State struct {
	Most       int64 `json:"most"`       // bytes
	Used       int64 `json:"used"`       // bytes
	Unfinished int   `json:"unfinished"` // bodies that are still arriving
	Short      bool  `json:"short"`      // new bodies wait
	Evicted    int64 `json:"evicted"`    // bodies since the start
	Refused    int64 `json:"refused"`    // bodies that got no memory, since the start
}

// Memory is the memory of all request bodies. It is safe for concurrent use.
type Memory struct {
	cfg Settings

	mu         sync.Mutex
	used       int64
	short      bool
	unfinished map[*Body]bool
	byAddress  map[string]int64 // bytes of unfinished and finished bodies
	freed      chan struct{}    // closed when memory becomes free
	evicted    int64
	refused    int64
}

// New returns a Memory with nothing taken.
func New(cfg Settings) *Memory {
	return &Memory{cfg: cfg, unfinished: map[*Body]bool{}, byAddress: map[string]int64{}, freed: make(chan struct{})}
}

// State returns the state.
func (m *Memory) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state()
}

func (m *Memory) state() State {
	return State{Most: m.cfg.Most, Used: m.used, Unfinished: len(m.unfinished), Short: m.short, Evicted: m.evicted, Refused: m.refused}
}

// Body is the memory of one request body. Its methods must be called in one goroutine at a time,
// except Evicted.
type Body struct {
	m        *Memory
	address  string // of the caller, without port
	evict    func() // ends the read in progress
	held     int64  // bytes
	progress time.Time
	evicted  bool
	evicting chan struct{} // closed when evicted
}

// Open begins a body of a caller's address. Where memory is short, it waits. evict is called at most
// once, with no lock held, and must end the read in progress. The error has KindNoMemory.
func (m *Memory) Open(address string, evict func()) (*Body, error) {
	b := &Body{m: m, address: address, evict: evict, progress: m.cfg.Now(), evicting: make(chan struct{})}
	if err := b.wait(func() bool { return float64(m.used) < nearShare*float64(m.cfg.Most) }, false); err != nil {
		return nil, err
	}
	return b, nil
}

// Take takes n further bytes and waits for them if others must be evicted. The error has KindNoMemory or
// KindEvicted.
func (b *Body) Take(n int) error {
	return b.wait(func() bool {
		if b.m.used+int64(n) > b.m.cfg.Most {
			return false
		}
		b.add(int64(n))
		return true
	}, true)
}

// wait waits until ok, which is called with the lock held, and evicts other bodies meanwhile: stalled
// ones only, or any if anyBody is set.
func (b *Body) wait(ok func() bool, anyBody bool) error {
	m := b.m
	start := m.cfg.Now()
	for {
		m.mu.Lock()
		if b.evicted {
			m.mu.Unlock()
			return fault.New(&class, "take memory", KindEvicted, nil)
		}
		if ok() {
			m.unfinished[b] = true
			report := m.updateShort()
			m.mu.Unlock()
			report()
			return nil
		}
		if m.cfg.Now().Sub(start) >= waitTimeout {
			m.refused++
			m.mu.Unlock()
			return fault.New(&class, "take memory", KindNoMemory, nil)
		}
		victim := m.victim(anyBody)
		freed := m.freed
		if victim != nil {
			victim.evicted = true
			close(victim.evicting)
			m.evicted++
		}
		report := m.updateShort()
		m.mu.Unlock()
		report()
		if victim != nil {
			victim.evict()
		}
		if victim == b {
			continue
		}
		select {
		case <-freed:
		case <-b.evicting:
		case <-m.cfg.After(waitStep):
		}
	}
}

// victim returns the unfinished body to evict, or nil: none while one that was chosen still
// holds its memory. It is one of the address that holds the most, and of these the one with the
// largest product of its size and its time without content. m.mu must be held.
func (m *Memory) victim(anyBody bool) *Body {
	var (
		best  *Body
		score float64
		now   = m.cfg.Now()
	)
	for c := range m.unfinished {
		if c.evicted {
			return nil
		}
		idle := now.Sub(c.progress)
		if c.held == 0 || !anyBody && idle < stalledAfter {
			continue
		}
		s := float64(c.held) * (idle + scoreOffset).Seconds()
		most, own := m.byAddress[c.address], int64(0)
		if best != nil {
			own = m.byAddress[best.address]
		}
		if best == nil || most > own || most == own && s > score {
			best, score = c, s
		}
	}
	return best
}

// updateShort updates whether memory is short and returns a function that reports a change, to be
// called without the lock. m.mu must be held.
func (m *Memory) updateShort() func() {
	used, most := float64(m.used), float64(m.cfg.Most)
	switch {
	case !m.short && used >= nearShare*most:
		m.short = true
	case m.short && used < clearShare*most:
		m.short = false
	default:
		return func() {}
	}
	st := m.state()
	return func() { m.cfg.Changed(st.Short, st) }
}

// add adds n bytes, which may be negative. m.mu must be held.
func (b *Body) add(n int64) {
	m := b.m
	b.held += n
	m.used += n
	if m.byAddress[b.address] += n; m.byAddress[b.address] == 0 {
		delete(m.byAddress, b.address)
	}
	if n < 0 {
		close(m.freed)
		m.freed = make(chan struct{})
	}
}

// Evicted reports whether the body was evicted.
func (b *Body) Evicted() bool {
	select {
	case <-b.evicting:
		return true
	default:
		return false
	}
}

// Progress notes that content arrived at the given time.
func (b *Body) Progress(at time.Time) {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	b.progress = at
}

// Finish ends the arrival of the body, of which n bytes stay held until Release. It reports false if
// the body was evicted before.
func (b *Body) Finish(n int) bool {
	b.m.mu.Lock()
	if b.evicted {
		b.m.mu.Unlock()
		return false
	}
	delete(b.m.unfinished, b)
	if extra := b.held - int64(n); extra > 0 {
		b.add(-extra)
	}
	report := b.m.updateShort()
	b.m.mu.Unlock()
	report()
	return true
}

// Release frees all that the body holds. Further calls have no effect.
func (b *Body) Release() {
	b.m.mu.Lock()
	delete(b.m.unfinished, b)
	if b.held > 0 {
		b.add(-b.held)
	}
	report := b.m.updateShort()
	b.m.mu.Unlock()
	report()
}
