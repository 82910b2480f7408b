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

// TestRapidQueue compares a queue with a plain list.
func TestRapidQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := queue.NewBounds(8, 1000)
		q := queue.New[int](b)
		items := map[int]*queue.Item[int]{}
		work := map[int]int{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				w := rapid.IntRange(0, 9).Draw(t, "work")
				it := q.Push(next, float64(rapid.IntRange(0, 5).Draw(t, "key")), w, 10)
				if (it == nil) != (len(items) >= 8) {
					t.Fatalf("push with %d items: %v", len(items), it)
				}
				if it != nil {
					items[next], work[next] = it, w
				}
			},
			"remove": func(t *rapid.T) {
				n := rapid.IntRange(1, next+1).Draw(t, "n")
				it := items[n]
				if it == nil {
					t.Skip("not there")
				}
				if !q.Remove(it) || q.Remove(it) {
					t.Fatal("an item is there once")
				}
				delete(items, n)
			},
			"": func(t *rapid.T) {
				total := 0
				for i := range q.Len() {
					total += work[q.At(i).Value()]
					if i > 0 && q.At(i).Key() < q.At(i-1).Key() {
						t.Fatal("out of order")
					}
				}
				if q.Len() != len(items) || b.Count() != len(items) || b.Bytes() != 10*len(items) || q.Work() != total {
					t.Fatalf("%d items, queue %d, count %d, bytes %d, work %d of %d", len(items), q.Len(), b.Count(), b.Bytes(), q.Work(), total)
				}
			},
		})
	})
}
