package queue_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/dogwoodmill/dogwoodmill/internal/base/seed"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
)

func TestBoundsAreShared(t *testing.T) {
	is := is.New(t)
	b := queue.NewBounds(2, 100)
	x, y := queue.New[string](b), queue.New[string](b)
	is.True(x.Push("a", 1, 1, 40) != nil)
	is.True(y.Push("b", 1, 1, 70) == nil) // exceeds the bytes
	is.True(y.Push("b", 1, 1, 60) != nil)
	is.True(x.Push("c", 1, 1, 0) == nil) // exceeds the count
	is.Equal(len(y.TakeFunc(func(string) bool { return true })), 1)
	is.True(x.Push("c", 1, 1, 60) != nil)
}

// queueModel is a queue and the contents that it is expected to have.
type queueModel struct {
	bounds *queue.Bounds
	queue  *queue.Queue[int]
	items  map[int]*queue.Item[int]
	work   map[int]int
	next   int
}

func (m *queueModel) push(t *rapid.T) {
	m.next++
	w := rapid.IntRange(0, 9).Draw(t, "work")
	it := m.queue.Push(m.next, float64(rapid.IntRange(0, 5).Draw(t, "key")), w, 10)
	if (it == nil) != (len(m.items) >= 8) {
		t.Fatalf("push with %d items queued returned %v", len(m.items), it)
	}
	if it != nil {
		m.items[m.next], m.work[m.next] = it, w
	}
}

func (m *queueModel) remove(t *rapid.T) {
	n := rapid.IntRange(1, m.next+1).Draw(t, "n")
	it := m.items[n]
	if it == nil {
		t.Skip("not in the queue")
	}
	if !m.queue.Remove(it) || m.queue.Remove(it) {
		t.Fatal("Remove must succeed exactly once for an item")
	}
	delete(m.items, n)
}

func (m *queueModel) check(t *rapid.T) {
	q, total := m.queue, 0
	for i := range q.Len() {
		total += m.work[q.At(i).Value()]
		if i > 0 && q.At(i).Key() < q.At(i-1).Key() {
			t.Fatal("items are not sorted by key")
		}
	}
	n := len(m.items)
	if q.Len() != n || m.bounds.Count() != n || m.bounds.Bytes() != 10*n || q.Work() != total {
		t.Fatalf("want %d items, got length %d, count %d, bytes %d; got work %d, want %d", n, q.Len(), m.bounds.Count(), m.bounds.Bytes(), q.Work(), total)
	}
}

// TestRapidQueue checks order, counts and work after random pushes and removals.
func TestRapidQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := queue.NewBounds(8, 1000)
		m := &queueModel{bounds: b, queue: queue.New[int](b), items: map[int]*queue.Item[int]{}, work: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){"push": m.push, "remove": m.remove, "": m.check})
	})
}
