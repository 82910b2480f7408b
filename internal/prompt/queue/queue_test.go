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
	is.True(y.Push("b", 1, 1, 70) == nil) // bytes
	is.True(y.Push("b", 1, 1, 60) != nil)
	is.True(x.Push("c", 1, 1, 0) == nil) // count
	is.Equal(len(y.TakeFunc(func(string) bool { return true })), 1)
	is.True(x.Push("c", 1, 1, 60) != nil)
}

// plain is a queue and what it has to hold.
type plain struct {
	bounds *queue.Bounds
	queue  *queue.Queue[int]
	items  map[int]*queue.Item[int]
	work   map[int]int
	next   int
}

func (p *plain) push(t *rapid.T) {
	p.next++
	w := rapid.IntRange(0, 9).Draw(t, "work")
	it := p.queue.Push(p.next, float64(rapid.IntRange(0, 5).Draw(t, "key")), w, 10)
	if (it == nil) != (len(p.items) >= 8) {
		t.Fatalf("push with %d items: %v", len(p.items), it)
	}
	if it != nil {
		p.items[p.next], p.work[p.next] = it, w
	}
}

func (p *plain) remove(t *rapid.T) {
	n := rapid.IntRange(1, p.next+1).Draw(t, "n")
	it := p.items[n]
	if it == nil {
		t.Skip("not there")
	}
	if !p.queue.Remove(it) || p.queue.Remove(it) {
		t.Fatal("an item is there once")
	}
	delete(p.items, n)
}

func (p *plain) check(t *rapid.T) {
	q, total := p.queue, 0
	for i := range q.Len() {
		total += p.work[q.At(i).Value()]
		if i > 0 && q.At(i).Key() < q.At(i-1).Key() {
			t.Fatal("out of order")
		}
	}
	n := len(p.items)
	if q.Len() != n || p.bounds.Count() != n || p.bounds.Bytes() != 10*n || q.Work() != total {
		t.Fatalf("%d items, queue %d, count %d, bytes %d, work %d of %d", n, q.Len(), p.bounds.Count(), p.bounds.Bytes(), q.Work(), total)
	}
}

// TestRapidQueue compares a queue with a plain list.
func TestRapidQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := queue.NewBounds(8, 1000)
		p := &plain{bounds: b, queue: queue.New[int](b), items: map[int]*queue.Item[int]{}, work: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){"push": p.push, "remove": p.remove, "": p.check})
	})
}
