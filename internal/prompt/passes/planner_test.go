package passes

import (
	"fmt"
	"testing"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// In a large fleet a decision takes at most maxCandidates engines, those of the own failure
// domain first. Without the limit its time would grow with the fleet.
func TestCandidatesOfALargeFleetAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Domain: "own", Now: func() time.Time { return now }, Rand: func() float64 { return 0.7 }}, UsersFigures())
	var list []Engine
	for i := range 10 * maxCandidates {
		e := Engine{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Domain: "other"}
		if i%40 == 0 {
			e.Domain = "own"
		}
		list = append(list, e)
	}
	p.SetEngines(list)
	candidates := p.candidates(now)
	if len(candidates) != maxCandidates {
		t.Fatalf("%d candidates, want %d", len(candidates), maxCandidates)
	}
	for i, c := range candidates {
		if own := c.engine.domain == "own"; own != (i < len(list)/40) {
			t.Fatalf("candidate %d is of domain %s", i, c.engine.domain)
		}
	}
}

// A stream breaks off while all engines are full. It must wait for an engine until its
// caller leaves, and no longer.
func TestBrokenStreamWaitsUntilCallerLeaves(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	var full []Send
	for range UsersFigures().Slots {
		full = append(full, Send{Engine: "a", Context: 5000, Gap: 200 * time.Millisecond, Weight: 1, At: now, Writing: true})
	}
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: full}})
	job := Job{
		Tokens: 5000, MaxTokens: 1000, Target: 200 * time.Millisecond, Gap: 200 * time.Millisecond, Tried: map[string]bool{},
		Arrived: now, Deadline: now.Add(3 * time.Second), CallerLeavesAt: now.Add(2 * time.Second), Begun: true,
	}
	ticket, err := p.Submit(job)
	if err != nil {
		t.Fatal(err)
	}
	other, err := p.Submit(job)
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(1600 * time.Millisecond)
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: full[1:]}})
	p.Dispatch()
	if !ticket.Placed() || ticket.Err() != nil {
		t.Errorf("not placed when an engine had room: %v", ticket.Err())
	}
	now = now.Add(201 * time.Millisecond)
	p.Dispatch()
	if other.Placed() || other.Err() == nil {
		t.Error("still waiting after its caller left")
	}
}

// A prompt that no engine can take must be refused before its caller leaves, so that the
// caller can retry, even where its deadline is later.
func TestRefusedBeforeCallerLeaves(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: []Send{{Engine: "a", Read: 30 * time.Second, At: now, Due: now}}}})
	ticket, err := p.Submit(Job{
		Tokens: 5000, MaxTokens: 1000, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
		Arrived: now, Deadline: now.Add(10 * time.Second), CallerLeavesAt: now.Add(2 * time.Second),
	})
	if err != nil || ticket.Placed() {
		t.Fatalf("placed beside a long read, or refused at once: %v", err)
	}
	now = now.Add(2 * time.Second)
	if p.Dispatch(); ticket.Err() == nil {
		t.Error("still waiting after its caller left")
	}
}

// An engine fails with a long prompt during a burst. The prompt may have run and can't be
// refused for a retry, so it must wait for another engine until its caller leaves, not only
// for maxWaitShare of its time limit.
func TestPromptThatRanWaitsUntilCallerLeaves(t *testing.T) {
	for _, ran := range []bool{false, true} {
		start := time.Unix(1_000_000, 0)
		now := start.Add(5500 * time.Millisecond)
		p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
		p.SetEngines([]Engine{{Name: "failed", Address: "failed"}, {Name: "busy", Address: "busy"}})
		busy := func(sends ...Send) { p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: sends}}) }
		busy(Send{Engine: "busy", Read: 2 * time.Second, At: now, Due: now.Add(3 * time.Second)})
		ticket, err := p.Submit(Job{
			Tokens: 50_000, MaxTokens: 1000, Target: 4 * time.Second, Gap: 800 * time.Millisecond,
			Arrived: start, Deadline: start.Add(15 * time.Second), CallerLeavesAt: start.Add(14 * time.Second),
			MayHaveRun: ran, Tried: map[string]bool{"failed": true},
		})
		if !ran {
			if err == nil {
				t.Error("a prompt that did not run is kept waiting when it should have been refused")
			}
			continue
		}
		if err != nil || ticket.Placed() {
			t.Fatalf("placed beside a long read, or refused: %v", err)
		}
		now = now.Add(2 * time.Second)
		busy()
		if p.Dispatch(); !ticket.Placed() {
			t.Errorf("not placed when an engine became free: %v", ticket.Err())
		}
	}
}

// A prompt is too long to be read within pause limits while engines are busy with other long
// ones. It must be refused once it can't be on time rather than at the end of its wait, with
// a retry delay that still leaves time for the answer.
func TestTooLongToBeOnTimeIsRefusedEarly(t *testing.T) {
	for _, c := range []struct {
		engines int
		tokens  int
		gap     time.Duration
		waits   time.Duration // longest wait until it is refused; 0: refused by Submit
		late    bool          // it can still be placed after its target, so it waits for all of this
	}{
		{maxReaders, 1_000_000, 800 * time.Millisecond, 400 * time.Millisecond, false}, // 17 parts of 2.9 s
		{maxReaders, 629_942, 800 * time.Millisecond, 2500 * time.Millisecond, false},  // 17 parts of 1.2 s
		{6, 629_942, 800 * time.Millisecond, 600 * time.Millisecond, false},            // 6 parts of 3.4 s
		{4, 629_942, 800 * time.Millisecond, 0, false},                                 // 4 parts of 5.2 s
		{maxReaders, 400_000, 800 * time.Millisecond, 5250 * time.Millisecond, true},   // 17 parts of 0.5 s
		{maxReaders, 629_942, 2 * time.Second, 5250 * time.Millisecond, true},          // beside streams of the same pause limit
	} {
		start := time.Unix(1_000_000, 0)
		now := start
		p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
		var list []Engine
		var busy []Send
		for i := range c.engines {
			name := fmt.Sprint(i)
			list = append(list, Engine{Name: name, Address: name})
			busy = append(busy, Send{Engine: name, Read: 20 * time.Second, At: now, Due: now.Add(time.Minute)})
		}
		p.SetEngines(list)
		job := Job{
			Tokens: c.tokens, MaxTokens: 1000, Target: 4 * time.Second, Gap: c.gap,
			Arrived: now, Deadline: now.Add(15 * time.Second),
		}
		p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: busy}})
		ticket, err := p.Submit(job)
		for ; err == nil; err = ticket.Err() {
			now = now.Add(20 * time.Millisecond)
			p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: busy}})
			p.Dispatch()
		}
		waited := now.Sub(start)
		if waited > c.waits+20*time.Millisecond || ticket != nil && ticket.Placed() {
			t.Errorf("%d tokens at %d engines: refused after %s, want at most %s", c.tokens, c.engines, waited, c.waits)
		}
		if c.late && waited < c.waits {
			t.Errorf("%d tokens at %d engines: refused after %s, want to wait for %s", c.tokens, c.engines, waited, c.waits)
		}
		if back := now.Add(RetryAfter(err)); back.After(job.Deadline) {
			t.Errorf("%d tokens at %d engines: retry delay ends %s after its deadline", c.tokens, c.engines, back.Sub(job.Deadline))
		}
	}
}

// The report of a silent entry becomes stale: after a second its reads don't count any more,
// and its streams count until their predicted end. Where its whole failure domain is
// unreachable, its sends to the own domain don't count.
func TestReportOfSilentEntryIsStale(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	sends := []Send{
		{Engine: "own", Read: time.Second, At: start, Due: start.Add(3 * time.Second), Gap: 800 * time.Millisecond},
		{Engine: "own", Context: 5000, Gap: 200 * time.Millisecond, At: start, Writing: true, Ends: start.Add(1500 * time.Millisecond)},
	}
	for _, c := range []struct {
		name    string
		after   time.Duration
		domain  string // failure domain of the entry
		cut     bool   // no engine of domain "far" can be connected to
		streams int
		reads   bool
		why     StaleReason
	}{
		{"just received", 0, "far", false, 2, true, ""},
		{"a repeat is late", 400 * time.Millisecond, "far", false, 2, true, ""},
		{"a repeat is late, and its domain is unreachable", 400 * time.Millisecond, "far", true, 0, false, StaleUnreachable},
		{"a repeat is late, and another domain is unreachable", 400 * time.Millisecond, "own", true, 2, true, ""},
		{"silent for long", 1100 * time.Millisecond, "far", false, 1, false, StaleSilent},
		{"silent until its streams ended", 1600 * time.Millisecond, "far", false, 0, false, StaleSilent},
	} {
		now := start
		var why StaleReason
		p := New(Settings{
			Domain: "own", Now: func() time.Time { return now }, Rand: func() float64 { return 0 },
			Cut:           func(address string) bool { return c.cut && address == "far" },
			OnStaleChange: func(_ string, d StaleReason) { why = d },
		}, UsersFigures())
		p.SetEngines([]Engine{{Name: "own", Address: "own", Domain: "own"}, {Name: "far", Address: "far", Domain: "far"}})
		p.SetReports(map[string]Report{"other": {Domain: c.domain, ReceivedAt: start, Sends: sends}})
		now = start.Add(c.after)
		p.candidates(now)
		if l := p.byName["own"].load(now); l.usedSlots != c.streams || l.passReads > 0 != c.reads || why != c.why {
			t.Errorf("%s: %d streams, reads of %s, stale reason %q", c.name, l.usedSlots, l.passReads, why)
		}
	}
}

// A caller that retries has less time left than an answer of MaxTokens would take. It must be
// served if the expected answer ends in time.
func TestPlacedByExpectedLength(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		expected int
		left     time.Duration
		placed   bool
		refused  bool // by Submit
	}{
		{1500, 3 * time.Second, true, false},
		{3800, 4500 * time.Millisecond, false, false},
		{3800, 3 * time.Second, false, true},
	} {
		p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
		p.SetEngines([]Engine{{Name: "a", Address: "a"}})
		ticket, err := p.Submit(Job{
			Tokens: 5000, MaxTokens: 4002, ExpectedTokens: c.expected, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
			Arrived: now, Deadline: now.Add(c.left),
		})
		placed, refused := err == nil && ticket.Placed(), fault.Is(err, KindTooLate)
		if placed != c.placed || refused != c.refused {
			t.Errorf("%d tokens expected, %s left: placed %v, %v", c.expected, c.left, placed, err)
		}
	}
}

// Streams go to engines where they end together with others, which leaves other engines free
// for long reads.
func TestStreamsThatEndTogetherShareAnEngine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name     string
		expected int
		engine   string
	}{
		{"a long answer", 3800, "late"},
		{"a short answer", 400, "soon"}, // both engines are occupied for longer by it: the fuller one
	} {
		p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
		p.SetEngines([]Engine{{Name: "late", Address: "late"}, {Name: "soon", Address: "soon"}})
		stream := func(engine string, ends time.Duration) Send {
			return Send{Engine: engine, Context: 5000, Gap: 200 * time.Millisecond, Weight: 1, At: now, Writing: true, Ends: now.Add(ends)}
		}
		p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: []Send{
			stream("late", 5*time.Second), stream("soon", time.Second), stream("soon", time.Second),
		}}})
		ticket, err := p.Submit(Job{
			Tokens: 5000, MaxTokens: 4002, ExpectedTokens: c.expected, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
			Arrived: now, Deadline: now.Add(10 * time.Second),
		})
		if err != nil || !ticket.Placed() {
			t.Fatalf("%s: not placed: %v", c.name, err)
		}
		if got, _ := ticket.Engine(); got != c.engine {
			t.Errorf("%s goes to engine %q, want %q", c.name, got, c.engine)
		}
	}
}

// Short prompts come to several entries at the same time. They must not all take the last slot
// of the fullest engine while other engines have slots.
func TestLastSlotIsGivenOutLast(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	figures := UsersFigures()
	var running []Send
	for i := range figures.Slots + 2 {
		s := Send{Engine: "fullest", Context: 5000, Gap: 200 * time.Millisecond, Weight: 1, At: now, Writing: true, Ends: now.Add(3 * time.Second)}
		if i >= figures.Slots-1 {
			s.Engine = "fuller"
		}
		running = append(running, s)
	}
	job := Job{
		Tokens: 5000, MaxTokens: 1500, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
		Arrived: now, Deadline: now.Add(10 * time.Second),
	}
	at := map[string]int{}
	for range 2 {
		p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, figures)
		p.SetEngines([]Engine{{Name: "empty", Address: "empty"}, {Name: "fuller", Address: "fuller"}, {Name: "fullest", Address: "fullest"}})
		p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: running}})
		ticket, err := p.Submit(job)
		if err != nil || !ticket.Placed() {
			t.Fatalf("not placed: %v", err)
		}
		name, _ := ticket.Engine()
		at[name]++
	}
	if at["fuller"] != 2 {
		t.Errorf("prompts by engine %v, want both at the engine with two free slots", at)
	}
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, figures)
	p.SetEngines([]Engine{{Name: "fullest", Address: "fullest"}})
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: running}})
	if ticket, err := p.Submit(job); err != nil || !ticket.Placed() {
		t.Errorf("not placed where the last slot is the only one: %v", err)
	}
}

// placeShort places n short prompts on the planner's only engine and reports their first
// events.
func placeShort(t *testing.T, p *Planner, n int, now time.Time) []*Ticket {
	t.Helper()
	var placed []*Ticket
	for range n {
		ticket, err := p.Submit(Job{
			Tokens: 2000, MaxTokens: 1500, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
			Arrived: now, Deadline: now.Add(10 * time.Second),
		})
		if err != nil || !ticket.Placed() {
			t.Fatalf("a short prompt was not placed: %v", err)
		}
		p.FirstEvent(ticket)
		placed = append(placed, ticket)
	}
	return placed
}

// Short streams that are late already must not block long reads on their engine by their
// pause limits.
func TestLateStreamsAllowLongReads(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	short := placeShort(t, p, 3, now)
	long, err := p.Submit(Job{
		Tokens: 70_000, MaxTokens: 1000, Target: 3 * time.Second, Gap: 800 * time.Millisecond,
		Arrived: now, Deadline: now.Add(15 * time.Second),
	})
	if err != nil || long.Placed() {
		t.Fatalf("a read of %s is placed beside streams that allow 200 ms, or refused: %v", long.Read(), err)
	}
	for _, s := range short[1:] {
		p.MarkLate(s)
	}
	if p.Dispatch(); long.Placed() {
		t.Fatal("placed beside a stream that is on time")
	}
	p.MarkLate(short[0])
	if p.Dispatch(); !long.Placed() {
		t.Error("not placed beside streams that are late already")
	}
	for _, s := range p.Sends() {
		if s.Gap > 800*time.Millisecond {
			t.Errorf("a stream of %s allows pauses of %s", s.Engine, s.Gap)
		}
	}
}

// A prompt placed after its target, or whose first event comes after it, is late: it has the
// pause limit and weight of a late stream.
func TestFirstEventAfterTheTargetIsLate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	job := Job{Tokens: 2000, MaxTokens: 1500, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Arrived: now, Deadline: now.Add(10 * time.Second)}
	ticket, err := p.Submit(job)
	if err != nil {
		t.Fatal(err)
	}
	if got := p.Sends()[0].Gap; got != job.Gap {
		t.Errorf("a stream that may be on time allows %s, want %s", got, job.Gap)
	}
	now = now.Add(job.Target + time.Millisecond)
	p.FirstEvent(ticket)
	if got := p.Sends()[0]; got.Gap != defaultLongestGap || got.Weight != 0 {
		t.Errorf("a stream whose first event is late allows %s and has weight %v", got.Gap, got.Weight)
	}
	if _, err = p.Submit(job); err != nil {
		t.Fatal(err)
	}
	for _, s := range p.Sends() {
		if s.Gap != defaultLongestGap || s.Weight != 0 {
			t.Errorf("a stream placed late allows %s and has weight %v", s.Gap, s.Weight)
		}
	}
}

// The loss by a long read includes only streams that become late by it, not those that other
// reads make late anyway.
func TestAddedLossIsNotCountedTwice(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	pause := Send{Gap: 200 * time.Millisecond, Weight: 1, Writing: true}
	first := Send{Gap: 200 * time.Millisecond, Weight: 1, Due: now.Add(300 * time.Millisecond)}
	for _, c := range []struct {
		name   string
		stream Send
		reads  time.Duration // unfinished
		read   time.Duration
		harmed bool
	}{
		{"a pause stays short enough", pause, 0, 50 * time.Millisecond, false},
		{"a pause gets too long", pause, 0, 150 * time.Millisecond, true},
		{"a pause is too long already", pause, 300 * time.Millisecond, 150 * time.Millisecond, false},
		{"a first event stays in time", first, 0, 200 * time.Millisecond, false},
		{"a first event gets late", first, 0, 300 * time.Millisecond, true},
		{"a first event is late already", first, 400 * time.Millisecond, 300 * time.Millisecond, false},
	} {
		l := load{pass: 60 * time.Millisecond, passReads: c.reads, readBacklog: c.reads, streams: []Send{c.stream}}
		if got := l.addedLoss(c.read, now) > 0; got != c.harmed {
			t.Errorf("%s: harmed %v", c.name, got)
		}
	}
}

// A ticket lists the engines with the largest read budgets that were not chosen.
func TestTicketListsOtherEngines(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	var list []Engine
	var busy []Send
	for i := range 6 {
		name := fmt.Sprint(i)
		list = append(list, Engine{Name: name, Address: name})
		busy = append(busy, Send{Engine: name, Context: 5000, Gap: time.Duration(200+100*i) * time.Millisecond, Weight: 1, At: now, Writing: true})
	}
	p.SetEngines(list)
	p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: busy}})
	ticket, err := p.Submit(Job{
		Tokens: 1000, MaxTokens: 1000, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Arrived: now, Deadline: now.Add(10 * time.Second),
	})
	if err != nil {
		t.Fatal(err)
	}
	others := ticket.Decision().Others
	if len(others) != maxReportedOthers || others[0].Name != "5" || others[1].Name != "4" || others[2].Name != "3" {
		t.Fatalf("other engines: %v", others)
	}
	if got, want := others[0].String(), "5 streams=1 ahead=0s room=570ms"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// The number of engines to choose from follows the sends of other entries that can't be known
// yet, and not the number of entries.
func TestChoicesFollowUnknownSends(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct{ perSecond, want int }{{0, 1}, {40, 1}, {50, 2}, {300, 8}, {600, 15}} {
		for _, entries := range []int{4, 117, 1100} {
			p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }, Entries: func() int { return entries }}, UsersFigures())
			p.SetEngines([]Engine{{Name: "a", Address: "a"}})
			sends := []Send{{Engine: "a", Read: time.Second, At: now}, {Engine: "a", Gap: time.Second, At: now.Add(-rateWindow)}} // a helper's, and an older one
			for range c.perSecond {
				sends = append(sends, Send{Engine: "a", Gap: time.Second, At: now.Add(-rateWindow / 2)})
			}
			p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: sends}})
			if got := p.topCount(); got != c.want {
				t.Errorf("%d sends a second of %d entries: %d engines to choose from, want %d", c.perSecond, entries, got, c.want)
			}
		}
	}
}

// The longest read of an idle engine follows the longest pause that a route allows.
func TestIdleReadFollowsLongestPause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	for _, c := range []struct{ gap, want time.Duration }{
		{0, 700 * time.Millisecond}, {400 * time.Millisecond, 350 * time.Millisecond}, {time.Second, 875 * time.Millisecond},
	} {
		p.Configure(UsersFigures(), c.gap)
		if got := p.candidates(now)[0].readBudget; got != c.want {
			t.Errorf("longest pause %s: an idle engine reads for %s, want %s", c.gap, got, c.want)
		}
	}
}

// An entry stops while engines are full of long contexts. It placed streams that it could not end in time,
// by the passes of an engine without contexts and without the wait for one, and cut them.
func TestBoundedStreamsEndInTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New(Settings{Now: func() time.Time { return now }, Rand: func() float64 { return 0 }}, UsersFigures())
	p.SetEngines([]Engine{{Name: "a", Address: "a"}})
	contexts := func(tokens int) {
		p.SetReports(map[string]Report{"other": {ReceivedAt: now, Sends: []Send{{Engine: "a", Context: tokens, Gap: 800 * time.Millisecond, At: now, Ends: now.Add(time.Minute), Writing: true}}}})
	}
	job := Job{
		Tokens: 5000, MaxTokens: 40 * 46, Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond,
		Arrived: now, Deadline: now.Add(10 * time.Second), EndsBy: now.Add(3 * time.Second),
	}
	contexts(400_000)
	waiting, err := p.Submit(job)
	if err != nil || waiting.Placed() {
		t.Fatalf("placed where 40 passes take %s, or refused: %v", 40*UsersFigures().Pass(2, 405_000), err)
	}
	contexts(0)
	placed, err := p.Submit(job)
	if err != nil || !placed.Placed() {
		t.Fatalf("not placed on an engine that ends it in time: %v", err)
	}
	limit := p.Sends()[0].Gap
	if 40*limit > 3*time.Second {
		t.Errorf("its pauses may take %s, 40 of them more than the 3 s that are left", limit)
	}
	p.MarkLate(placed)
	if got := p.Sends()[0].Gap; got != limit {
		t.Errorf("it may pause for %s once it is late, %s before", got, limit)
	}
	if !p.EndsInTime(placed, now.Add(2*time.Second)) || p.EndsInTime(placed, now.Add(time.Second)) {
		t.Error("40 passes of 43 ms don't end between 1 and 2 s")
	}
	job.MaxTokens = 0
	if _, err := p.Submit(job); err == nil {
		t.Error("an answer of unknown length was admitted")
	}
	now = now.Add(1500 * time.Millisecond)
	if p.Dispatch(); waiting.Placed() || waiting.Err() == nil {
		t.Error("still waiting, or placed, when no engine ends it in time")
	}
}
