package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/retry"
)

func TestRetriesAreATenthOfRequests(t *testing.T) {
	is := is.New(t)
	b := retry.New()
	b.Request("guild")
	taken := 0
	for b.Retry("guild") {
		taken++
	}
	is.Equal(taken, 20) // the initial budget
	for range 1000 {
		b.Request("guild")
		if b.Retry("guild") {
			taken++
		}
	}
	is.True(taken >= 115 && taken <= 121)
	b.Request("loomwire")
	is.True(b.Retry("loomwire")) // budgets are per workspace
}
