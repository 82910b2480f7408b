package passes

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

func shortJob(now time.Time) Job {
	return Job{Tokens: 5000, MaxTokens: 1000, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Arrived: now, Deadline: now.Add(10 * time.Second)}
}

// A waiting prompt must be refused at once when the last engine that it may use is evacuated, and not
// before.
func TestWaitingPromptOfEvacuatedEngines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	engines := []Engine{{Name: "a", Address: "a", Domain: "a"}, {Name: "b", Address: "b", Domain: "b"}, {Name: "c", Address: "c", Domain: "c", Leaving: true}}
	p.SetEngines(engines)
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: []Send{
		{Engine: "a", Read: 30 * time.Second, At: now, Due: now}, {Engine: "b", Read: 30 * time.Second, At: now, Due: now},
	}}})
	ticket, err := p.Submit(shortJob(now))
	is.NoErr(err)
	is.True(!ticket.Placed())
	bound := shortJob(now)
	bound.Allows = func(domain string) bool { return domain == "a" }
	boundTicket, err := p.Submit(bound)
	is.NoErr(err)

	engines[0].Evacuated = true
	p.SetEngines(engines)
	p.Dispatch()
	is.True(fault.Is(boundTicket.Err(), KindNoEngine))
	is.NoErr(ticket.Err())
	engines[1].Evacuated = true
	p.SetEngines(engines)
	p.Dispatch()
	is.True(fault.Is(ticket.Err(), KindNoEngine))
	is.Equal(RetryAfter(ticket.Err()), time.Second)
	_, err = p.Submit(shortJob(now))
	is.True(fault.Is(err, KindNoEngine))
	is.True(p.Stays(func(name, _ string) bool { return name == "a" })) // a stream that has begun waits for it
	is.True(!p.Stays(func(name, _ string) bool { return name == "c" }))
}

// In a large fleet the engines of the home regions may be few, and none of the own failure domain. A
// prompt must find them, for its writer and for its helpers.
func TestHomesInALargeFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Domain: "own", Now: func() time.Time { return now }, Rand: func() float64 { return 0.7 }}, UsersFigures())
	var list []Engine
	for i := range 10 * maxCandidates {
		e := Engine{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Domain: "own"}
		if i%40 == 0 {
			e.Domain = "home"
		}
		list = append(list, e)
	}
	p.SetEngines(list)
	for _, tokens := range []int{5000, 200_000} {
		j := shortJob(now)
		j.Tokens, j.Target, j.Gap, j.Deadline = tokens, 4*time.Second, 800*time.Millisecond, now.Add(30*time.Second)
		j.Allows = func(domain string) bool { return domain == "home" }
		is.True(p.Admits(j))
		ticket, err := p.Submit(j)
		is.NoErr(err)
		is.True(ticket.Placed())
		is.Equal(len(ticket.Helpers()) > 0, tokens > 5000)
		for _, e := range ticket.engines {
			is.Equal(e.domain, "home")
		}
	}
}
