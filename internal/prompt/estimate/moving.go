// Package estimate holds moving averages that decisions learn from.
package estimate

import (
	"math"
	"time"
)

// Moving is an exponentially weighted mean and mean deviation. Its first samples
// weigh as in a plain mean.
type Moving struct {
	window float64 // samples
	n      float64
	mean   float64
	dev    float64
	fresh  time.Time // of the last sample, or up to when the average was faded
}

// NewMoving returns an average over about the given number of samples.
func NewMoving(window float64) Moving { return Moving{window: window} }

// Add takes a sample.
func (m *Moving) Add(x float64) {
	m.n = min(m.n+1, m.window)
	w := 1 / m.n
	if m.n > 1 {
		m.dev += w * (math.Abs(x-m.mean) - m.dev)
	}
	m.mean += w * (x - m.mean)
}

// AddAt takes a sample of the time, for an average that fades.
func (m *Moving) AddAt(now time.Time, x float64) {
	m.fresh = now
	m.Add(x)
}

// Fade moves the average towards a value while no samples come: after the time
// quiet at first, and then by a factor of e in each further quiet. What was learned
// from a failure must not keep the work away that would show its end.
func (m *Moving) Fade(now time.Time, quiet time.Duration, towards float64) {
	over := now.Sub(m.fresh) - quiet
	if m.n == 0 || over <= 0 {
		return
	}
	keep := math.Exp(-over.Seconds() / quiet.Seconds())
	m.mean = towards + (m.mean-towards)*keep
	m.dev *= keep
	m.fresh = now.Add(-quiet)
}

// Samples returns how many samples came, up to the window.
func (m *Moving) Samples() int { return int(m.n) }

// Mean returns the mean, or the given value where no sample came.
func (m *Moving) Mean(otherwise float64) float64 {
	if m.n == 0 {
		return otherwise
	}
	return m.mean
}

// High returns the mean plus k mean deviations, or the given value where no sample came.
func (m *Moving) High(k, otherwise float64) float64 {
	if m.n == 0 {
		return otherwise
	}
	return m.mean + k*m.dev
}

// Meter measures a rate while something waits. Past amounts fade with tau.
type Meter struct {
	tau    time.Duration
	amount float64
	busy   float64 // seconds
	at     time.Time
	waits  bool
}

// NewMeter returns a meter that starts from a rate a second, which counts like
// weight of measuring.
func NewMeter(tau, weight time.Duration, rate float64) Meter {
	return Meter{tau: tau, amount: rate * weight.Seconds(), busy: weight.Seconds()}
}

// Advance moves to a time at which something waits or not.
func (m *Meter) Advance(now time.Time, waits bool) {
	if m.waits && now.After(m.at) {
		d := now.Sub(m.at)
		fade := math.Exp(-d.Seconds() / m.tau.Seconds())
		m.amount *= fade
		m.busy = m.busy*fade + d.Seconds()
	}
	m.at, m.waits = now, waits
}

// Add counts an amount that was served. It counts only while something waits.
func (m *Meter) Add(amount float64) {
	if m.waits {
		m.amount += amount
	}
}

// Rate returns the amount a second.
func (m *Meter) Rate() float64 {
	if m.busy == 0 {
		return 0
	}
	return m.amount / m.busy
}

// Flow measures the rate of what passes. What passed fades with tau.
type Flow struct {
	tau    time.Duration
	amount float64
	time   float64 // seconds that the amount passed in
	at     time.Time
}

// NewFlow returns a flow that starts from a rate a second, which counts like
// weight of measuring.
func NewFlow(tau, weight time.Duration, rate float64, now time.Time) Flow {
	return Flow{tau: tau, amount: rate * weight.Seconds(), time: weight.Seconds(), at: now}
}

// Add counts an amount.
func (f *Flow) Add(now time.Time, amount float64) {
	if d := now.Sub(f.at).Seconds(); d > 0 {
		fade := math.Exp(-d / f.tau.Seconds())
		f.amount, f.time, f.at = f.amount*fade, f.time*fade+d, now
	}
	f.amount += amount
}

// Rate returns the amount a second.
func (f *Flow) Rate(now time.Time) float64 {
	f.Add(now, 0)
	if f.time == 0 {
		return 0
	}
	return f.amount / f.time
}
