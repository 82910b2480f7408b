package passes

import "time"

// UsersFigures returns the figures declared for the users' engines.
func UsersFigures() *Figures {
	return &Figures{
		Slots: 16, Memory: 450_000, Stride: 46, Chunk: 2048,
		Step: 925 * time.Microsecond, PerWriter: 4830 * time.Nanosecond, PerContext: 2540 * time.Nanosecond,
		ReadRate: 256_000, PerPairs: 91_700 * time.Nanosecond, PerHop: 100 * time.Microsecond,
	}
}
