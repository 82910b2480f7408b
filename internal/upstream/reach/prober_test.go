package reach

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

var errCut = errors.New("cut off")

// One failed connection shows that the whole failure domain is cut off, and its
// return is seen without a request.
func TestCutDomainIsFoundAndItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		cut := true
		network := netio.New(func(_ context.Context, addr string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if cut && addr != "good" {
				return nil, errCut
			}
			a, b := net.Pipe()
			_ = b.Close()
			return a, nil
		}, nil)
		p := New(Settings{
			Network: network, Siblings: func(string) []string { return []string{"two", "three", "good"} },
			Changed: func() {}, Log: log.New(io.Discard),
		})
		defer p.Close()
		p.Failed("one")
		synctest.Wait()
		is.True(p.Cut("one") && p.Cut("two") && p.Cut("three"))
		is.True(!p.Cut("good"))
		time.Sleep(5 * probeEvery)
		is.True(p.Cut("one"))
		mu.Lock()
		cut = false
		mu.Unlock()
		time.Sleep(2 * probeEvery)
		is.True(!p.Cut("one") && !p.Cut("two") && !p.Cut("three"))
	})
}

// An upstream that never returns is given up.
func TestLostUpstreamIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		network := netio.New(func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errCut
		}, nil)
		p := New(Settings{Network: network, Siblings: func(string) []string { return nil }, Changed: func() {}, Log: log.New(io.Discard)})
		defer p.Close()
		p.Failed("one")
		time.Sleep(forgetAfter + 2*probeEvery)
		is.True(!p.Cut("one"))
		before := dials
		time.Sleep(time.Minute)
		is.Equal(dials, before)
	})
}
