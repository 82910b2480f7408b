package quarantine

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

const (
	shared = segment.ID(1)
	deadly = segment.ID(2)
	other  = segment.ID(3)
	// passTime separates crashes: an engine reads a prompt for a pass or longer.
	passTime = 60 * time.Millisecond
)

// lastDigest is the digest of the latest request; segments of tests are below.
var lastDigest = segment.ID(1 << 60)

// watch starts an attempt of a request that differs from all others.
func (q *Tracker) watch(list segment.List, abort func()) *Attempt {
	lastDigest++
	a, _ := q.Watch(list, lastDigest, abort)
	return a
}

// fleet is a number of trackers, each of which gets the reports of all others.
type fleet []*Tracker

func newFleet(n int) fleet {
	out := make(fleet, n)
	for i := range out {
		out[i] = New(Settings{
			Now: time.Now, Rand: func() float64 { return 0.5 }, Entries: func() int { return n }, Changed: func() {}, Log: log.New(io.Discard),
		})
	}
	return out
}

// exchange passes on all reports, and again what they change.
func (f fleet) exchange() {
	for range 2 {
		for i, from := range f {
			r := from.Report()
			if len(r.Crashes)+len(r.Answers)+len(r.Verdicts) == 0 {
				continue
			}
			for j, to := range f {
				if i != j {
					to.Merge(r)
				}
			}
		}
	}
}

// crash lets an engine crash under those prompts that are sent, as the tracker sees it, and returns their
// number.
func (q *Tracker) crash(engine string, suspect bool, prompts ...segment.List) (sent int) {
	now := time.Now()
	for _, list := range prompts {
		if a := q.watch(list, func() {}); a != nil {
			a.Crashed(engine, now, suspect)
			a.End(false)
			sent++
		}
	}
	return sent
}

// crashUnder lets an upstream crash under a request that may have begun to run.
func (q *Tracker) crashUnder(upstream string, digest segment.ID, segments ...segment.ID) {
	if a, _ := q.Watch(segments, digest, func() {}); a != nil {
		a.Crashed(upstream, time.Now(), true)
		a.End(false)
	}
}

// crashTwice lets two engines crash under a prompt as a suspect, and waits until that is weighed.
func (q *Tracker) crashTwice(list segment.List) {
	for i := range 2 {
		time.Sleep(passTime)
		q.crash(fmt.Sprint(i), true, list)
	}
	settle()
}

// crashEach lets engines crash under prompts with the given segments, as some entries in turn see it.
func (f fleet) crashEach(n int, list segment.List) {
	for i := range n {
		time.Sleep(passTime)
		f[i].crash(fmt.Sprint(i), true, list)
		f.exchange()
	}
}

// answer answers a prompt and reports whether it was sent.
func (q *Tracker) answer(list ...segment.ID) bool {
	a := q.watch(list, func() {})
	if a != nil {
		a.End(true)
	}
	return a != nil
}

// settle lets the trackers hold what crashes speak against.
func settle() {
	time.Sleep(2 * settleDelay)
	synctest.Wait()
}

// Two segments are in all prompts that crash engines, and neither was ever answered. Holding both
// would take from callers what only one of them does.
func TestFewestSegmentsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		q.crashTwice(segment.List{shared, deadly})
		is.Equal(q.HeldSegments(), segment.List{deadly})
		is.True(q.answer(shared, other))

		// Had it been the one that more prompts have, those without the other go on to crash engines.
		q = newFleet(1)[0]
		for i := range 3 {
			time.Sleep(passTime)
			q.crash(fmt.Sprint(i), true, segment.List{shared, deadly + segment.ID(i/2)})
			settle()
		}
		is.True(!q.answer(shared))
	})
}

// Neither segment that all crashes have in common was answered yet, and the sound one stands behind the
// deadly one. Holding it alone explains all crashes, so that the deadly one is never held, and prompts
// with the sound one, which would show that it is sound, are refused for minutes.
func TestUnansweredSegmentBesideDeadlyOneIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		f.crashEach(3, segment.List{deadly, shared})
		settle()
		for _, q := range f {
			is.True(!q.answer(deadly, shared))
		}
		is.True(f[3].answer(shared, other)) // at an entry that saw no crash
		f.exchange()
		settle()
		for _, q := range f {
			is.Equal(q.HeldSegments(), segment.List{deadly})
			is.True(q.answer(shared))
			is.True(!q.answer(deadly, other))
		}
	})
}

// A deadly segment comes with another unanswered one each time. Each combination costs a crash, so that
// engines would go on to crash if the deadly segment were never held by itself.
func TestDeadlySegmentBesideChangingOnesIsHeld(t *testing.T) {
	for _, repeats := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2)
			crashes := 0
			for i := range 200 {
				time.Sleep(passTime)
				crashes += f[i%2].crash(fmt.Sprint(i), true, segment.List{deadly, segment.ID(100 + i/repeats)})
				f.exchange()
				settle()
			}
			is.True(crashes <= 5+3) // the users accept five crashes and three more requests
			for _, q := range f {
				is.True(slices.Contains(q.HeldSegments(), deadly))
				is.True(!q.answer(deadly, other))
				is.True(q.answer(100))
			}
		})
	}
}

// Two segments are deadly, beside one that all prompts share and that was not answered yet. Holding
// the shared one by itself, which all crashes have in common, would refuse all sound prompts for minutes.
func TestTwoDeadlySegmentsBesideUnansweredOneAreHeld(t *testing.T) {
	const secondDeadly = segment.ID(4)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		crashes := 0
		crash := func(i int) {
			time.Sleep(passTime)
			list := segment.List{[]segment.ID{deadly, secondDeadly}[i/2%2], shared}
			crashes += f[i%2].crash(fmt.Sprint(i), true, list)
			f.exchange()
			settle()
		}
		for i := range 8 {
			crash(i)
		}
		time.Sleep(minDoubtProbeDelay + 2*time.Duration(len(f))*meanDoubtProbeDelay)
		is.True(f[0].answer(shared, other))
		f.exchange()
		for i := range 8 {
			crash(i)
		}
		is.True(crashes <= 5)
		for _, q := range f {
			is.Equal(q.HeldSegments(), segment.List{deadly, secondDeadly})
			is.True(q.answer(shared))
		}
	})
}

// A probe is at an engine when another answer or crash changes what is known of the hold. Aborting it
// would take away the answer that it was sent for.
func TestProbeIsNotAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		for i := range 3 {
			time.Sleep(passTime)
			q.crash(fmt.Sprint(i), true, segment.List{deadly + segment.ID(100*i), shared})
			settle()
		}
		time.Sleep(minDoubtProbeDelay + 2*meanDoubtProbeDelay)
		aborted := false
		probe := q.watch(segment.List{shared, other}, func() { aborted = true })
		is.True(probe != nil)
		q.crash("elsewhere", true, segment.List{50, 51})
		is.True(q.answer(52))
		settle()
		is.True(!aborted)
		probe.End(true)
		is.Equal(q.HeldSegments(), segment.List{})
	})
}

// An entry of an earlier version holds the sound one of two unanswered segments, in all prompts. Entries that
// saw the crashes must let sound prompts through, and their answers end the hold everywhere.
func TestHoldOfEarlierVersionIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		f.crashEach(2, segment.List{shared, deadly})
		earlier := Report{Verdicts: []Verdict{{Segment: shared, Term: 1}}}
		for _, q := range f {
			q.Merge(earlier)
		}
		settle()
		is.True(!f[0].answer(shared, deadly))
		is.True(f[0].answer(shared))
		f.exchange()
		settle()
		for _, q := range f {
			q.Merge(earlier)
			is.Equal(q.HeldSegments(), segment.List{deadly})
			is.True(q.answer(shared))
		}
		is.True(slices.Contains(f[1].Report().Verdicts, Verdict{Segment: shared, Term: 2}))
	})
}

// Crashes follow each other sooner than entries take to object, and with each of them the hold was put
// off, until the shared segment, which was answered just before, had as much against it.
func TestBurstOfCrashesDoesNotPutOffHold(t *testing.T) {
	const interval = 30 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		is.True(f[0].answer(shared))
		sent := 0
		for i := range 8 {
			time.Sleep(interval)
			sent += f[i%4].crash(fmt.Sprint(i), true, segment.List{deadly, shared})
			f.exchange()
		}
		is.True(sent <= 4) // two crashes, and settleDelay after the second one
		settle()
		f.exchange()
		for _, q := range f {
			is.Equal(q.HeldSegments(), segment.List{deadly})
			is.True(q.answer(shared))
		}
	})
}

// One request of a caller crashes upstreams, and is sent again by the entry and the caller. Holding a
// segment that others share with it would take from them what only this one does.
func TestRepeatedRequestIsHeldWithoutItsSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		const digest = segment.ID(7)
		for i, q := range f {
			time.Sleep(passTime)
			q.crashUnder(fmt.Sprint(i), digest, shared)
			f.exchange()
		}
		settle()
		for _, q := range f {
			is.Equal(q.HeldSegments(), segment.List{digest})
			is.True(q.answer(shared))
		}
	})
}

// A request that was answered before crashes upstreams since they changed. The users accept three
// crashes, where a segment that many callers share takes six.
func TestOnceAnsweredRequestIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		const digest = segment.ID(7)
		a, _ := q.Watch(nil, digest, func() {})
		a.End(true)
		for i := range 3 {
			is.Equal(q.HeldSegments(), segment.List{})
			time.Sleep(passTime)
			q.crashUnder(fmt.Sprint(i), digest)
		}
		settle()
		is.Equal(q.HeldSegments(), segment.List{digest})
	})
}

// Sound requests that callers send all the time are in progress at each upstream that another one
// crashes; an answer in between, at any entry, shows that they are sound.
func TestRepeatedSoundRequestIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		const digest, sound = segment.ID(7), segment.ID(8)
		for i := range 2 {
			time.Sleep(passTime)
			a, _ := f[1].Watch(nil, sound, func() {})
			a.End(true)
			f[0].crashUnder(fmt.Sprint(i), sound)
			f[0].crashUnder(fmt.Sprint(i), digest)
			f.exchange()
		}
		settle()
		is.Equal(f[0].HeldSegments(), segment.List{digest})
	})
}

// A sound request was lost with the deadly one at both upstreams that crashed, and is held in its place.
// The next crash must hold the deadly one.
func TestWrongVerdictIsFollowedByTheRightOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		const digest, sound = segment.ID(8), segment.ID(7)
		for i := range 2 {
			time.Sleep(passTime)
			q.crashUnder(fmt.Sprint(i), digest)
			q.crashUnder(fmt.Sprint(i), sound)
		}
		settle()
		is.Equal(q.HeldSegments(), segment.List{sound})
		q.crashUnder("third", digest)
		settle()
		is.Equal(q.HeldSegments(), segment.List{sound, digest})
	})
}

// More requests crash upstreams than can be held. The latest ones are, in place of those that no one
// sends any more.
func TestLatestRequestsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		for i := range segment.ID(maxVerdicts + 10) {
			for n := range 2 {
				time.Sleep(passTime)
				f[0].crashUnder(fmt.Sprint(i, n), 100+i)
			}
			settle()
			f.exchange()
			for _, q := range f {
				_, held := q.Watch(nil, 100+i, func() {})
				is.Equal(held, 100+i)
			}
		}
	})
}

// Sound prompts are lost with the engines that others crash, also the same ones several times.
func TestBystandersAreNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		for i := range 8 {
			time.Sleep(passTime)
			q.crash(fmt.Sprint(i), false, segment.List{other})
			q.crash(fmt.Sprint(i), true, segment.List{segment.ID(100 + i)})
		}
		settle()
		is.Equal(q.HeldSegments(), segment.List{})
	})
}

// An engine may crash before its answer shows that it has begun.
func TestSegmentOfUnansweredPromptsIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		is.True(q.answer(shared))
		for i := range 3 {
			is.Equal(q.HeldSegments(), segment.List{})
			time.Sleep(passTime)
			q.crash(fmt.Sprint(i), false, segment.List{shared, deadly}, segment.List{segment.ID(100 + i)})
		}
		settle()
		is.Equal(q.HeldSegments(), segment.List{deadly})
	})
}

// A failure domain is lost with its engines, which many prompts of one session were sent to.
func TestLostDomainHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4)
		for i := range 40 {
			f[i%len(f)].crash(fmt.Sprint(i), false, segment.List{shared, other})
		}
		f.exchange()
		settle()
		is.Equal(f[0].HeldSegments(), segment.List{})
	})
}

// Crashes that two entries see are enough for all of them, at any number of entries, and one that
// starts later learns it from any other.
func TestAllEntriesHold(t *testing.T) {
	for _, n := range []int{4, 1100} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			is.True(f[3].answer(shared)) // the others have not seen it answered
			aborted := 0
			f[2].watch(segment.List{shared, deadly}, func() { aborted++ })
			f[2].watch(segment.List{shared, other}, func() { aborted += n })
			for i := range 2 {
				time.Sleep(passTime)
				f[i].crash(fmt.Sprint(i), true, segment.List{shared, deadly})
				f.exchange()
			}
			settle()
			f.exchange()
			for _, q := range f {
				is.Equal(q.HeldSegments(), segment.List{deadly})
			}
			is.Equal(aborted, 1)

			time.Sleep(time.Minute)
			is.True(!f[1].answer(deadly)) // prompts with it still come
			started := newFleet(1)[0]
			started.Merge(f[1].Report())
			is.Equal(started.HeldSegments(), segment.List{deadly})
		})
	}
}

// An entry that has not seen a segment answered holds it, and one that has objects, even late.
func TestAnswersElsewhereEndHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		is.True(f[1].answer(shared))
		f[0].crashTwice(segment.List{shared})
		is.Equal(f[0].HeldSegments(), segment.List{shared})
		f.exchange()
		settle()
		for _, q := range f {
			is.Equal(q.HeldSegments(), segment.List{})
		}
	})
}

// A segment that was sound for long crashes engines since they changed.
func TestOnceAnsweredSegmentIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		is.True(q.answer(deadly))
		for i := range answeredScore / suspectScore {
			is.Equal(q.HeldSegments(), segment.List{})
			time.Sleep(passTime)
			q.crash(fmt.Sprint(i), true, segment.List{deadly})
		}
		settle()
		is.Equal(q.HeldSegments(), segment.List{deadly})
	})
}

// Held segments are tried again in a while: engines may have been mended. No more than one prompt
// is sent, and the next one only if it was answered.
func TestProbeEndsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		q.crashTwice(segment.List{deadly})
		for range 2 {
			for start := time.Now(); time.Since(start) < minProbeDelay; time.Sleep(time.Second) {
				is.True(!q.answer(deadly))
			}
			time.Sleep(2 * meanProbeDelay)
			probe := q.watch(segment.List{deadly}, func() {})
			is.True(probe != nil)
			is.True(!q.answer(deadly))
			probe.Crashed("probe", time.Now(), true)
			probe.End(false)
		}
		time.Sleep(minProbeDelay + 2*meanProbeDelay)
		is.True(q.answer(deadly))
		is.Equal(q.HeldSegments(), segment.List{})
		is.True(q.answer(deadly))
	})
}

// Callers choose the names of segments and how many there are.
func TestBoundsOfMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFleet(1)[0]
		id := segment.ID(0)
		for i := range 6_000 {
			list := make(segment.List, 300)
			for j := range list {
				id++
				list[j] = id
			}
			if i%60 > 0 {
				q.answer(list...)
				continue
			}
			q.Merge(Report{Answers: []Answer{{Segment: id, At: time.Now()}}, Verdicts: []Verdict{{Segment: id, Term: 1}}})
			for n := range 3 {
				time.Sleep(passTime)
				q.crash(fmt.Sprint(i, n), true, list, list[1:])
			}
			settle()
		}
		is.True(len(q.answered.current) <= maxAnswered+300)
		is.True(len(q.requests.current) <= maxAnswered)
		is.True(len(q.crashes) <= maxCrashes && len(q.own) <= maxCrashes)
		is.True(len(q.verdicts) <= maxVerdicts)
		is.True(len(q.reported) <= maxReported)
		is.Equal(len(q.unproven), 0)
		r := q.Report()
		is.True(len(r.Crashes) <= maxReportedCrashes && len(r.Verdicts) <= maxReportedVerdicts && len(r.Answers) <= maxReportedAnswers)
		for _, c := range r.Crashes {
			size := 0
			for _, list := range c.Suspects {
				size += len(list)
			}
			is.True(size <= maxSegmentsPerCrash)
		}
	})
}

// Prompts of random segments come at random entries, some with one on which engines crash. It must
// be held before engines crash on it more often than the users accept, and no other for longer than
// it takes to answer a prompt.
func TestRapidHoldsTheDeadlySegmentOnly(t *testing.T) {
	const maxCrashesOfSegment = 5
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(rapid.IntRange(1, 6).Draw(rt, "entries"))
			crashes := 0
			for i := range rapid.IntRange(20, 120).Draw(rt, "prompts") {
				time.Sleep(passTime)
				q := f[rapid.IntRange(0, len(f)-1).Draw(rt, "entry")]
				first := segment.ID(rapid.IntRange(10, 14).Draw(rt, "first"))
				list := segment.List{first, segment.ID(rapid.IntRange(20, 40).Draw(rt, "second"))}
				if rapid.IntRange(0, 3).Draw(rt, "deadly") > 0 {
					q.answer(list...)
				} else if a := q.watch(segment.List{first, deadly}, func() {}); a != nil {
					crashes++
					a.Crashed(fmt.Sprint(i), time.Now(), rapid.Bool().Draw(rt, "begun"))
					a.End(false)
					q.crash(fmt.Sprint(i), false, list)
				}
				f.exchange()
			}
			settle()
			f.exchange()
			if crashes > maxCrashesOfSegment {
				rt.Fatalf("%d engines crashed", crashes)
			}
			for _, q := range f {
				for _, id := range q.HeldSegments() {
					if id != deadly {
						rt.Fatalf("segment %s is held", id)
					}
				}
			}
		})
	})
}

// BenchmarkMerge measures a report that repeats what is known, as each entry gets one of every other
// 3 times a second while crashes or held segments are reported.
func BenchmarkMerge(b *testing.B) {
	f := newFleet(2)
	for i := range maxCrashes {
		list := make(segment.List, maxSegmentsPerCrash)
		for j := range list {
			list[j] = segment.ID(i*maxSegmentsPerCrash + j + 1)
		}
		f[0].crash(fmt.Sprint(i), true, list)
		f[1].Merge(f[0].Report())
	}
	r := f[0].Report()
	b.ResetTimer()
	for range b.N {
		f[1].Merge(r)
	}
}
