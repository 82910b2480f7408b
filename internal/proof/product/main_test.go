package product_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// checks is the number of plans of a run.
const checks = "10"

// TestMain starts the goroutine that fasthttp keeps for the whole process before
// any bubble could own it.
func TestMain(m *testing.M) {
	var resp fasthttp.Response
	if _, err := resp.WriteTo(io.Discard); err != nil {
		panic(err)
	}
	// A plan takes long: fewer than rapid's usual number, unless the command line says otherwise.
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
