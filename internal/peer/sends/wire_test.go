package sends

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/dogwoodmill/dogwoodmill/internal/base/protobuf"
	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/throttle"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

var testNow = time.Unix(1_000_000, 0)

func drawMessage(t *rapid.T) message {
	drawMillis := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
	}
	m := message{
		start: rapid.Uint64Min(1).Draw(t, "start"), seq: rapid.Uint64().Draw(t, "count"), leaving: rapid.Bool().Draw(t, "leaving"), cutOff: rapid.Bool().Draw(t, "cut off"),
	}
	for range rapid.IntRange(0, 3).Draw(t, "topics") {
		m.read = append(m.read, platform.Position{Epoch: rapid.Uint64Range(0, 2).Draw(t, "epoch"), Offset: rapid.Uint64().Draw(t, "offset")})
	}
	if rapid.Bool().Draw(t, "served") {
		m.served = testNow.Add(-drawMillis("served for"))
	}
	for range rapid.IntRange(0, 8).Draw(t, "sends") {
		s := passes.Send{
			Engine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "engine"),
			Read:   drawMillis("read"), Context: rapid.IntRange(0, 1_000_000).Draw(t, "context"), Gap: drawMillis("gap"),
			Weight: float64(rapid.IntRange(0, 1000).Draw(t, "weight")) / weightScale,
			At:     testNow.Add(-drawMillis("age")), Due: testNow.Add(drawMillis("due")), Writing: rapid.Bool().Draw(t, "writing"),
		}
		if ends := drawMillis("ends"); ends > 0 {
			s.Ends = testNow.Add(ends)
		}
		m.sends = append(m.sends, s)
	}
	for range rapid.IntRange(0, 3).Draw(t, "paces") {
		m.paces = append(m.paces, passes.Pace{
			Engine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "engine"),
			Factor: float64(rapid.IntRange(0, 2000).Draw(t, "factor")) / paceScale, At: testNow.Add(-drawMillis("told")),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "waits") {
		m.waits = append(m.waits, passes.Wait{
			Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
			Due:     testNow.Add(time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "due in ms")) * time.Millisecond),
		})
	}
	m.held = drawHeld(t, drawMillis)
	for range rapid.IntRange(0, 2).Draw(t, "rates") {
		m.rates = append(m.rates, throttle.Rate{
			Upstream: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "upstream"), PerSecond: rapid.Float64Min(0).Draw(t, "rate"), At: testNow.Add(-drawMillis("named")),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "loads") {
		m.loads = append(m.loads, drawLoad(t, drawMillis))
	}
	slices.SortStableFunc(m.sends, func(a, b passes.Send) int { return strings.Compare(a.Engine, b.Engine) })
	return m
}

func drawLoad(t *rapid.T, drawMillis func(name string) time.Duration) capacity.Load {
	l := capacity.Load{
		Server: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "server"), Tag: rapid.Uint32().Draw(t, "tag"),
		Busy: float64(rapid.IntRange(0, 10_000).Draw(t, "busy")) / busyScale,
	}
	for range rapid.IntRange(0, 3).Draw(t, "points") {
		l.Points = append(l.Points, capacity.Point{
			Step: rapid.IntRange(0, 15).Draw(t, "step"), Samples: float64(rapid.IntRange(1, 320).Draw(t, "samples")) / samplesScale, Took: drawMillis("took"),
		})
	}
	return l
}

// An old build beside a new one must skip field 20, which it doesn't know, and a malformed load must
// not be taken in.
func TestLoadsAreBoundedAndSkippedByOldBuilds(t *testing.T) {
	is := is.New(t)
	points := []capacity.Point{{Step: 2, Samples: 20, Took: 80 * time.Millisecond}, {Step: 3, Samples: 32, Took: 90 * time.Millisecond}, {Step: 5, Samples: 8, Took: 120 * time.Millisecond}}
	m := message{start: 1, seq: 2}
	empty := len(m.encodeHead(testNow))
	for range 64 {
		m.loads = append(m.loads, capacity.Load{Server: "card-router-0123", Tag: 1 << 31, Busy: 5.25, Points: points})
	}
	b := m.encodeHead(testNow)
	t.Logf("bytes of a server with three points: %d", (len(b)-empty)/64)
	is.True(len(b)-empty <= 64*64)
	is.NoErr(protobuf.EachField(b, func(protowire.Number, uint64, []byte) error { return nil })) // as a build without the field reads it
	_, err := decodeLoad(protowire.AppendBytes(protowire.AppendTag(nil, fieldPoints, protowire.BytesType), []byte{1, 2}))
	is.Equal(err, errMalformed)
}

func drawHeld(t *rapid.T, drawMillis func(name string) time.Duration) quarantine.Report {
	var r quarantine.Report
	prompts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) segment.List {
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) segment.ID { return segment.ID(rapid.Uint64().Draw(t, "segment")) }), 1, 3).Draw(t, "prompt")
	}), 0, 3)
	for range rapid.IntRange(0, 2).Draw(t, "crashes") {
		c := quarantine.Crash{Upstream: rapid.SampledFrom([]string{"i-1", "i-2"}).Draw(t, "engine"), At: testNow.Add(-drawMillis("age")), SentAt: testNow.Add(-drawMillis("sent"))}
		c.Suspects = append(c.Suspects, prompts.Draw(t, "suspects")...)
		c.Bystanders = append(c.Bystanders, prompts.Draw(t, "bystanders")...)
		r.Crashes = append(r.Crashes, c)
	}
	for range rapid.IntRange(0, 2).Draw(t, "answers") {
		r.Answers = append(r.Answers, quarantine.Answer{Segment: segment.ID(rapid.Uint64().Draw(t, "segment")), At: testNow.Add(-drawMillis("age"))})
	}
	for range rapid.IntRange(0, 2).Draw(t, "verdicts") {
		r.Verdicts = append(r.Verdicts, quarantine.Verdict{Segment: segment.ID(rapid.Uint64().Draw(t, "segment")), Term: rapid.Uint64().Draw(t, "term")})
	}
	return r
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func comparePaces(a, b passes.Pace) int {
	return cmp.Or(strings.Compare(a.Engine, b.Engine), cmp.Compare(a.Factor, b.Factor), a.At.Compare(b.At))
}

// A message decodes to what was encoded, in one part or many, which arrive in any order.
func TestRapidMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		parts := m.encode(testNow, rapid.SampledFrom([]int{1, 100, maxMessageBytes}).Draw(t, "limit"))
		var (
			got message
			all assembly
		)
		for _, i := range rapid.Permutation(indexes(len(parts))).Draw(t, "order") {
			var err error
			if got, err = decode(parts[i], testNow); err != nil {
				t.Fatal(err)
			}
			r, complete := all.add(&got)
			if complete != (len(all.received) == len(parts)) {
				t.Fatalf("complete %v after %d of %d parts", complete, len(all.received), len(parts))
			}
			got.sends, got.paces, got.waits = r.Sends, r.Paces, r.Waits
		}
		slices.SortStableFunc(got.sends, func(a, b passes.Send) int { return strings.Compare(a.Engine, b.Engine) })
		if len(parts) > 1 { // the order of paces among parts doesn't matter
			slices.SortFunc(got.paces, comparePaces)
			slices.SortFunc(m.paces, comparePaces)
		}
		if got.start != m.start || got.seq != m.seq || got.leaving != m.leaving || got.cutOff != m.cutOff ||
			!slices.Equal(got.read, m.read) || !slices.Equal(got.sends, m.sends) || !slices.Equal(got.paces, m.paces) || !slices.Equal(got.waits, m.waits) ||
			!reflect.DeepEqual(got.held, m.held) || !slices.Equal(got.rates, m.rates) {
			t.Fatalf("%+v decodes as %+v", m, got)
		}
	})
}

// The changes between two states, applied to the first, make the second, whatever the engines.
func TestRapidChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawMessage(t), drawMessage(t)
		if rapid.Bool().Draw(t, "some engines stay the same") {
			after.sends = append(slices.DeleteFunc(after.sends, func(s passes.Send) bool { return s.Engine == "i-2" }),
				slices.DeleteFunc(slices.Clone(before.sends), func(s passes.Send) bool { return s.Engine != "i-2" })...)
			sortByEngine(after.sends)
		}
		changes := after.changesSince(wholeState{seq: 7, sends: before.sends})
		got, err := decode(changes.encode(testNow, maxMessageBytes)[0], testNow)
		if err != nil {
			t.Fatal(err)
		}
		if got.base != 7 || !slices.Equal(got.applyTo(before.sends), after.sends) {
			t.Fatalf("%+v and the changes %+v make %+v, want %+v", before.sends, got, got.applyTo(before.sends), after.sends)
		}
	})
}

// Later messages overtake the parts of a whole state. It is put together all the same, and the
// changes since it are applied from then on.
func TestPartsAreOvertaken(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	receive := func(m message) (sends int, complete bool) {
		r, complete, isNew := x.accept("10.0.0.1:1", &m, testNow)
		is.True(isNew)
		return len(r.Sends), complete
	}
	part := func(i int) message {
		return message{start: 5, seq: 2, part: i, parts: 2, sends: []passes.Send{{Engine: string(rune('a' + i))}}}
	}
	_, complete := receive(part(1))
	is.True(!complete)
	_, complete = receive(message{start: 5, seq: 3, base: 2, leaving: true, cleared: []string{"a"}})
	is.True(!complete)
	sends, complete := receive(part(0))
	is.True(complete)
	is.Equal(sends, 2)
	is.True(x.peers["10.0.0.1:1"].leaving)
	sends, complete = receive(message{start: 5, seq: 4, base: 2, cleared: []string{"a"}})
	is.True(complete)
	is.Equal(sends, 1)
	first := part(0)
	is.True(!accepts(x, "10.0.0.1:1", &first, testNow)) // it came before
}

// Changes of a state that was lost are not applied: they wait for the next whole one.
func TestChangesOfLostStateAreIgnored(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	receive := func(m message) bool {
		_, complete, isNew := x.accept("10.0.0.1:1", &m, testNow)
		is.True(isNew)
		return complete
	}
	is.True(receive(message{start: 5, seq: 1}))
	is.True(receive(message{start: 5, seq: 2, base: 1}))
	is.True(!receive(message{start: 5, seq: 4, base: 3}))
	is.True(receive(message{start: 5, seq: 5}))
	is.True(receive(message{start: 5, seq: 6, base: 5}))
	is.True(!receive(message{start: 6, seq: 1, base: 5})) // of another process
}

// While entries are replaced one by one, earlier versions send offsets without an epoch. These must
// not be taken for offsets of the first epoch, which the store has left long ago.
func TestOffsetsOfEarlierVersionsHaveNoEpoch(t *testing.T) {
	is := is.New(t)
	b := protowire.AppendFixed64(protowire.AppendTag(nil, fieldStart, protowire.Fixed64Type), 1)
	b = protowire.AppendVarint(protowire.AppendTag(b, fieldOffset, protowire.VarintType), 7)
	got, err := decode(b, testNow)
	is.NoErr(err)
	is.Equal(got.read, []platform.Position{{Epoch: platform.NoEpoch, Offset: 7}})
}

func FuzzDecode(f *testing.F) {
	m := message{start: 1, seq: 2, sends: []passes.Send{{Engine: "i-1", Read: time.Second}}}
	f.Add(m.encode(testNow, maxMessageBytes)[0])
	one := relayed{"10.0.0.1:1", m.encode(testNow, maxMessageBytes)[0]}
	f.Add(envelop([]relayed{one, one}, maxDatagramBytes)[0])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if list, err := open(b); err == nil && len(list) > 0 {
			b = list[0].data
		}
		m, err := decode(b, testNow)
		if err == nil && m.start == 0 {
			t.Error("accepted a message without a start time")
		}
	})
}

// Late and duplicate messages are ignored; the first one after a restart is accepted.
func TestOldMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	accept := func(start, count uint64) bool {
		return accepts(x, "10.0.0.1:1", &message{start: start, seq: count}, testNow)
	}
	is.True(accept(5, 1))
	is.True(!accept(5, 1))
	is.True(accept(5, 3))
	is.True(!accept(5, 2))
	is.True(accept(6, 1))
	is.True(!accept(5, 9))
}

// The report of a silent entry is discarded, and the entry is only probed from then on.
func TestSilentPeerExpires(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	var expired []string
	x.seams.OnReport = func(entry string, r passes.Report) {
		is.Equal(len(r.Sends), 0)
		expired = append(expired, entry)
	}
	is.True(accepts(x, "10.0.0.1:1", &message{start: 5, seq: 1}, testNow))
	x.seams.Peers = func() []Peer { return []Peer{{Address: "10.0.0.1:1"}} }
	is.Equal(len(x.recipients(testNow, true)), 1)
	x.expirePeers(testNow.Add(peerTimeout))
	is.Equal(len(expired), 0)
	x.expirePeers(testNow.Add(peerTimeout + time.Millisecond))
	is.Equal(expired, []string{"10.0.0.1:1"})
	is.Equal(len(x.recipients(testNow.Add(probeInterval/2), true)), 0)
	is.Equal(len(x.recipients(testNow.Add(probeInterval), true)), 1)
}

// If all other entries leave, Staying returns when the first of those still live announced it.
func TestStaying(t *testing.T) {
	is := is.New(t)
	x := newTestExchange()
	receive := func(entry string, count uint64, leaving bool, at time.Duration) {
		is.True(accepts(x, entry, &message{start: 5, seq: count, leaving: leaving}, testNow.Add(at)))
	}
	staying, left := x.Staying()
	is.True(!staying && left.IsZero()) // no other entry
	receive("10.0.0.1:1", 1, false, 0)
	staying, _ = x.Staying()
	is.True(staying)
	receive("10.0.0.1:1", 2, true, time.Second)
	receive("10.0.0.1:1", 3, true, 2*time.Second) // must not reset the time
	receive("10.0.0.2:1", 1, true, 3*time.Second)
	staying, left = x.Staying()
	is.True(!staying)
	is.Equal(left, testNow.Add(time.Second))
	x.expirePeers(testNow.Add(time.Second + peerTimeout + 2*time.Second)) // the first one times out
	_, left = x.Staying()
	is.Equal(left, testNow.Add(3*time.Second))
}

// All entries agree on the order: no two have the same rank.
func TestRanksDiffer(t *testing.T) {
	is := is.New(t)
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
	ranks := map[int]bool{}
	for _, self := range addresses {
		x := newTestExchange()
		x.self = self
		for _, other := range addresses {
			if other != self {
				accepts(x, other, &message{start: 1, seq: 1}, testNow)
			}
		}
		ranks[x.Rank()] = true
	}
	is.Equal(len(ranks), len(addresses))
}
