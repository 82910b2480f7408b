package sends

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dogwoodmill/dogwoodmill/internal/base/protobuf"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/capacity"
)

const (
	// loadInterval is the shortest time between reports of loads: messages of changes at engines come
	// more often than the load of plain servers is used.
	loadInterval = 100 * time.Millisecond
	// maxTook bounds a reported time, so that sums of malformed ones don't overflow.
	maxTook = time.Hour

	fieldTag    = 2 // varint: hash of the server's address and incarnation
	fieldBusy   = 3 // varint: requests of the sender that run there, in hundredths
	fieldPoints = 4 // bytes: varints, three for each point: step, samples in tenths, time in units of tookUnit

	busyScale    = 100
	samplesScale = 10
	tookUnit     = 100 * time.Microsecond
)

func encodeLoad(l capacity.Load) []byte {
	b := protowire.AppendTag(nil, fieldName, protowire.BytesType)
	b = protowire.AppendString(b, l.Server)
	b = protowire.AppendTag(b, fieldTag, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(l.Tag))
	b = protowire.AppendTag(b, fieldBusy, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(math.Round(max(0, l.Busy)*busyScale)))
	var points []byte
	for _, p := range l.Points {
		points = protowire.AppendVarint(points, uint64(max(0, p.Step)))
		points = protowire.AppendVarint(points, uint64(math.Round(max(0, p.Samples)*samplesScale)))
		points = protowire.AppendVarint(points, uint64(max(0, p.Took.Round(tookUnit)/tookUnit)))
	}
	if len(points) > 0 {
		b = protowire.AppendTag(b, fieldPoints, protowire.BytesType)
		b = protowire.AppendBytes(b, points)
	}
	return b
}

func decodeLoad(b []byte) (capacity.Load, error) {
	var l capacity.Load
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, data []byte) error {
		switch num {
		case fieldName:
			l.Server = string(data)
		case fieldTag:
			l.Tag = uint32(v)
		case fieldBusy:
			l.Busy = float64(v) / busyScale
		case fieldPoints:
			var err error
			l.Points, err = decodePoints(data)
			return err
		}
		return nil
	})
	return l, err
}

func decodePoints(b []byte) ([]capacity.Point, error) {
	var out []capacity.Point
	for len(b) > 0 {
		var v [3]uint64
		for i := range v {
			n := 0
			if v[i], n = protowire.ConsumeVarint(b); n < 0 {
				return nil, errMalformed
			}
			b = b[n:]
		}
		out = append(out, capacity.Point{
			Step: int(min(v[0], math.MaxInt16)), Samples: float64(v[1]) / samplesScale, Took: time.Duration(min(v[2], uint64(maxTook/tookUnit))) * tookUnit,
		})
	}
	return out, nil
}
