package sends

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dogwoodmill/dogwoodmill/internal/base/protobuf"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/segment"
)

// appendHeld appends the fields of a report of crashes and held segments.
func appendHeld(b []byte, r quarantine.Report, now time.Time) []byte {
	for _, c := range r.Crashes {
		b = protowire.AppendTag(b, fieldCrash, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeCrash(c, now))
	}
	for _, a := range r.Answers {
		b = protowire.AppendTag(b, fieldAnswer, protowire.BytesType)
		b = protowire.AppendBytes(b, appendAge(appendSegment(nil, fieldSegment, a.Segment), fieldAge, a.At, now))
	}
	for _, v := range r.Verdicts {
		b = protowire.AppendTag(b, fieldVerdict, protowire.BytesType)
		inner := protowire.AppendTag(appendSegment(nil, fieldSegment, v.Segment), fieldTerm, protowire.VarintType)
		b = protowire.AppendBytes(b, protowire.AppendVarint(inner, v.Term))
	}
	return b
}

func encodeCrash(c quarantine.Crash, now time.Time) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = appendAge(protowire.AppendString(b, c.Upstream), fieldAge, c.At, now)
	b = appendAge(b, fieldSentAge, c.SentAt, now)
	for _, list := range c.Suspects {
		b = appendSegments(b, fieldSuspect, list)
	}
	for _, list := range c.Bystanders {
		b = appendSegments(b, fieldBystander, list)
	}
	return b
}

func appendSegments(b []byte, num protowire.Number, list segment.List) []byte {
	var packed []byte
	for _, id := range list {
		packed = protowire.AppendFixed64(packed, uint64(id))
	}
	return protowire.AppendBytes(protowire.AppendTag(b, num, protowire.BytesType), packed)
}

func decodeSegments(b []byte) (segment.List, error) {
	var out segment.List
	for len(b) > 0 {
		v, n := protowire.ConsumeFixed64(b)
		if n < 0 {
			return nil, errMalformed
		}
		out, b = append(out, segment.ID(v)), b[n:]
	}
	return out, nil
}

func appendSegment(b []byte, num protowire.Number, id segment.ID) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, num, protowire.Fixed64Type), uint64(id))
}

func appendAge(b []byte, num protowire.Number, at, now time.Time) []byte {
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, uint64(max(0, now.Sub(at).Milliseconds())))
}

func decodeCrash(b []byte, now time.Time) (quarantine.Crash, error) {
	var c quarantine.Crash
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldName:
			c.Upstream = string(data)
		case fieldAge:
			c.At = now.Add(-millis(v))
		case fieldSentAge:
			c.SentAt = now.Add(-millis(v))
		case fieldSuspect:
			list, err := decodeSegments(data)
			c.Suspects = append(c.Suspects, list)
			return err
		case fieldBystander:
			list, err := decodeSegments(data)
			c.Bystanders = append(c.Bystanders, list)
			return err
		}
		return nil
	})
	return c, err
}

func decodeAnswer(b []byte, now time.Time) (quarantine.Answer, error) {
	var a quarantine.Answer
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, _ []byte) error {
		switch num {
		case fieldSegment:
			a.Segment = segment.ID(v)
		case fieldAge:
			a.At = now.Add(-millis(v))
		}
		return nil
	})
	return a, err
}

func decodeVerdict(b []byte) (quarantine.Verdict, error) {
	var w quarantine.Verdict
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, _ []byte) error {
		switch num {
		case fieldSegment:
			w.Segment = segment.ID(v)
		case fieldTerm:
			w.Term = v
		}
		return nil
	})
	return w, err
}
