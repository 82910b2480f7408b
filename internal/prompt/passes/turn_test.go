package passes

import (
	"fmt"
	"testing"
	"time"
)

// contention is a set of entries, each with a long prompt that waits for the same engines.
type contention struct {
	now      time.Time
	planners []*Planner
	tickets  []*Ticket
}

// newContention returns entries whose prompts are due one after the other. All engines are
// busy with reads of a further entry.
func newContention(t *testing.T, entries, engines, tokens int) *contention {
	t.Helper()
	c := &contention{now: time.Unix(1_000_000, 0)}
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
		p.SetReports(map[string]Report{"reader": {ReceivedAt: c.now, Sends: busy}})
		ticket, err := p.Submit(Job{
			Tokens: tokens, MaxTokens: 1000, Target: 3 * time.Second, Gap: 800 * time.Millisecond,
			Arrived: c.now.Add(time.Duration(i) * time.Millisecond), Deadline: c.now.Add(15 * time.Second),
		})
		if err != nil || ticket.Placed() {
			t.Fatalf("prompt %d is not waiting: %v", i, err)
		}
		c.planners, c.tickets = append(c.planners, p), append(c.tickets, ticket)
	}
	return c
}

// exchangeReports gives each entry the reports of all others, without the reads of the
// further entry. The reports of silent entries are stale.
func (c *contention) exchangeReports(silent ...int) {
	reports := map[string]Report{}
	for i, p := range c.planners {
		r := Report{ReceivedAt: c.now, Sends: p.Sends()}
		if w, ok := p.Wait(); ok {
			r.Waits = []Wait{w, {Service: "another", Due: c.now.Add(-time.Minute)}}
		}
		reports[fmt.Sprint(i)] = r
	}
	for _, i := range silent {
		reports[fmt.Sprint(i)] = Report{ReceivedAt: c.now.Add(-2 * silentTimeout), Waits: reports[fmt.Sprint(i)].Waits}
	}
	for i, p := range c.planners {
		own := reports[fmt.Sprint(i)]
		delete(reports, fmt.Sprint(i))
		p.SetReports(reports)
		reports[fmt.Sprint(i)] = own
	}
}

// dispatch runs Dispatch at each entry and returns the numbers of entries whose prompt is
// placed.
func (c *contention) dispatch() string {
	out := ""
	for i, p := range c.planners {
		if p.Dispatch(); c.tickets[i].Placed() {
			out += fmt.Sprint(i)
		}
	}
	return out
}

// Long prompts wait at several entries for the same engines. When these become free, the
// entries must place them one after the other by due time, each with the reports of the
// previous ones. Otherwise all would send to the same engines at once.
func TestEntriesTakeTurns(t *testing.T) {
	c := newContention(t, 4, 12, 150_000)
	for turn, want := range []string{"0", "01", "012", "0123"} {
		c.exchangeReports()
		if got := c.dispatch(); got != want {
			t.Errorf("turn %d: placed prompts of %q, want %q", turn, got, want)
		}
		c.now = c.now.Add(turnDuration)
	}
	c.exchangeReports()
	for _, e := range c.planners[3].engines {
		if n := len(e.otherSends) + len(e.ownSends); n != 1 {
			t.Errorf("%s reads for %d prompts, want one", e.name, n)
		}
	}
}

// An entry whose prompt is due first but can't use the engines delays the others by one turn
// at most, a silent entry not at all.
func TestTurnWaitIsBounded(t *testing.T) {
	c := newContention(t, 2, 4, 70_000)
	c.planners[0].SetEngines(nil)
	c.exchangeReports()
	if got := c.dispatch(); got != "" {
		t.Errorf("placed prompts of %q before the turn of the first", got)
	}
	c.now = c.now.Add(turnDuration)
	c.exchangeReports()
	if got := c.dispatch(); got != "1" {
		t.Errorf("placed prompts of %q after the turn of the first, want those of 1", got)
	}
	c = newContention(t, 2, 4, 70_000)
	c.exchangeReports(0)
	if c.planners[1].Dispatch(); !c.tickets[1].Placed() {
		t.Error("waits for a turn of a silent entry")
	}
}
