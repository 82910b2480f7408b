package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// newTextStream returns a stream that reads the text in chunks of at most 7 bytes.
func newTextStream(text string, at Position) *Stream {
	r := strings.NewReader(text)
	return NewStream(Carrier{
		Read:  func(p []byte, _ time.Duration) (int, error) { return r.Read(p[:min(len(p), 7)]) },
		Close: func() {},
	}, "s", at)
}

func event(stream string, incarnation, pos int, text string) string {
	return fmt.Sprintf("data: {\"stream\":%q,\"incarnation\":%d,\"pos\":%d,\"text\":%q}\n\n", stream, incarnation, pos, text)
}

func TestPiecesMatchStreamIncarnationAndPosition(t *testing.T) {
	end := `data: {"stream":"s","incarnation":2,"pos":2,"finish":"stop"}` + "\r\n\n"
	for _, tt := range []struct {
		name   string
		text   string
		want   string
		counts Counts
		kind   Kind // of the final error; empty if the stream is complete
	}{
		{"whole", event("s", 2, 0, "a") + event("s", 2, 1, "b") + end, "ab", Counts{}, ""},
		{"comment", ": ping\n\n" + event("s", 2, 0, "a") + event("s", 2, 1, "b") + end, "ab", Counts{}, ""},
		{"double", event("s", 2, 0, "a") + event("s", 2, 0, "a") + event("s", 2, 1, "b") + end, "ab", Counts{Duplicate: 1}, ""},
		{"late", event("s", 2, 0, "a") + event("s", 1, 1, "x") + event("s", 2, 1, "b") + end, "ab", Counts{Late: 1}, ""},
		{"gap", event("s", 2, 0, "a") + event("s", 2, 2, "c"), "a", Counts{OutOfOrder: 1}, KindBadPiece},
		{"foreign stream", event("s", 2, 0, "a") + event("r", 2, 1, "x"), "a", Counts{Foreign: 1}, KindBadPiece},
		{"foreign first", event("r", 2, 0, "a"), "", Counts{Foreign: 1}, KindBadPiece},
		{"restarted", event("s", 2, 0, "a") + event("s", 3, 1, "x"), "a", Counts{Foreign: 1}, KindBadPiece},
		{"cut", event("s", 2, 0, "a"), "a", Counts{}, KindLost},
		{"cut inside", event("s", 2, 0, "a") + `data: {"stream":"s","inc`, "a", Counts{}, KindLost},
		{"not JSON", "data: {\n", "", Counts{}, KindBadPiece},
		{"no line end", "data: " + strings.Repeat("x", maxEventBytes), "", Counts{}, KindLost},
		{"doubles without end", strings.Repeat(event("s", 2, 0, "a"), maxDroppedPieces+1), "a", Counts{Duplicate: maxDroppedPieces}, KindBadPiece},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTextStream(tt.text, Position{})
			var b strings.Builder
			var err error
			for {
				var p Piece
				if p, err = s.Next(time.Second); err != nil {
					break
				}
				b.WriteString(p.Text)
			}
			is.Equal(b.String(), tt.want)
			is.Equal(s.Counts(), tt.counts)
			if tt.kind == "" {
				is.Equal(err, io.EOF)
				return
			}
			is.True(fault.Is(err, tt.kind))
		})
	}
}

func TestResumedStreamRefusesAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	s := newTextStream(event("s", 3, 5, "x"), Position{Pos: 5, Incarnation: 2})
	_, err := s.Next(time.Second)
	is.True(fault.Is(err, KindBadPiece))
	is.Equal(s.At(), Position{Pos: 5, Incarnation: 2})
}

func TestSilenceIsNotADisconnect(t *testing.T) {
	is := is.New(t)
	s := NewStream(Carrier{
		Read:  func([]byte, time.Duration) (int, error) { return 0, os.ErrDeadlineExceeded },
		Close: func() {},
	}, "s", Position{})
	_, err := s.Next(time.Second)
	is.True(fault.Is(err, KindSilent))
}

func TestTokenTakesOneAllocation(t *testing.T) {
	is := is.New(t)
	line := []byte(`{"stream":"s","incarnation":2,"pos":41,"text":"seal "}`)
	is.Equal(testing.AllocsPerRun(100, func() {
		if _, ok := parseToken(line, "s"); !ok {
			t.Fatal("not the common form")
		}
	}), 1.0)
}

// FuzzParsePiece checks that the fast path agrees with encoding/json.
func FuzzParsePiece(f *testing.F) {
	f.Add([]byte(`{"stream":"s","incarnation":2,"pos":41,"text":"seal "}`), "s")
	f.Add([]byte(`{"stream":"s","incarnation":02,"pos":41,"text":"a"}`), "s")
	f.Add([]byte(`{"stream":"s","incarnation":2,"pos":41,"text":"a","text":"b"}`), "s")
	f.Add([]byte(`{"stream":"s","incarnation":99999999999999999999,"pos":0,"text":""}`), "s")
	f.Add([]byte("{\"stream\":\"\xff\",\"incarnation\":1,\"pos\":1,\"text\":\"\\u0041\"}"), "\xff")
	f.Fuzz(func(t *testing.T, data []byte, id string) {
		got, ok := parseToken(data, id)
		if !ok {
			return
		}
		var want Piece
		if err := json.Unmarshal(data, &want); err != nil || got != want {
			t.Fatalf("%q: got %+v, want %+v, %v", data, got, want, err)
		}
	})
}

// FuzzStream checks that no input makes a stream return a piece of another stream or out
// of order.
func FuzzStream(f *testing.F) {
	f.Add([]byte(event("s", 1, 0, "a")+event("s", 1, 0, "a")+event("s", 1, 1, "b")), 3)
	f.Add([]byte("data: \n\r\n:\ndata: {}\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		r := bytes.NewReader(data)
		s := NewStream(Carrier{
			Read:  func(p []byte, _ time.Duration) (int, error) { return r.Read(p[:min(len(p), max(step, 1))]) },
			Close: func() {},
		}, "s", Position{})
		for want := 0; ; want++ {
			p, err := s.Next(time.Second)
			if err != nil {
				return
			}
			if p.Stream != "s" || p.Pos != want {
				t.Fatalf("piece %+v at position %d", p, want)
			}
		}
	})
}
