package product_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// planCount is the number of plans of a run.
const planCount = "10"

// TestMain starts the goroutine that fasthttp keeps for the whole process: started in a synctest
// bubble, it would belong to that bubble.
func TestMain(m *testing.M) {
	var resp fasthttp.Response
	if _, err := resp.WriteTo(io.Discard); err != nil {
		panic(err)
	}
	// A plan takes long, so the default is lower than rapid's. The command line may override it.
	if err := flag.Set("rapid.checks", planCount); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
