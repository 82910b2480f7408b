package size_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/size"
)

func TestTokensAreCorrectedByUsage(t *testing.T) {
	is := is.New(t)
	e := size.New()
	text := strings.Repeat("лъв ", 1000) // 4,000 runes
	is.Equal(e.Tokens("assistant", text), 1000)
	for range 50 {
		e.Learn("assistant", "guild", text, 2500, 10)
	}
	is.Equal(e.Tokens("assistant", text), 2500)
	is.Equal(e.Tokens("other", text), 1000) // ratios are per deployment
	e.Learn("assistant", "guild", text, 1_000_000_000, 10)
	is.True(e.Tokens("assistant", text) < 4000) // the effect of an outlier is bounded
}

func TestOutputFollowsTheWorkspace(t *testing.T) {
	is := is.New(t)
	e := size.New()
	is.Equal(e.Output("guild", 4096), 256) // no samples
	for i := range 100 {
		e.Learn("assistant", "guild", "", 0, 90+i%21)
	}
	n := e.Output("guild", 4096)
	is.True(n > 110 && n < 150)
	is.Equal(e.Output("guild", 50), 50) // capped by max_tokens
	is.Equal(e.Output("loomwire", 4096), 256)
}
