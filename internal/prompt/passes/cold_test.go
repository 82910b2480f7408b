package passes

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A cold engine must read for others only where the warm ones don't suffice, and still gets prompts of
// its own.
func TestColdEnginesHelpLast(t *testing.T) {
	for name, c := range map[string]struct {
		warm, cold, tokens int
		usesCold           bool
	}{
		"warm engines suffice":       {warm: 8, cold: 8, tokens: 300_000},
		"warm engines don't suffice": {warm: 1, cold: 15, tokens: 300_000, usesCold: true},
		"a short prompt":             {cold: 2, tokens: 1000, usesCold: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			cold := map[string]bool{}
			p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0.3 }, Cold: func(name string) bool { return cold[name] }}, UsersFigures())
			var list []Engine
			for i := range c.warm + c.cold {
				e := Engine{Name: fmt.Sprintf("e-%02d", i), Address: fmt.Sprint(i)}
				cold[e.Name] = i < c.cold
				list = append(list, e)
			}
			p.SetEngines(list)
			ticket, err := p.Submit(Job{
				Tokens: c.tokens, MaxTokens: 500, Target: 4 * time.Second, Gap: time.Second, Tried: map[string]bool{},
				Arrived: now, Deadline: now.Add(20 * time.Second), CallerLeavesAt: now.Add(15 * time.Second),
			})
			if err != nil || !ticket.Placed() {
				t.Fatalf("not placed: %v", err)
			}
			usesCold := slices.ContainsFunc(ticket.engines, func(e *engine) bool { return cold[e.name] })
			if usesCold != c.usesCold {
				t.Errorf("uses cold engines: %v, want %v; %d engines", usesCold, c.usesCold, len(ticket.engines))
			}
		})
	}
}
