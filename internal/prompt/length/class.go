// Package length classifies prompts by length.
package length

// Class is a range of prompt lengths.
type Class int

// The classes, shortest first.
const (
	Short Class = iota
	Medium
	Large
	Long
	Count int = iota // number of classes
)

const (
	maxShortTokens  = 4_000
	maxMediumTokens = 32_000
	maxLargeTokens  = 100_000
)

// Of returns the class of a prompt with the given number of tokens.
func Of(tokens int) Class {
	switch {
	case tokens <= maxShortTokens:
		return Short
	case tokens <= maxMediumTokens:
		return Medium
	case tokens <= maxLargeTokens:
		return Large
	default:
		return Long
	}
}

// Big reports whether an engine runs at most one prefill of big classes at a time.
func (c Class) Big() bool { return c >= Large }

// Priority returns the priority of the class at an engine, higher for shorter prompts.
func (c Class) Priority() int { return int(Long) - int(c) }

// String returns the name of the class.
func (c Class) String() string { return [...]string{"short", "medium", "large", "long"}[c] }
