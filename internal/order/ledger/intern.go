package ledger

// interner maps the few distinct values that many orders share to small numbers.
type interner[T comparable] struct {
	numbers map[T]uint32
	values  []T
}

func newInterner[T comparable]() interner[T] { return interner[T]{numbers: map[T]uint32{}} }

func (n *interner[T]) add(v T) uint32 {
	if i, ok := n.numbers[v]; ok {
		return i
	}
	i := uint32(len(n.values))
	n.numbers[v] = i
	n.values = append(n.values, v)
	return i
}

func (n *interner[T]) find(v T) (uint32, bool) {
	i, ok := n.numbers[v]
	return i, ok
}

func (n *interner[T]) value(i uint32) T { return n.values[i] }
