// Package passes places prompts on engines that work in passes: each pass writes a
// stride of tokens for all its streams, and reads what waits in between. It
// predicts passes from the engines' declared figures, so that a read never holds
// up the streams beside it for longer than they allow, and splits long reads over
// many engines. It is pure apart from its clock.
package passes

import (
	"math"
	"time"
)

// Figures are what the operator declares of a service's engines.
type Figures struct {
	Slots      int           // requests that run at once
	Memory     int           // tokens
	Stride     int           // steps of a pass with writers
	Chunk      int           // tokens read at most in a step
	Step       time.Duration // of a step, alone
	PerWriter  time.Duration // that a writer adds to a step
	PerContext time.Duration // that a thousand tokens of context add to a step
	ReadRate   float64       // tokens a second
	PerPairs   time.Duration // for a million pairs of a token and an earlier one
	PerHop     time.Duration // that helpers add to a step
}

const (
	thousand = 1e3
	million  = 1e6
)

// Read returns the time to read a prompt alone.
func (f *Figures) Read(tokens int) time.Duration {
	n := float64(tokens)
	return seconds(n/max(f.ReadRate, 1)) + time.Duration(n*n/2/million*float64(f.PerPairs))
}

// Pass returns the time of a pass with so many writers and their context, without
// what it reads. Without writers a pass writes nothing.
func (f *Figures) Pass(writers, context int) time.Duration {
	if writers == 0 {
		return 0
	}
	step := f.Step + time.Duration(writers)*f.PerWriter + time.Duration(float64(context)/thousand*float64(f.PerContext))
	return time.Duration(f.Stride) * step
}

// Write returns the time in which a stream of so many tokens is written in passes
// that take so long.
func (f *Figures) Write(tokens int, pass time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(tokens)/float64(max(f.Stride, 1)))) * pass
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
