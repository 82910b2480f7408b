package passes

import (
	"fmt"
	"testing"
	"time"
)

// crowd is entries with a long prompt each that waits for the same engines.
type crowd struct {
	now      time.Time
	planners []*Planner
	tickets  []*Ticket
}

// newCrowd returns entries whose prompts are due one after the other. The engines read
// for a further entry.
func newCrowd(t *testing.T, entries, engines, tokens int) *crowd {
	t.Helper()
	c := &crowd{now: time.Unix(1_000_000, 0)}
	var list []Engine
	var busy []Send
	for i := range engines {
		name := fmt.Sprint("engine ", i)
		list = append(list, Engine{Name: name, Address: name})
		busy = append(busy, Send{Engine: name, Read: 5 * time.Second, At: c.now, Due: c.now.Add(5 * time.Second)})
	}
	for i := range entries {
		p := New(Settings{Service: "llm", Now: func() time.Time { return c.now }, Rand: func() float64 { return 0 }}, UsersFigures())
		p.SetEngines(list)
		p.Tell(map[string]Report{"reader": {Heard: c.now, Sends: busy}})
		ticket, err := p.Submit(Job{
			Tokens: tokens, MaxTokens: 1000, Target: 3 * time.Second, Gap: 800 * time.Millisecond,
			Arrived: c.now.Add(time.Duration(i) * time.Millisecond), Deadline: c.now.Add(15 * time.Second),
		})
		if err != nil || ticket.Placed() {
			t.Fatalf("prompt %d does not wait: %v", i, err)
		}
		c.planners, c.tickets = append(c.planners, p), append(c.tickets, ticket)
	}
	return c
}

// tell lets each entry hear of all others, in which the reader has ended.
func (c *crowd) tell(quiet ...int) {
	reports := map[string]Report{}
	for i, p := range c.planners {
		r := Report{Heard: c.now, Sends: p.Sends()}
		if w, ok := p.Wait(); ok {
			r.Waits = []Wait{w, {Service: "another", Due: c.now.Add(-time.Minute)}}
		}
		reports[fmt.Sprint(i)] = r
	}
	for _, i := range quiet {
		reports[fmt.Sprint(i)] = Report{Heard: c.now.Add(-2 * doubtAfter), Waits: reports[fmt.Sprint(i)].Waits}
	}
	for i, p := range c.planners {
		own := reports[fmt.Sprint(i)]
		delete(reports, fmt.Sprint(i))
		p.Tell(reports)
		reports[fmt.Sprint(i)] = own
	}
}

// placed looks at what waits and returns whose prompts have their engines.
func (c *crowd) placed() string {
	out := ""
	for i, p := range c.planners {
		if p.Dispatch(); c.tickets[i].Placed() {
			out += fmt.Sprint(i)
		}
	}
	return out
}

// Long prompts wait at many entries for the same engines. When these get free the
// entries take turns, by the time at which their prompts are due, and see what those
// before them took: they do not all send there at once.
func TestEntriesTakeTurns(t *testing.T) {
	c := newCrowd(t, 4, 12, 150_000)
	for turn, want := range []string{"0", "01", "012", "0123"} {
		c.tell()
		if got := c.placed(); got != want {
			t.Errorf("turn %d: placed prompts of %q, want %q", turn, got, want)
		}
		c.now = c.now.Add(turnTime)
	}
	c.tell()
	for _, e := range c.planners[3].engines {
		if n := len(e.others) + len(e.own); n != 1 {
			t.Errorf("%s reads for %d prompts, want one", e.name, n)
		}
	}
}

// An entry whose prompt goes first and can't use the room, or that is silent, holds the
// others up for a turn at most.
func TestTurnIsNotWaitedForLong(t *testing.T) {
	c := newCrowd(t, 2, 4, 70_000)
	c.planners[0].SetEngines(nil)
	c.tell()
	if got := c.placed(); got != "" {
		t.Errorf("placed prompts of %q before the turn of the first", got)
	}
	c.now = c.now.Add(turnTime)
	c.tell()
	if got := c.placed(); got != "1" {
		t.Errorf("placed prompts of %q after the turn of the first, want those of 1", got)
	}
	c = newCrowd(t, 2, 4, 70_000)
	c.tell(0)
	if c.planners[1].Dispatch(); !c.tickets[1].Placed() {
		t.Error("waits for the turn of an entry that is silent")
	}
}
