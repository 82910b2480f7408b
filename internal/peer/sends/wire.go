package sends

import (
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dogwoodmill/dogwoodmill/internal/base/protobuf"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/throttle"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// A message holds the sender's start time and sequence number, and its sends by engine.
// Times are sent as ages or remaining durations, since the entries' clocks differ.
const (
	fieldStart   = 1  // fixed64: when the sender started, Unix nanoseconds
	fieldSeq     = 2  // varint
	fieldEngine  = 3  // bytes: an engine's name and sends, one field for each engine
	fieldLeaving = 4  // varint: 1 if the sender is leaving
	fieldOffset  = 5  // varint, one for each topic: how far the sender has read
	fieldPace    = 6  // bytes: an engine's name and its reported pace
	fieldWait    = 7  // bytes: a service's name and the due time of its first waiting request
	fieldPart    = 8  // varint: index of this part of a message that is sent in parts
	fieldParts   = 9  // varint: number of parts; missing in a message of one part
	fieldPassOn  = 10 // varint: 1 if the receiver is to pass the message on in its failure domain
	fieldBase    = 11 // varint: number of the message that this one holds the changes since
	fieldCrash   = 12 // bytes: an upstream's name, the age of its crash, and its requests without an answer
	fieldAnswer  = 13 // bytes: a segment, and the age of its latest answer
	fieldVerdict = 14 // bytes: a segment, and the term of its verdict
	fieldRate    = 15 // bytes: an upstream's name, the rate that it named, and the age of that

	// The envelope of messages that their senders asked to pass on has these two fields only,
	// by turns, so that an entry that doesn't know it finds no start time in it.
	fieldOrigin  = 16 // string: address of the entry that wrote the message
	fieldMessage = 17 // bytes: the message

	// fieldEpoch is the store's epoch of the offsets: one for all topics if they are in the same,
	// else one for each. Earlier versions send none.
	fieldEpoch = 18 // varint

	fieldCutOff = 19 // varint: 1 if the sender connects to no upstream
	fieldServed = 21 // varint: ms since the store has answered the sender without a gap; earlier versions send none
	fieldLoad   = 20 // bytes: a plain server's name, and the sender's load and measurements of it

	fieldName = 1 // string
	fieldSend = 2 // bytes: the varints of a send

	fieldFactor = 2 // varint: pace, in hundredths
	fieldAge    = 3 // varint: ms since the engine reported it

	fieldSuspect   = 4 // bytes: the segments of a suspect of a crash, fixed64 each
	fieldBystander = 5 // bytes: the segments of a bystander
	fieldSegment   = 6 // fixed64
	fieldTerm      = 7 // varint
	fieldSentAge   = 8 // varint: ms since the latest prompt was sent
	fieldPerSecond = 9 // fixed64: a float64; 0: the upstream names no rate any more

	fieldDue = 2 // zigzag varint: ms until it is due, negative when overdue

	paceScale = 100 // a pace is sent in hundredths

	sendNumbers = 7 // required varints of a send; later ones are optional

	weightScale = 10 // a weight is sent in tenths

	maxParts = 64 // of a message
)

type message struct {
	start   uint64
	seq     uint64
	part    int      // from 0
	parts   int      // 0 and 1 mean that the message is complete
	base    uint64   // number of the message with the state that this one changes; 0: it holds all
	cleared []string // engines without sends since the base
	leaving bool
	cutOff  bool                // connects to no upstream
	passOn  bool                // asks the receiver to pass it on in its failure domain
	read    []platform.Position // how far the sender has read each topic
	served  time.Time           // since when the store has answered the sender; zero: not known
	sends   []passes.Send
	paces   []passes.Pace
	waits   []passes.Wait
	held    quarantine.Report
	rates   []throttle.Rate
	loads   []capacity.Load
}

// encode returns the message in parts of at most limit bytes. Each part holds all but the sends
// and paces, which are divided among them.
func (m *message) encode(now time.Time, limit int) [][]byte {
	head, body := m.encodeHead(now), m.encodeBody(now)
	var groups [][]byte // the fields of each part
	for _, field := range body {
		last := len(groups) - 1
		if last < 0 || len(head)+len(groups[last])+len(field) > limit && len(groups) < maxParts {
			groups = append(groups, nil)
			last++
		}
		groups[last] = append(groups[last], field...)
	}
	if len(groups) == 0 {
		return [][]byte{head}
	}
	var out [][]byte
	for i, group := range groups {
		b := slices.Clone(head)
		if len(groups) > 1 {
			b = protowire.AppendTag(b, fieldPart, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(i))
			b = protowire.AppendTag(b, fieldParts, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(len(groups)))
		}
		out = append(out, append(b, group...))
	}
	return out
}

// encodeHead encodes what each part of a message holds.
func (m *message) encodeHead(now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldStart, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, m.start)
	b = protowire.AppendTag(b, fieldSeq, protowire.VarintType)
	b = protowire.AppendVarint(b, m.seq)
	if m.base > 0 {
		b = protowire.AppendTag(b, fieldBase, protowire.VarintType)
		b = protowire.AppendVarint(b, m.base)
	}
	if m.leaving {
		b = protowire.AppendTag(b, fieldLeaving, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if m.cutOff {
		b = protowire.AppendTag(b, fieldCutOff, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	b = appendPositions(b, m.read)
	if !m.served.IsZero() {
		b = appendAge(b, fieldServed, m.served, now)
	}
	for _, w := range m.waits {
		b = protowire.AppendTag(b, fieldWait, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeWait(w, now))
	}
	for _, r := range m.rates {
		b = protowire.AppendTag(b, fieldRate, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeRate(r, now))
	}
	for _, l := range m.loads {
		b = protowire.AppendTag(b, fieldLoad, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeLoad(l))
	}
	return appendHeld(b, m.held, now)
}

func appendPositions(b []byte, list []platform.Position) []byte {
	same := true
	for _, p := range list {
		b = protowire.AppendTag(b, fieldOffset, protowire.VarintType)
		b = protowire.AppendVarint(b, p.Offset)
		same = same && p.Epoch == list[0].Epoch
	}
	for i, p := range list {
		if i > 0 && same {
			break
		}
		b = protowire.AppendTag(b, fieldEpoch, protowire.VarintType)
		b = protowire.AppendVarint(b, p.Epoch)
	}
	return b
}

// positions joins the offsets and epochs of a message.
func positions(offsets, epochs []uint64) ([]platform.Position, error) {
	tooHigh := func(n uint64) bool { return n > platform.MaxEpoch }
	if n := len(epochs); n > 1 && n != len(offsets) || slices.ContainsFunc(epochs, tooHigh) {
		return nil, errMalformed
	}
	var out []platform.Position
	for i, o := range offsets {
		p := platform.Position{Epoch: platform.NoEpoch, Offset: o}
		switch len(epochs) {
		case 0:
		case 1:
			p.Epoch = epochs[0]
		default:
			p.Epoch = epochs[i]
		}
		out = append(out, p)
	}
	return out, nil
}

// encodeBody encodes the paces, and the sends by engine, a field each.
func (m *message) encodeBody(now time.Time) [][]byte {
	var out [][]byte
	for _, p := range m.paces {
		b := protowire.AppendTag(nil, fieldPace, protowire.BytesType)
		out = append(out, protowire.AppendBytes(b, encodePace(p, now)))
	}
	for _, name := range m.cleared {
		b := protowire.AppendTag(nil, fieldEngine, protowire.BytesType)
		out = append(out, protowire.AppendBytes(b, encodeEngine(name, nil, now)))
	}
	for i := 0; i < len(m.sends); {
		end := i + 1
		for end < len(m.sends) && m.sends[end].Engine == m.sends[i].Engine {
			end++
		}
		b := protowire.AppendTag(nil, fieldEngine, protowire.BytesType)
		out = append(out, protowire.AppendBytes(b, encodeEngine(m.sends[i].Engine, m.sends[i:end], now)))
		i = end
	}
	return out
}

// assembly collects the parts of a message.
type assembly struct {
	seq      uint64 // number of the message
	received map[int]bool
	report   passes.Report
}

// add adds a part, and returns the report once it is complete. A part of another message starts
// anew.
func (a *assembly) add(m *message) (passes.Report, bool) {
	if a.received == nil || a.seq != m.seq {
		*a = assembly{seq: m.seq, received: map[int]bool{}, report: passes.Report{Waits: m.waits}}
	}
	a.received[m.part] = true
	a.report.Sends = append(a.report.Sends, m.sends...)
	a.report.Paces = append(a.report.Paces, m.paces...)
	if len(a.received) < m.parts {
		return passes.Report{}, false
	}
	report := a.report
	a.report = passes.Report{} // only the received parts matter from here on
	return report, true
}

// sortByEngine sorts sends by engine and keeps the order of those at the same one.
func sortByEngine(list []passes.Send) {
	slices.SortStableFunc(list, func(a, b passes.Send) int { return strings.Compare(a.Engine, b.Engine) })
}

// changesSince returns a message of the changes since an earlier state: the engines whose sends
// differ, and those that have none any more.
func (m *message) changesSince(old wholeState) message {
	out := *m
	out.base, out.sends = old.seq, nil
	eachEngine(old.sends, m.sends, func(name string, before, after []passes.Send) {
		switch {
		case len(after) == 0:
			out.cleared = append(out.cleared, name)
		case !slices.Equal(before, after):
			out.sends = append(out.sends, after...)
		}
	})
	return out
}

// applyTo returns the sends that a message of changes makes of those that it changes, sorted by
// engine.
func (m *message) applyTo(old []passes.Send) []passes.Send {
	out := make([]passes.Send, 0, len(old)+len(m.sends))
	eachEngine(old, m.sends, func(name string, before, after []passes.Send) {
		switch {
		case len(after) > 0:
			out = append(out, after...)
		case !slices.Contains(m.cleared, name):
			out = append(out, before...)
		}
	})
	return out
}

// eachEngine calls f for each engine of two lists, which are sorted by engine, with its sends.
func eachEngine(a, b []passes.Send, f func(name string, a, b []passes.Send)) {
	for len(a) > 0 || len(b) > 0 {
		var name string
		switch {
		case len(b) == 0, len(a) > 0 && a[0].Engine < b[0].Engine:
			name = a[0].Engine
		default:
			name = b[0].Engine
		}
		i, j := countOf(a, name), countOf(b, name)
		f(name, a[:i], b[:j])
		a, b = a[i:], b[j:]
	}
}

// countOf returns the number of leading sends at an engine.
func countOf(list []passes.Send, name string) int {
	i := slices.IndexFunc(list, func(s passes.Send) bool { return s.Engine != name })
	if i < 0 {
		return len(list)
	}
	return i
}

// askToPassOn returns an encoded message that asks its receiver to pass it on.
func askToPassOn(b []byte) []byte {
	b = protowire.AppendTag(slices.Clone(b), fieldPassOn, protowire.VarintType)
	return protowire.AppendVarint(b, 1)
}

// relayed is a message that is passed on.
type relayed struct {
	origin string // address of the entry that wrote it
	data   []byte
}

// envelop wraps messages to be passed on in datagrams of at most limit bytes, but for one that is
// larger by itself.
func envelop(list []relayed, limit int) [][]byte {
	var out [][]byte
	for _, r := range list {
		b := protowire.AppendTag(nil, fieldOrigin, protowire.BytesType)
		b = protowire.AppendString(b, r.origin)
		b = protowire.AppendTag(b, fieldMessage, protowire.BytesType)
		b = protowire.AppendBytes(b, r.data)
		if last := len(out) - 1; last >= 0 && len(out[last])+len(b) <= limit {
			out[last] = append(out[last], b...)
		} else {
			out = append(out, b)
		}
	}
	return out
}

// open returns the messages of a datagram that another entry passed on, or nil for a message of
// its sender.
func open(b []byte) ([]relayed, error) {
	if num, _, n := protowire.ConsumeTag(b); n < 0 || num != fieldOrigin {
		return nil, nil
	}
	out := []relayed{}
	err := protobuf.EachField(b, func(num protowire.Number, _ uint64, data []byte) error {
		switch num {
		case fieldOrigin:
			out = append(out, relayed{origin: string(data)})
		case fieldMessage:
			if len(out) == 0 {
				return errMalformed
			}
			out[len(out)-1].data = data
		}
		return nil
	})
	return out, err
}

func encodePace(p passes.Pace, now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, p.Engine)
	b = protowire.AppendTag(b, fieldFactor, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(math.Round(max(0, p.Factor)*paceScale)))
	return appendAge(b, fieldAge, p.At, now)
}

func decodePace(b []byte, now time.Time) (passes.Pace, error) {
	var p passes.Pace
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldName:
			p.Engine = string(data)
		case fieldFactor:
			p.Factor = float64(v) / paceScale
		case fieldAge:
			p.At = now.Add(-millis(v))
		}
		return nil
	})
	return p, err
}

func encodeWait(w passes.Wait, now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, w.Service)
	b = protowire.AppendTag(b, fieldDue, protowire.VarintType)
	return protowire.AppendVarint(b, protowire.EncodeZigZag(w.Due.Sub(now).Milliseconds()))
}

func decodeWait(b []byte, now time.Time) (passes.Wait, error) {
	var w passes.Wait
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldName:
			w.Service = string(data)
		case fieldDue:
			w.Due = now.Add(time.Duration(protowire.DecodeZigZag(v)) * time.Millisecond)
		}
		return nil
	})
	return w, err
}

func encodeRate(r throttle.Rate, now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, r.Upstream)
	b = protowire.AppendTag(b, fieldPerSecond, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, math.Float64bits(r.PerSecond))
	return appendAge(b, fieldAge, r.At, now)
}

func decodeRate(b []byte, now time.Time) (throttle.Rate, error) {
	var r throttle.Rate
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldName:
			r.Upstream = string(data)
		case fieldPerSecond:
			r.PerSecond = math.Float64frombits(v)
			if math.IsNaN(r.PerSecond) || r.PerSecond < 0 {
				return errMalformed
			}
		case fieldAge:
			r.At = now.Add(-millis(v))
		}
		return nil
	})
	return r, err
}

func encodeEngine(name string, list []passes.Send, now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, name)
	for _, s := range list {
		b = protowire.AppendTag(b, fieldSend, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeSend(s, now))
	}
	return b
}

func encodeSend(s passes.Send, now time.Time) []byte {
	writing := uint64(0)
	if s.Writing {
		writing = 1
	}
	b := protowire.AppendVarint(nil, uint64(s.Read.Milliseconds()))
	b = protowire.AppendVarint(b, uint64(s.Context))
	b = protowire.AppendVarint(b, uint64(s.Gap.Milliseconds()))
	b = protowire.AppendVarint(b, uint64(max(0, now.Sub(s.At).Milliseconds())))
	b = protowire.AppendVarint(b, uint64(s.Weight*weightScale))
	b = protowire.AppendVarint(b, uint64(max(0, s.Due.Sub(now).Milliseconds())))
	b = protowire.AppendVarint(b, writing)
	return protowire.AppendVarint(b, uint64(max(0, s.Ends.Sub(now).Milliseconds())))
}

var errMalformed = protobuf.ErrMalformed

func decode(b []byte, now time.Time) (message, error) {
	var (
		m               message
		offsets, epochs []uint64
	)
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldStart:
			m.start = v
		case fieldSeq:
			m.seq = v
		case fieldLeaving:
			m.leaving = v == 1
		case fieldCutOff:
			m.cutOff = v == 1
		case fieldOffset:
			offsets = append(offsets, v)
		case fieldEpoch:
			epochs = append(epochs, v)
		case fieldServed:
			m.served = now.Add(-millis(v))
		case fieldBase:
			m.base = v
		case fieldPassOn:
			m.passOn = v == 1
		case fieldPart:
			m.part = int(min(v, maxParts))
		case fieldParts:
			m.parts = int(min(v, maxParts))
		case fieldPace:
			p, err := decodePace(data, now)
			m.paces = append(m.paces, p)
			return err
		case fieldRate:
			r, err := decodeRate(data, now)
			m.rates = append(m.rates, r)
			return err
		case fieldLoad:
			l, err := decodeLoad(data)
			m.loads = append(m.loads, l)
			return err
		case fieldCrash:
			c, err := decodeCrash(data, now)
			m.held.Crashes = append(m.held.Crashes, c)
			return err
		case fieldAnswer:
			a, err := decodeAnswer(data, now)
			m.held.Answers = append(m.held.Answers, a)
			return err
		case fieldVerdict:
			w, err := decodeVerdict(data)
			m.held.Verdicts = append(m.held.Verdicts, w)
			return err
		case fieldWait:
			w, err := decodeWait(data, now)
			m.waits = append(m.waits, w)
			return err
		case fieldEngine:
			name, list, err := decodeEngine(data, now)
			m.sends = append(m.sends, list...)
			if len(list) == 0 {
				m.cleared = append(m.cleared, name)
			}
			return err
		}
		return nil
	})
	if err == nil {
		m.read, err = positions(offsets, epochs)
	}
	if err == nil && (m.start == 0 || m.part > 0 && m.part >= m.parts) {
		err = errMalformed
	}
	return m, err
}

func decodeEngine(b []byte, now time.Time) (name string, out []passes.Send, err error) {
	err = protobuf.EachField(b, func(num protowire.Number, _ uint64, data []byte) error {
		switch num {
		case fieldName:
			name = string(data)
		case fieldSend:
			s, err := decodeSend(data, now)
			if err != nil {
				return err
			}
			s.Engine = name
			out = append(out, s)
		}
		return nil
	})
	return name, out, err
}

func decodeSend(b []byte, now time.Time) (passes.Send, error) {
	var v [sendNumbers]uint64
	for i := range v {
		n := 0
		if v[i], n = protowire.ConsumeVarint(b); n < 0 {
			return passes.Send{}, errMalformed
		}
		b = b[n:]
	}
	out := passes.Send{
		Read: millis(v[0]), Context: int(v[1]), Gap: millis(v[2]), At: now.Add(-millis(v[3])),
		Weight: float64(v[4]) / weightScale, Due: now.Add(millis(v[5])), Writing: v[6] == 1,
	}
	if ends, n := protowire.ConsumeVarint(b); n > 0 && ends > 0 {
		out.Ends = now.Add(millis(ends))
	}
	return out, nil
}

func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
