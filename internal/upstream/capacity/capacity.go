// Package capacity learns how long a server takes by how many requests run there, and from which
// number on a further request only waits. Each entry measures its own requests and reports the
// measurements, so that the entries together learn from all requests. It does no I/O.
package capacity

import (
	"math"
	"time"
)

const (
	// fadeTime is the time constant with which measurements lose weight. Shorter times leave too few
	// samples at a few requests a second; longer ones hide a server that recovers.
	fadeTime = 2500 * time.Millisecond
	// maxBinSamples bounds the weight of one number of running requests at one entry, so that a
	// server that changes its speed under much load is noticed after about as many requests.
	maxBinSamples = 32.0
	// minSamples is the weight below which a point is dropped.
	minSamples = 0.05
	// kneeEvidence is how much better a lower knee must explain the measurements, in chi-squared.
	// Measurements that scatter as exponential times do add 1 for each point.
	kneeEvidence = 4.0
	// peerTTL is the silence after which the load of another entry no longer counts.
	peerTTL = 3 * time.Second
	// fitInterval is the shortest time between fits to the measurements.
	fitInterval = 100 * time.Millisecond
	// fitPerPeer is added to it for each entry that reports, so that the cost doesn't grow with their
	// number.
	fitPerPeer = 500 * time.Microsecond
	// idleFitInterval is that without new measurements, whose weight fades all the same.
	idleFitInterval = 500 * time.Millisecond
	// recentWindow is the number of latest samples that show a change of the speed, and changeRatio
	// the ratio to the expected time above which, or below the inverse of which, they do.
	recentWindow = 6.0
	changeRatio  = 1.8
	// maxPeerShare bounds a reported number of requests, against a malformed report.
	maxPeerShare = 1 << 20
)

// steps are the numbers of running requests that are told apart. A measurement belongs to the first
// one that is not lower.
var steps = [...]int{1, 2, 3, 4, 5, 6, 8, 10, 12, 16, 20, 24, 32, 48, 64, 96}

func stepOf(running float64) int {
	for i, n := range steps {
		if running <= float64(n) {
			return i
		}
	}
	return len(steps) - 1
}

// Point is the mean time of requests that ran beside a number of others.
type Point struct {
	Step    int     // index of the number of running requests
	Samples float64 // weight, in requests
	Took    time.Duration
}

// Load is what an entry reports on one server.
type Load struct {
	Server string
	Tag    uint32  // identifies the address and incarnation
	Busy   float64 // requests of the entry that run there, averaged over a short time
	Points []Point
}

// Figures are what is known of a server.
type Figures struct {
	Base    time.Duration // time of a request that doesn't wait; 0 without samples
	Knee    float64       // number of running requests from which further ones only wait
	Samples float64       // weight of the measurements, in requests
}

// Expected returns the time of a request that runs as one of n.
func (f Figures) Expected(n float64) time.Duration {
	return time.Duration(float64(f.Base) * f.stretch(n))
}

// stretch returns how many times longer a request takes as one of n.
func (f Figures) stretch(n float64) float64 { return max(1, n/f.Knee) }

// bin sums up samples at one step.
type bin struct {
	samples float64
	mean    float64 // seconds
}

func (b *bin) add(samples, mean float64) {
	b.samples += samples
	b.mean += (mean - b.mean) * samples / b.samples
}

// peer is the latest load that another entry reported.
type peer struct {
	busy   float64
	points []Point
	at     time.Time
}

// Server is what an entry knows of one incarnation of a server. It is not safe for concurrent use.
type Server struct {
	slots     int
	bins      [len(steps)]bin // own samples
	fadedAt   time.Time
	recent    bin // ratios of the latest own samples to the expected times
	recentSum [len(steps)]bin
	peers     map[string]*peer
	busy      float64 // of all peers
	fit       Figures
	fitAt     time.Time
	dirty     bool
}

// New returns a server without measurements. Without declared slots any number may run there.
func New(slots int) *Server {
	s := &Server{slots: slots, peers: map[string]*peer{}}
	s.fit.Knee = s.maxKnee()
	return s
}

// SetSlots sets the declared slots.
func (s *Server) SetSlots(n int) {
	s.dirty = s.dirty || n != s.slots
	s.slots = n
}

func (s *Server) maxKnee() float64 {
	if s.slots <= 0 {
		return float64(steps[len(steps)-1])
	}
	return float64(s.slots)
}

// Add records an own request that was answered after a time beside others: running counts it, too.
func (s *Server) Add(now time.Time, running float64, took time.Duration) {
	s.fade(now)
	step := stepOf(running)
	if expected := s.fit.Expected(running); expected > 0 {
		s.noteRecent(step, took.Seconds(), took.Seconds()/expected.Seconds())
	}
	b := &s.bins[step]
	b.samples = min(b.samples, maxBinSamples-1)
	b.add(1, took.Seconds())
	s.dirty = true
}

// noteRecent replaces the own samples by the latest ones where those show that the speed has changed.
func (s *Server) noteRecent(step int, took, ratio float64) {
	s.recent.add(1, ratio)
	s.recentSum[step].add(1, took)
	if s.recent.samples < recentWindow {
		return
	}
	if m := s.recent.mean; m > changeRatio || m < 1/changeRatio {
		s.bins = s.recentSum
	}
	s.recent, s.recentSum = bin{}, [len(steps)]bin{}
}

func (s *Server) fade(now time.Time) {
	f := faded(now.Sub(s.fadedAt))
	for i := range s.bins {
		s.bins[i].samples *= f
	}
	s.fadedAt = now
}

func faded(age time.Duration) float64 { return math.Exp(-max(0, age).Seconds() / fadeTime.Seconds()) }

// Merge replaces what another entry reported on this server.
func (s *Server) Merge(entry string, l Load, now time.Time) {
	busy := min(max(0, l.Busy), maxPeerShare)
	p := s.peers[entry]
	if p == nil {
		p = &peer{}
		s.peers[entry] = p
	}
	s.busy += busy - p.busy
	*p = peer{busy: busy, points: l.Points, at: now}
	s.dirty = true
}

// Forget drops what an entry reported.
func (s *Server) Forget(entry string) {
	if p, ok := s.peers[entry]; ok {
		s.busy -= p.busy
		delete(s.peers, entry)
		s.dirty = true
	}
}

// Others returns the number of requests of the other entries that run at the server.
func (s *Server) Others() float64 { return max(0, s.busy) }

// Figures returns what is known at a time. It fits anew at most every fitInterval.
func (s *Server) Figures(now time.Time) Figures {
	age := now.Sub(s.fitAt)
	if age < fitInterval+time.Duration(len(s.peers))*fitPerPeer || age < idleFitInterval && !s.dirty {
		return s.fit
	}
	s.fitAt, s.dirty = now, false
	s.fade(now)
	sum := s.bins
	s.busy = 0
	for entry, p := range s.peers {
		old := now.Sub(p.at)
		if old > peerTTL {
			delete(s.peers, entry)
			continue
		}
		s.busy += p.busy
		f := faded(old)
		for _, q := range p.points {
			if q.Step >= 0 && q.Step < len(steps) && q.Samples > 0 {
				sum[q.Step].add(min(q.Samples, maxBinSamples)*f, q.Took.Seconds())
			}
		}
	}
	s.fit = fit(sum, s.maxKnee())
	return s.fit
}

// fit returns the figures that explain the measurements best. A lower knee than the highest possible
// one needs evidence.
func fit(bins [len(steps)]bin, most float64) Figures {
	best, lowest := fitKnee(bins, most)
	for i := len(steps) - 1; i >= 0; i-- {
		if k := float64(steps[i]); k < most {
			if f, err := fitKnee(bins, k); err < lowest-kneeEvidence {
				best, lowest = f, err
			}
		}
	}
	return best
}

// fitKnee returns the figures with a given knee and the error, in chi-squared.
func fitKnee(bins [len(steps)]bin, knee float64) (Figures, float64) {
	f := Figures{Knee: knee}
	sum, err := 0.0, 0.0
	for i, b := range bins {
		if b.samples >= minSamples {
			f.Samples += b.samples
			sum += b.samples * b.mean / f.stretch(float64(steps[i]))
		}
	}
	if f.Samples == 0 || sum == 0 {
		return f, 0
	}
	base := sum / f.Samples
	f.Base = time.Duration(base * float64(time.Second))
	for i, b := range bins {
		if b.samples >= minSamples {
			d := b.mean/(base*f.stretch(float64(steps[i]))) - 1
			err += b.samples * d * d
		}
	}
	return f, err
}

// Overdue returns what a request that still runs shows: that it takes at least as long as it has
// run. It shows nothing before twice the expected time.
func (s *Server) Overdue(running float64, age time.Duration) (Point, bool) {
	return Point{Step: stepOf(running), Samples: 1, Took: age}, s.fit.Base > 0 && age > 2*s.fit.Expected(running)
}

// Points returns the own measurements, for the report to the other entries.
func (s *Server) Points(now time.Time) []Point {
	s.fade(now)
	var out []Point
	for i, b := range s.bins {
		if b.samples >= minSamples {
			out = append(out, Point{Step: i, Samples: b.samples, Took: time.Duration(b.mean * float64(time.Second))})
		}
	}
	return out
}
