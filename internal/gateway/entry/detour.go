package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
)

const (
	// maxDetours is how many other entries are asked for one connection, and maxRefusals how many of
	// them may refuse it: then the upstream is to blame.
	maxDetours  = 3
	maxRefusals = 2
)

var errNoEntry = errors.New("no other entry reaches upstreams")

// servePeer serves the requests of other entries that are not for records.
func (s *Server) servePeer(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), tunnel.Path) {
		s.tunnels.Serve(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// isUpstream reports whether an upstream is registered at an address.
func (s *Server) isUpstream(address string) bool {
	_, ok := s.sched.UpstreamDomain(address)
	return ok
}

// detour connects to an upstream through another entry: one in the upstream's failure domain if there
// is one, else in the own one, so that no byte crosses domains more often than it has to.
func (s *Server) detour(ctx context.Context, address string) (net.Conn, error) {
	domain, _ := s.sched.UpstreamDomain(address)
	list := s.exchange.Connected()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b sends.Peer) int { return s.crossings(a, domain) - s.crossings(b, domain) })
	err, refusals := error(fail("detour", KindUnsent, errNoEntry)), 0
	for _, o := range list[:min(len(list), maxDetours)] {
		var c net.Conn
		if c, err = tunnel.Dial(ctx, s.direct, o.Address, address); err == nil {
			return c, nil
		}
		if fault.Is(err, tunnel.KindRefused) {
			refusals++
		}
		if refusals == maxRefusals || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// crossings returns how often a connection through an entry to an upstream in a domain crosses domains.
func (s *Server) crossings(o sends.Peer, domain string) int {
	n := 0
	if o.Domain != s.cfg.FailureDomain {
		n++
	}
	if o.Domain != domain {
		n++
	}
	return n
}
