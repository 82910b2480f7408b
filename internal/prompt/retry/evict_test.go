package retry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Workspaces with a full budget make room in the table for new ones, which used to get no
// retries once it was full.
func TestFullBudgetsMakeRoom(t *testing.T) {
	is := is.New(t)
	b := New()
	for i := range maxWorkspaces {
		b.Request(fmt.Sprint("old-", i))
	}
	is.True(b.Retry("old-7"))
	b.Request("new")
	is.True(b.Retry("new"))
	is.Equal(b.Left("old-7"), maxRetries-1) // it has used some and stays
}
