package load

import (
	"bufio"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestParseMix(t *testing.T) {
	is := is.New(t)
	m, err := ParseMix("1k=80, 2M=20")
	is.NoErr(err)
	is.Equal(m.parts[1].Tokens(), 2_000_000)
	counts := map[int]int{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		counts[m.sample(r)]++
	}
	is.True(counts[1000] > 700 && counts[2_000_000] > 100)
	for _, bad := range []string{"", "1k", "x=1", "1k=x", "0=1", "1k=0", "99M=1", "1k=-1"} {
		_, err := ParseMix(bad)
		is.True(err != nil)
	}
}

func TestReadStreamDetectsTruncation(t *testing.T) {
	token := `data: {"choices":[{"delta":{"content":"a"},"finish_reason":null}]}` + "\n\n"
	end := `data: {"choices":[{"delta":{"content":""},"finish_reason":"stop"}]}` + "\n\n"
	for _, tt := range []struct{ name, text, code string }{
		{"whole", token + end + "data: [DONE]\n\n", "ok"},
		{"cut", token, "cut"},
		{"done without an end", token + "data: [DONE]\n\n", "cut"},
		{"error", token + `data: {"error":{"code":"engine_lost"}}` + "\n\n", "engine_lost"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(readStream(bufio.NewReader(strings.NewReader(tt.text)), time.Now()).code, tt.code)
		})
	}
}

func TestReportBySize(t *testing.T) {
	is := is.New(t)
	r := newReport()
	endAlone, _ := r.begin(1_000)
	endAlone(outcome{code: "ok", first: 100 * time.Millisecond, tokens: 1})
	endLong, _ := r.begin(200_000)
	endBeside, inFlight := r.begin(1_000)
	is.Equal(inFlight, 2)
	endLong(outcome{code: "ok", first: 2 * time.Second, tokens: 3, gaps: []time.Duration{time.Millisecond}})
	endBeside(outcome{code: "ok", first: 300 * time.Millisecond, tokens: 1})
	endRefused, _ := r.begin(1_000)
	endRefused(outcome{code: "overloaded"})
	s := r.Summary()
	is.Equal(s.Classes[3].OK, 1)
	is.True(s.Classes[3].FirstP50 > 1990 && s.Classes[3].FirstP50 < 2010)
	is.Equal(s.Results["overloaded"], 1)
	is.Equal(s.InFlight, 0)
	is.True(s.ShortSlowdown > 2.9 && s.ShortSlowdown < 3.1)
}

func TestPromptLength(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Prompt(1000, 1)), 4000)
	is.True(Prompt(1000, 1) != Prompt(1000, 2))
}
