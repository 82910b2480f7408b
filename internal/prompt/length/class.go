// Package length sorts prompts by length.
package length

// Class is a range of prompt lengths.
type Class int

// The classes, in order of length.
const (
	Short Class = iota
	Medium
	Large
	Long
	Count int = iota // of classes
)

const (
	maxShort  = 4_000 // tokens
	maxMedium = 32_000
	maxLarge  = 100_000
)

// Of returns the class of a prompt of so many tokens.
func Of(tokens int) Class {
	switch {
	case tokens <= maxShort:
		return Short
	case tokens <= maxMedium:
		return Medium
	case tokens <= maxLarge:
		return Large
	default:
		return Long
	}
}

// Big reports whether an engine runs at most one prefill of the class at a time.
func (c Class) Big() bool { return c >= Large }

// Priority returns the priority of the class at an engine: shorter ones go first.
func (c Class) Priority() int { return int(Long) - int(c) }

// String returns the name of the class.
func (c Class) String() string { return [...]string{"short", "medium", "large", "long"}[c] }
