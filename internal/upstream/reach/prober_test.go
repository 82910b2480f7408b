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

var errUnreachable = errors.New("unreachable")

// One failed connection must mark all unreachable upstreams of the failure domain, and
// their recovery must be detected without a request.
func TestUnreachableDomainAndItsRecoveryAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		down := true
		network := netio.New(func(_ context.Context, addr string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			if down && addr != "good" {
				return nil, errUnreachable
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
		p.ReportFailure("one")
		synctest.Wait()
		is.True(p.IsUnreachable("one") && p.IsUnreachable("two") && p.IsUnreachable("three"))
		is.True(!p.IsUnreachable("good"))
		time.Sleep(5 * probeInterval)
		is.True(p.IsUnreachable("one"))
		mu.Lock()
		down = false
		mu.Unlock()
		time.Sleep(2 * probeInterval)
		is.True(!p.IsUnreachable("one") && !p.IsUnreachable("two") && !p.IsUnreachable("three"))
	})
}

// An upstream that stays unreachable must not be probed forever.
func TestLostUpstreamIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		network := netio.New(func(context.Context, string) (net.Conn, error) {
			dials++
			return nil, errUnreachable
		}, nil)
		p := New(Settings{Network: network, Siblings: func(string) []string { return nil }, Changed: func() {}, Log: log.New(io.Discard)})
		defer p.Close()
		p.ReportFailure("one")
		time.Sleep(forgetAfter + 2*probeInterval)
		is.True(!p.IsUnreachable("one"))
		before := dials
		time.Sleep(time.Minute)
		is.Equal(dials, before)
	})
}
