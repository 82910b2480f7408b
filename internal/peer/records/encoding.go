package records

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/gzip"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dogwoodmill/dogwoodmill/internal/base/protobuf"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// The compact encoding of an answer is a protobuf message, compressed by gzip. A configuration of
// 1,200 routes takes a tenth of its JSON: an entry on a link of 20 Mbit/s that announces one is asked
// for it by all others within the same milliseconds.
const (
	contentCompact = "application/x-protobuf+gzip"

	fieldEpoch  = 1 // varint
	fieldOffset = 2 // varint
	fieldRecord = 3 // bytes: a record

	fieldKey          = 1 // string
	fieldValue        = 2 // bytes
	fieldRecordOffset = 3 // varint
)

// encodeCompact returns the compact encoding of an answer.
func encodeCompact(list []platform.Keyed, next platform.Position) ([]byte, error) {
	b := protowire.AppendTag(nil, fieldEpoch, protowire.VarintType)
	b = protowire.AppendVarint(b, next.Epoch)
	b = protowire.AppendTag(b, fieldOffset, protowire.VarintType)
	b = protowire.AppendVarint(b, next.Offset)
	for _, r := range list {
		inner := protowire.AppendTag(nil, fieldKey, protowire.BytesType)
		inner = protowire.AppendString(inner, r.Key)
		inner = protowire.AppendTag(inner, fieldValue, protowire.BytesType)
		inner = protowire.AppendBytes(inner, r.Value)
		inner = protowire.AppendTag(inner, fieldRecordOffset, protowire.VarintType)
		inner = protowire.AppendVarint(inner, r.Offset)
		b = protowire.AppendTag(b, fieldRecord, protowire.BytesType)
		b = protowire.AppendBytes(b, inner)
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(b); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

// decodeCompact decodes the compact encoding of at most maxBodyBytes. Unknown fields are skipped.
func decodeCompact(b []byte) ([]platform.Keyed, platform.Position, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, platform.Position{}, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil {
		return nil, platform.Position{}, err
	}
	if len(plain) > maxBodyBytes {
		return nil, platform.Position{}, errTooLarge
	}
	var (
		out  []platform.Keyed
		next platform.Position
	)
	err = protobuf.EachField(plain, func(num protowire.Number, v uint64, inner []byte) error {
		switch num {
		case fieldEpoch:
			next.Epoch = v
		case fieldOffset:
			next.Offset = v
		case fieldRecord:
			record, err := decodeRecord(inner)
			out = append(out, record)
			return err
		}
		return nil
	})
	return out, next, err
}

func decodeRecord(b []byte) (platform.Keyed, error) {
	var r platform.Keyed
	err := protobuf.EachField(b, func(num protowire.Number, v uint64, inner []byte) error {
		switch num {
		case fieldKey:
			r.Key = string(inner)
		case fieldValue:
			if len(inner) > 0 { // no value means that the key is deleted
				r.Value = inner
			}
		case fieldRecordOffset:
			r.Offset = v
		}
		return nil
	})
	return r, err
}
