package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Part is a prompt length of a mix and its weight.
type Part struct {
	tokens int
	weight float64
}

// Tokens returns the prompt length.
func (p Part) Tokens() int { return p.tokens }

// Mix is a distribution of prompt lengths.
type Mix struct {
	parts []Part
	total float64
}

// ParseMix reads lengths and weights such as "1k=80,200k=1".
func ParseMix(text string) (Mix, error) {
	var m Mix
	for item := range strings.SplitSeq(text, ",") {
		length, weight, ok := strings.Cut(strings.TrimSpace(item), "=")
		if !ok {
			return Mix{}, fmt.Errorf("%q has no weight", item)
		}
		n, err := parseTokens(length)
		if err != nil {
			return Mix{}, err
		}
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || w < 0 {
			return Mix{}, fmt.Errorf("%q is not a weight", weight)
		}
		m.parts = append(m.parts, Part{tokens: n, weight: w})
		m.total += w
	}
	if m.total <= 0 {
		return Mix{}, errors.New("all weights are 0")
	}
	return m, nil
}

const maxTokens = 10_000_000

func parseTokens(text string) (int, error) {
	unit := 1
	switch {
	case strings.HasSuffix(text, "k"):
		unit = 1_000
	case strings.HasSuffix(text, "M"):
		unit = 1_000_000
	}
	n, err := strconv.Atoi(strings.TrimRight(text, "kM"))
	if err != nil || n < 1 || n*unit > maxTokens {
		return 0, fmt.Errorf("%q is not a length in tokens", text)
	}
	return n * unit, nil
}

// draw returns a length.
func (m Mix) draw(r *rand.Rand) int {
	x := r.Float64() * m.total
	for _, p := range m.parts {
		if x -= p.weight; x < 0 {
			return p.tokens
		}
	}
	return m.parts[len(m.parts)-1].tokens
}
