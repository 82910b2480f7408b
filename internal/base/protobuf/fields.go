// Package protobuf reads messages in the encoding of protobuf that have no generated code.
package protobuf

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is the error of bytes that are no message.
var ErrMalformed = errors.New("malformed message")

// EachField calls f with each field of a message, including unknown ones, which f must
// ignore. It returns ErrMalformed, or the first error of f.
func EachField(b []byte, f func(num protowire.Number, v uint64, data []byte) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var (
			v    uint64
			data []byte
		)
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			data, n = protowire.ConsumeBytes(b)
		default:
			n = -1
		}
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if err := f(num, v, data); err != nil {
			return err
		}
	}
	return nil
}
