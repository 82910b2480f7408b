package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Part is a prompt length of a Mix, in tokens, and its weight.
type Part struct {
	tokens int
	weight float64
}

// Tokens returns the prompt length in tokens.
func (p Part) Tokens() int { return p.tokens }

// Mix is a discrete distribution of prompt lengths.
type Mix struct {
	parts []Part
	total float64
}

// ParseMix parses lengths in tokens and their weights, such as "1k=80,200k=1". Lengths take
// the suffixes k and M. Weights need not add up to 1, but one must be above 0.
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

const maxTokens = 10_000_000 // of a prompt

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

// sample draws a prompt length in tokens.
func (m Mix) sample(r *rand.Rand) int {
	x := r.Float64() * m.total
	for _, p := range m.parts {
		if x -= p.weight; x < 0 {
			return p.tokens
		}
	}
	return m.parts[len(m.parts)-1].tokens
}
