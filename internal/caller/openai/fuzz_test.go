package openai

import (
	"encoding/json"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// FuzzChunk checks that the event of any text equals its encoding by encoding/json.
func FuzzChunk(f *testing.F) {
	f.Add("seal ", 1, true)
	f.Add("a\"b\\c<>&\u2028\x7f\xff\n", 3, false)
	f.Add("", 0, true)
	f.Fuzz(func(t *testing.T, text string, pos int, chat bool) {
		api := apiText
		if chat {
			api = apiChat
		}
		a := newResponseFormatter(api, "id", `model "x"`, time.Unix(1, 0))
		enc, err := newEventEncoder(a)
		if err != nil {
			t.Fatal(err)
		}
		p := engine.Piece{Pos: pos, Text: text}
		got, err := enc.appendPiece(nil, &p)
		if err != nil {
			t.Fatal(err)
		}
		want, err := enc.appendJSON(nil, pos, a.chunk(p))
		if err != nil || string(got) != string(want) {
			t.Fatalf("%q: got %q, want %q, %v", text, got, want, err)
		}
	})
}

// FuzzBody checks that any body is either refused with a valid error object or parsed
// to a valid request.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":["x"],"max_tokens":1,"stream":true}`), false)
	f.Add([]byte(`{"model":"m","prompt":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		api := apiText
		if chat {
			api = apiChat
		}
		r, apiErr := parse(api, body)
		if apiErr != nil {
			if !json.Valid(apiErr.JSON()) || apiErr.Ran != reply.RanNo || apiErr.Status != 400 {
				t.Fatalf("%+v", apiErr)
			}
			return
		}
		if r.model == "" || r.prompt == "" || r.maxTokens < 0 {
			t.Fatalf("%+v", r)
		}
	})
}

// FuzzID checks that only the id encoded for a workspace is accepted for it.
func FuzzID(f *testing.F) {
	s := newIDSigner("key")
	// Fixed, so that all fuzzing processes use the same id.
	rid := responseID{request: uuid.MustParse("0199aaaa-bbbb-7ccc-8ddd-eeeeeeeeeeee")}
	rid.engine, rid.deployment, rid.attempt, rid.patience, rid.usage = "engine-1", "assistant", 2, time.Minute, true
	made := s.encode("guild", &rid)
	f.Add(made, "guild")
	f.Add(made, "loomwire")
	f.Add(made+"A", "guild")
	f.Add("", "")
	f.Fuzz(func(t *testing.T, text, workspace string) {
		got, err := s.decode(workspace, text)
		if (text == made && workspace == "guild") != (err == nil) {
			t.Fatalf("%q of %q: %v", text, workspace, err)
		}
		if err == nil && *got != rid {
			t.Fatalf("got %+v, want %+v", *got, rid)
		}
	})
}

// FuzzSignedID checks that a signed payload is either refused or survives a round trip.
func FuzzSignedID(f *testing.F) {
	f.Add([]byte{idVersion, 0, 1, 2, 3}, "guild")
	f.Fuzz(func(t *testing.T, payload []byte, workspace string) {
		s := newIDSigner("key")
		text := idEncoding.EncodeToString(append(append([]byte{}, payload...), s.mac(workspace, payload)...))
		r, err := s.decode(workspace, text)
		if err != nil {
			return
		}
		again, err := s.decode(workspace, s.encode(workspace, r))
		if err != nil || *again != *r {
			t.Fatalf("got %+v, want %+v, %v", again, r, err)
		}
	})
}

// FuzzEventID checks that a parsed event id has no negative numbers.
func FuzzEventID(f *testing.F) {
	f.Add("57")
	f.Add("57" + formatEventSuffix(2, "engine-1"))
	f.Add("-1@x.")
	f.Fuzz(func(t *testing.T, text string) {
		e, err := parseEventID(text)
		if err != nil || !utf8.ValidString(text) {
			return
		}
		if e.pos < 0 || e.attempt < 0 {
			t.Fatalf("%+v", e)
		}
	})
}

func TestIDIsShortAndURLSafe(t *testing.T) {
	is := is.New(t)
	s := newIDSigner("key")
	rid, err := newResponseID()
	is.NoErr(err)
	rid.engine, rid.deployment, rid.attempt, rid.patience = "engine-1", "assistant", 1, time.Minute
	text := s.encode("guild", &rid)
	is.True(len(text) < 80)
	for _, c := range text {
		is.True(c == '-' || c == '_' || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z')
	}
	_, err = newIDSigner("another key").decode("guild", text)
	is.True(err != nil)
}

// FuzzPlain checks that unescapedString agrees with encoding/json.
func FuzzPlain(f *testing.F) {
	for _, s := range []string{`"word"`, `""`, `"печат"`, `"a\nb"`, `"\u00e9"`, "\"\xff\"", `null`, `[1]`, `"" `} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		text, ok := unescapedString(b)
		if !ok || !json.Valid(b) {
			return
		}
		var want string
		if err := json.Unmarshal(b, &want); err != nil || want != text {
			t.Fatalf("%q: got %q, want %q (%v)", b, text, want, err)
		}
	})
}
