// Package estimate provides moving averages and rates of measured values.
package estimate

import (
	"math"
	"time"
)

// Moving is an exponentially weighted moving average with its mean deviation. Until
// the window is full, all samples have equal weight.
type Moving struct {
	window  float64 // samples
	n       float64 // samples so far, up to window
	mean    float64
	dev     float64   // mean deviation
	updated time.Time // time of the last sample; Fade moves it on
}

// NewMoving returns an average over about window samples.
func NewMoving(window float64) Moving { return Moving{window: window} }

// Add adds a sample.
func (m *Moving) Add(x float64) {
	m.n = min(m.n+1, m.window)
	w := 1 / m.n
	if m.n > 1 {
		m.dev += w * (math.Abs(x-m.mean) - m.dev)
	}
	m.mean += w * (x - m.mean)
}

// AddAt adds a sample with its time, as Fade needs it.
func (m *Moving) AddAt(now time.Time, x float64) {
	m.updated = now
	m.Add(x)
}

// Fade decays the average towards a value once no sample has come for idle, by a
// factor of e in each further idle. Otherwise an average raised by a failure would
// keep away the work whose samples show that the failure is over.
func (m *Moving) Fade(now time.Time, idle time.Duration, towards float64) {
	overdue := now.Sub(m.updated) - idle
	if m.n == 0 || overdue <= 0 {
		return
	}
	decay := math.Exp(-overdue.Seconds() / idle.Seconds())
	m.mean = towards + (m.mean-towards)*decay
	m.dev *= decay
	m.updated = now.Add(-idle)
}

// Samples returns the number of samples added, up to the window.
func (m *Moving) Samples() int { return int(m.n) }

// Mean returns the mean, or fallback without samples.
func (m *Moving) Mean(fallback float64) float64 {
	if m.n == 0 {
		return fallback
	}
	return m.mean
}

// High returns the mean plus k mean deviations, or fallback without samples.
func (m *Moving) High(k, fallback float64) float64 {
	if m.n == 0 {
		return fallback
	}
	return m.mean + k*m.dev
}

// Meter measures a service rate, only over the time in which there is a backlog. Past
// amounts decay with the time constant tau.
type Meter struct {
	tau        time.Duration
	amount     float64
	seconds    float64 // measured time with a backlog, decayed as the amount is
	at         time.Time
	backlogged bool
}

// NewMeter returns a meter with an initial rate per second, which counts as much as
// a measurement over the time weight.
func NewMeter(tau, weight time.Duration, rate float64) Meter {
	return Meter{tau: tau, amount: rate * weight.Seconds(), seconds: weight.Seconds()}
}

// Advance moves the meter to a time, from which on there is a backlog or not.
func (m *Meter) Advance(now time.Time, backlogged bool) {
	if m.backlogged && now.After(m.at) {
		d := now.Sub(m.at)
		decay := math.Exp(-d.Seconds() / m.tau.Seconds())
		m.amount *= decay
		m.seconds = m.seconds*decay + d.Seconds()
	}
	m.at, m.backlogged = now, backlogged
}

// Add counts an amount that was served. Without a backlog it is ignored.
func (m *Meter) Add(amount float64) {
	if m.backlogged {
		m.amount += amount
	}
}

// Rate returns the amount per second.
func (m *Meter) Rate() float64 {
	if m.seconds == 0 {
		return 0
	}
	return m.amount / m.seconds
}

// Flow measures a rate over all time, unlike Meter. Past amounts decay with the time
// constant tau.
type Flow struct {
	tau     time.Duration
	amount  float64
	seconds float64 // measured time, decayed as the amount is
	at      time.Time
}

// NewFlow returns a flow with an initial rate per second, which counts as much as a
// measurement over the time weight.
func NewFlow(tau, weight time.Duration, rate float64, now time.Time) Flow {
	return Flow{tau: tau, amount: rate * weight.Seconds(), seconds: weight.Seconds(), at: now}
}

// Add counts an amount.
func (f *Flow) Add(now time.Time, amount float64) {
	if d := now.Sub(f.at).Seconds(); d > 0 {
		decay := math.Exp(-d / f.tau.Seconds())
		f.amount, f.seconds, f.at = f.amount*decay, f.seconds*decay+d, now
	}
	f.amount += amount
}

// Rate returns the amount per second.
func (f *Flow) Rate(now time.Time) float64 {
	f.Add(now, 0)
	if f.seconds == 0 {
		return 0
	}
	return f.amount / f.seconds
}
