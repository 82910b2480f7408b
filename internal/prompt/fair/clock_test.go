package fair_test

import (
	"fmt"
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

// Workspaces that are idle make room in the table for new ones. The table used to stay full, and
// new workspaces were not charged.
func TestIdleWorkspacesMakeRoom(t *testing.T) {
	is := is.New(t)
	c := fair.NewClock()
	const workspaces = 20_000 // as many as the table holds
	var last float64
	for i := range workspaces {
		last = max(last, c.Tag(fmt.Sprint("old-", i), 1, 1))
	}
	c.Served(last + 1)
	c.Tag("new", 1, 10)
	is.Equal(c.Ahead(c.Tag("new", 1, 10)), 10.0) // it was charged
}
