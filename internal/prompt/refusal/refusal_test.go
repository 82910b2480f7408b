package refusal

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAfter(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("wrapped: %w", New(time.Hour, time.Second, time.Minute, "%d wait", 3))
	is.Equal(After(err, 0), time.Minute)
	is.Equal(err.Error(), "wrapped: 3 wait")
	is.Equal(After(New(0, time.Second, time.Minute, "x"), 0), time.Second)
	is.Equal(After(errors.New("other"), 7*time.Second), 7*time.Second)
}
