package fair_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/fair"
)

func TestTagsFollowUseAndWeight(t *testing.T) {
	is := is.New(t)
	c := fair.NewClock()
	var greedy float64
	for range 100 {
		greedy = c.Tag("greedy", 1, 10)
	}
	is.Equal(c.Ahead(greedy), 990.0)
	is.Equal(c.Ahead(c.Tag("modest", 1, 10)), 0.0)

	heavy := c.Tag("heavy", 10, 10)
	is.Equal(c.Tag("heavy", 10, 10)-heavy, 1.0) // the cost over the weight

	c.Served(greedy)
	is.Equal(c.Ahead(c.Tag("greedy", 1, 10)), 10.0)
	c.Refund("greedy", 1, 10)
	is.Equal(c.Ahead(c.Tag("greedy", 1, 10)), 10.0)
}
