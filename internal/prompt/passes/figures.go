// Package passes places prompts on inference engines that work in passes: a pass generates
// (writes) a stride of tokens for every stream of the engine, and processes (reads) queued
// prompts in between, which delays the streams. The package predicts pass times from the
// declared figures of the engines, places prompts so that streams keep their pause limits,
// and splits long reads over several engines: one writes, the others help to read.
//
// Several entries place prompts on the same engines and report theirs to each other. The
// package does no I/O; time and randomness come from its Settings.
package passes

import (
	"math"
	"time"
)

// Figures are the declared performance figures of a service's engines.
type Figures struct {
	Slots      int           // requests running at once
	Memory     int           // tokens
	Stride     int           // steps of a pass, each of which writes a token for every stream
	Chunk      int           // most tokens read in a step
	Step       time.Duration // step time without streams
	PerWriter  time.Duration // added to a step by each stream
	PerContext time.Duration // added to a step by a thousand tokens of context
	ReadRate   float64       // tokens per second, without PerPairs
	PerPairs   time.Duration // added to a read by a million pairs of a token and an earlier one
	PerHop     time.Duration // added to a step by helpers
}

const (
	thousand = 1e3
	million  = 1e6
)

// Read returns the time to read a prompt on one idle engine.
func (f *Figures) Read(tokens int) time.Duration {
	n := float64(tokens)
	return seconds(n/max(f.ReadRate, 1)) + time.Duration(n*n/2/million*float64(f.PerPairs))
}

// Pass returns the time of a pass without reads, for a number of streams and their tokens
// of context. It is 0 without streams.
func (f *Figures) Pass(writers, context int) time.Duration {
	if writers == 0 {
		return 0
	}
	step := f.Step + time.Duration(writers)*f.PerWriter + time.Duration(float64(context)/thousand*float64(f.PerContext))
	return time.Duration(f.Stride) * step
}

// Write returns the time to write a number of tokens in passes of the given time.
func (f *Figures) Write(tokens int, pass time.Duration) time.Duration {
	return time.Duration(f.passes(tokens)) * pass
}

// passes returns the number of passes, and so of events, in which a number of tokens is written.
func (f *Figures) passes(tokens int) int {
	return int(math.Ceil(float64(tokens) / float64(max(f.Stride, 1))))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
