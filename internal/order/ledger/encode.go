package ledger

import (
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// MaxAnswerBytes is the longest answer body that is stored.
const MaxAnswerBytes = 8 << 10

// Intent returns the record that announces an attempt to execute the order.
func Intent(workspace string, key uuid.UUID, a Attempt, f Fingerprint) *Record {
	r := newRecord(RecordType_INTENT, workspace, key, a)
	r.Fingerprint = f[:]
	return r
}

// Outcome returns the record of an attempt that got the answer. Of a body longer
// than MaxAnswerBytes only the length is stored.
func Outcome(workspace string, key uuid.UUID, a Attempt, answer *StoredAnswer) *Record {
	r := newRecord(RecordType_OUTCOME, workspace, key, a)
	r.Answer = &StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body) > MaxAnswerBytes {
		r.Answer.Body, r.Answer.Omitted = nil, uint64(len(answer.Body))
	}
	return r
}

// Void returns the record of an attempt that will never send the order.
func Void(workspace string, key uuid.UUID, a Attempt) *Record {
	return newRecord(RecordType_VOID, workspace, key, a)
}

// Lost returns the record of an attempt that sent the order and got no answer.
func Lost(workspace string, key uuid.UUID, a Attempt) *Record {
	return newRecord(RecordType_LOST, workspace, key, a)
}

// Mark returns a record without an order, which is appended to an idle stream.
func Mark() *Record { return &Record{Type: RecordType_MARK} }

func newRecord(t RecordType, workspace string, key uuid.UUID, a Attempt) *Record {
	return &Record{
		Type: t, Workspace: workspace, Key: key[:],
		Vm: a.VM, Incarnation: a.Incarnation, Attempt: a.Number,
	}
}

// Encode returns the bytes of the record for the log.
func Encode(r *Record) ([]byte, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, fail("encode", KindRecord, err)
	}
	return b, nil
}

// Decode parses a record of the log. An error is of KindRecord.
func Decode(b []byte) (*Record, error) {
	r := &Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, fail("decode", KindRecord, err)
	}
	if r.Type != RecordType_MARK && len(r.Key) != len(uuid.UUID{}) {
		return nil, fail("decode", KindRecord, fmt.Errorf("key has %d bytes, want 16", len(r.Key)))
	}
	return r, nil
}
