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
			Services: func() [][]string { return [][]string{{"one", "two", "three", "good"}} }, Changed: func() {}, Log: log.New(io.Discard),
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
		p := New(Settings{Network: network, Siblings: func(string) []string { return nil }, Services: func() [][]string { return nil }, Changed: func() {}, Log: log.New(io.Discard)})
		defer p.Close()
		p.ReportFailure("one")
		time.Sleep(forgetAfter + 2*probeInterval)
		is.True(!p.IsUnreachable("one"))
		before := dials
		time.Sleep(time.Minute)
		is.Equal(dials, before)
	})
}

// What an upstream did while it could not be connected to is unknown, as is the state of one that is
// forgotten. Each must be reported before it counts as reachable.
func TestReconnectedUpstreamIsReportedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		down, reported := true, map[string]bool{}
		var p *Prober
		p = New(Settings{
			Network: netio.New(func(_ context.Context, address string) (net.Conn, error) {
				mu.Lock()
				defer mu.Unlock()
				if down || address == "lost" {
					return nil, errUnreachable
				}
				a, _ := net.Pipe()
				return a, nil
			}, nil),
			Siblings: func(string) []string { return nil }, Services: func() [][]string { return nil }, Changed: func() {}, Log: log.New(io.Discard),
			Reconnected: func(address string) {
				mu.Lock()
				defer mu.Unlock()
				reported[address] = p.IsUnreachable(address)
			},
		})
		defer p.Close()
		p.ReportFailure("one")
		p.ReportFailure("lost")
		time.Sleep(2 * probeInterval)
		mu.Lock()
		is.Equal(len(reported), 0)
		down = false
		mu.Unlock()
		time.Sleep(2 * probeInterval)
		is.True(!p.IsUnreachable("one"))
		time.Sleep(forgetAfter)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(reported, map[string]bool{"one": true, "lost": true})
	})
}

// An entry that connects to none of a service's upstreams may be cut off itself. It must find those that
// another entry reaches, without a request, and return to its own connections; and ask no other entry
// while one upstream of the service takes its connections.
func TestLostServiceIsReachedThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		reachable, asked := map[string]bool{"two": true, "other": true}, 0
		dial := func(ok func(address string) bool) func(context.Context, string) (net.Conn, error) {
			return func(_ context.Context, address string) (net.Conn, error) {
				mu.Lock()
				defer mu.Unlock()
				if !ok(address) {
					return nil, errUnreachable
				}
				a, _ := net.Pipe()
				return a, nil
			}
		}
		p := New(Settings{
			Network: netio.New(dial(func(address string) bool { return reachable[address] }), nil),
			Detour: dial(func(address string) bool {
				asked++
				return address != "crashed"
			}),
			Siblings: func(string) []string { return nil },
			Services: func() [][]string { return [][]string{{"one", "two", "crashed"}, {"other"}} },
			Changed:  func() {}, Log: log.New(io.Discard),
		})
		defer p.Close()
		p.ReportFailure("one")
		time.Sleep(3 * probeInterval)
		is.True(asked == 0 && p.IsUnreachable("one"))

		mu.Lock()
		clear(reachable)
		mu.Unlock()
		p.ReportFailure("two")
		synctest.Wait() // the upstreams elsewhere tell that the entry is cut off
		is.True(p.IsCutOff() && p.HasDetour("one") && p.HasDetour("two") && p.HasDetour("other"))
		is.True(p.IsUnreachable("crashed"))
		_, err := p.Dial(t.Context(), "one")
		is.NoErr(err)
		time.Sleep(2 * forgetAfter)
		is.True(p.HasDetour("one")) // for as long as it lasts

		mu.Lock()
		reachable = map[string]bool{"one": true, "other": true}
		mu.Unlock()
		time.Sleep(2 * probeInterval)
		is.True(!p.IsCutOff() && !p.HasDetour("one") && !p.IsUnreachable("one"))
	})
}
