package fault_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

type kind string

const kindTimeout kind = "timeout"

var class = errs.Class("engine")

func ExampleNew() {
	err := fault.New(&class, "open", kindTimeout, errors.New("no answer"))
	fmt.Println(err)
	// Output: engine: open: timeout: no answer
}

func TestIsLooksThroughWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("outer: %w", fault.New(&class, "open", kindTimeout, nil))
	is.True(fault.Is(err, kindTimeout))
	is.True(!fault.Is(err, kind("refused")))
	is.True(!fault.Is(errors.New("other"), kindTimeout))
	is.True(class.Has(errors.Unwrap(err)) || errs.IsFunc(err, func(e error) bool { return class.Has(e) }))
	is.Equal(fmt.Sprintf("%+v", err), "outer: engine: open: timeout") // no stack trace in log lines
}
