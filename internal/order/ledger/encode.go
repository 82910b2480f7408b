package ledger

import (
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// MaxAnswer is the longest body of an answer that is kept, in bytes.
const MaxAnswer = 8 << 10

// Intent returns the record of an attempt that wants to execute the order.
func Intent(workspace string, key uuid.UUID, a Attempt, f Fingerprint) *Record {
	r := record(RecordType_INTENT, workspace, key, a)
	r.Fingerprint = f[:]
	return r
}

// Outcome returns the record of an attempt that has the answer. A body longer
// than MaxAnswer is left out and its length is kept.
func Outcome(workspace string, key uuid.UUID, a Attempt, answer *StoredAnswer) *Record {
	r := record(RecordType_OUTCOME, workspace, key, a)
	r.Answer = &StoredAnswer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if len(answer.Body) > MaxAnswer {
		r.Answer.Body, r.Answer.Omitted = nil, uint64(len(answer.Body))
	}
	return r
}

// Void returns the record of an attempt that will never send the order.
func Void(workspace string, key uuid.UUID, a Attempt) *Record {
	return record(RecordType_VOID, workspace, key, a)
}

// Lost returns the record of an attempt that sent the order and got no answer.
func Lost(workspace string, key uuid.UUID, a Attempt) *Record {
	return record(RecordType_LOST, workspace, key, a)
}

// Mark returns the record of a stream that had none for long.
func Mark() *Record { return &Record{Type: RecordType_MARK} }

func record(t RecordType, workspace string, key uuid.UUID, a Attempt) *Record {
	return &Record{
		Type: t, Workspace: workspace, Key: key[:],
		Vm: a.VM, Incarnation: a.Incarnation, Attempt: a.Number,
	}
}

// Encode returns the log record.
func Encode(r *Record) ([]byte, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, fail("encode", KindRecord, err)
	}
	return b, nil
}

// Decode returns the record of the log's bytes.
func Decode(b []byte) (*Record, error) {
	r := &Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		return nil, fail("decode", KindRecord, err)
	}
	if r.Type != RecordType_MARK && len(r.Key) != len(uuid.UUID{}) {
		return nil, fail("decode", KindRecord, fmt.Errorf("a key of %d bytes", len(r.Key)))
	}
	return r, nil
}
