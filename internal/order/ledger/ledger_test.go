package ledger_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/order/ledger"
)

const window = time.Hour

var (
	start            = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	attempt          = ledger.Attempt{VM: "entry-1", Incarnation: 1, Number: 1}
	otherVM          = ledger.Attempt{VM: "entry-2", Incarnation: 1, Number: 1}
	otherIncarnation = ledger.Attempt{VM: "entry-1", Incarnation: 2, Number: 1}
	otherNumber      = ledger.Attempt{VM: "entry-1", Incarnation: 1, Number: 2}
)

// keyAt returns a UUIDv7 of the time that is unique by n.
func keyAt(at time.Time, n int) uuid.UUID {
	key := uuid.UUID{6: 0x70, 8: 0x80, 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}
	for i := range 6 {
		key[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return key
}

func encode(t testing.TB, r *ledger.Record) []byte {
	t.Helper()
	b, err := ledger.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestOnlyWinningAttemptEndsOrder(t *testing.T) {
	is := is.New(t)
	l, key := ledger.New(window), keyAt(start, 1)
	done := &ledger.StoredAnswer{Status: 201, Body: []byte("1")}
	for i, r := range []*ledger.Record{
		ledger.Intent("w", key, attempt, ledger.FingerprintOf([]byte("x"))),
		ledger.Intent("w", key, otherVM, ledger.FingerprintOf([]byte("y"))),
		ledger.Void("w", key, otherVM),
		ledger.Void("w", key, otherIncarnation), // same VM, another incarnation
		ledger.Void("w", key, otherNumber),      // same incarnation, another attempt
		ledger.Outcome("w", key, otherVM, done),
	} {
		is.NoErr(l.Apply(uint64(i+1), start, encode(t, r)))
		is.Equal(l.Get("w", key).State(), ledger.StatePending)
		is.Equal(l.Get("w", key).Attempt(), attempt)
	}
	is.NoErr(l.Apply(7, start, encode(t, ledger.Outcome("w", key, attempt, done))))
	is.NoErr(l.Apply(8, start, encode(t, ledger.Void("w", key, attempt))))
	is.Equal(l.Get("w", key).State(), ledger.StateDone)
	is.Equal(l.Get("other", key).State(), ledger.StateNone)
}

func TestKeysOutsideWindowAreRefused(t *testing.T) {
	is := is.New(t)
	l := ledger.New(window)
	f := ledger.FingerprintOf()
	old, future := keyAt(start.Add(-2*window), 1), keyAt(start.Add(ledger.ClockMargin+time.Second), 2)
	is.NoErr(l.Apply(1, start, encode(t, ledger.Intent("w", old, attempt, f))))
	is.NoErr(l.Apply(2, start, encode(t, ledger.Intent("w", future, attempt, f))))
	is.Equal(l.Len(), 0)
	is.True(l.Apply(3, start, []byte("no record")) != nil)
	is.Equal(l.Offset(), uint64(3)) // every entry skips it
}

func TestGapRaisesFloor(t *testing.T) {
	is := is.New(t)
	l := ledger.New(window)
	l.Skip(9)
	is.NoErr(l.Apply(10, start, encode(t, ledger.Mark())))
	is.True(!l.Floor().Before(start.Add(ledger.ClockMargin))) // the deleted records may hold any older key
	is.NoErr(l.Apply(11, start, encode(t, ledger.Intent("w", keyAt(start, 1), attempt, ledger.FingerprintOf()))))
	is.Equal(l.Len(), 0)
}

func TestKeysExpireAndFloorNeverFalls(t *testing.T) {
	is := is.New(t)
	l := ledger.New(window)
	is.NoErr(l.Apply(1, start, encode(t, ledger.Intent("w", keyAt(start, 1), attempt, ledger.FingerprintOf()))))
	later := start.Add(window + ledger.ClockMargin + 2*time.Minute)
	is.NoErr(l.Apply(2, later, encode(t, ledger.Mark())))
	is.Equal(l.Len(), 0)
	floor := l.Floor()
	is.NoErr(l.Apply(3, start, encode(t, ledger.Intent("w", keyAt(start, 1), otherVM, ledger.FingerprintOf()))))
	is.Equal(l.Len(), 0) // the key stays refused when the log's clock goes back
	is.Equal(l.Floor(), floor)
}

func TestLongAnswersAreOmitted(t *testing.T) {
	is := is.New(t)
	r := ledger.Outcome("w", keyAt(start, 1), attempt, &ledger.StoredAnswer{Status: 200, Body: make([]byte, ledger.MaxAnswerBytes+1)})
	is.Equal(r.Answer.Omitted, uint64(ledger.MaxAnswerBytes+1))
	is.Equal(len(r.Answer.Body), 0)
}

const benchKeys = 200_000

// applyOrders applies the intents and outcomes of n orders spread over the window
// and returns the total size of their records.
func applyOrders(t testing.TB, l *ledger.Ledger, n int, answer []byte) (recordBytes int) {
	t.Helper()
	f := ledger.FingerprintOf([]byte("x"))
	for i := range n {
		at := start.Add(time.Duration(i) * window / time.Duration(n))
		key := keyAt(at, i)
		intent := encode(t, ledger.Intent("guild", key, attempt, f))
		outcome := encode(t, ledger.Outcome("guild", key, attempt, &ledger.StoredAnswer{Status: 201, ContentType: "application/json", Body: answer}))
		recordBytes += len(intent) + len(outcome)
		for j, b := range [][]byte{intent, outcome} {
			if err := l.Apply(uint64(2*i+1+j), at, b); err != nil {
				t.Fatal(err)
			}
		}
	}
	return recordBytes
}

func TestBenchRecordBytes(t *testing.T) {
	is := is.New(t)
	n := applyOrders(t, ledger.New(window), 1000, make([]byte, 120))
	fmt.Printf("orders record_bytes_per_key=%d answer_bytes=120\n", n/1000)
	is.True(n/1000 < 400)
}

func BenchmarkLedgerMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := ledger.New(window)
		applyOrders(b, l, benchKeys, nil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchKeys, "B/key")
		runtime.KeepAlive(l)
	}
}

func BenchmarkFold(b *testing.B) {
	intent := encode(b, ledger.Intent("guild", keyAt(start, 0), attempt, ledger.FingerprintOf()))
	l := ledger.New(window)
	offset := uint64(0)
	for b.Loop() {
		offset++
		intent[len("guild")+8], intent[len("guild")+9] = byte(offset>>8), byte(offset)
		_ = l.Apply(offset, start, intent)
	}
}
