package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/grant"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
)

const (
	// maxDetours is how many other entries are asked for one connection, and maxRefusals how many of
	// them may refuse it: then the upstream is to blame.
	maxDetours  = 3
	maxRefusals = 2
	// detourTimeout limits the connection through one of them: its dial has a limit of its own, and
	// messages between entries take some milliseconds.
	detourTimeout = 300 * time.Millisecond
	// maxTunnels bounds the memory and descriptors that tunnels of other entries take from an entry's
	// own callers.
	maxTunnels = 512
)

var errNoEntry = errors.New("no other entry reaches upstreams")

// servePeer serves the requests of other entries that are not for records.
func (s *Server) servePeer(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), tunnel.Path) {
		s.tunnels.Serve(ctx)
		return
	}
	if string(ctx.Path()) == grant.Path {
		grant.Serve(ctx, s.log, s.sched.warmup.Grant)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// tunnelsTo reports whether other entries may connect to an address through this one: an upstream is
// registered there and not evacuated, and the entry is not about to end.
func (s *Server) tunnelsTo(address string) bool {
	_, ok := s.sched.UpstreamDomain(address)
	return ok && !s.stopping.Load() && !s.sched.Evacuated(address)
}

// tunnelsWorkTo is tunnelsTo for something new, which an upstream that leaves does not take.
func (s *Server) tunnelsWorkTo(address string) bool {
	return s.tunnelsTo(address) && s.sched.Takes(address)
}

// detour connects to an upstream through another entry.
func (s *Server) detour(ctx context.Context, address string) (net.Conn, error) {
	list := s.detours(ctx, address)
	err, refusals := error(fail("detour", KindUnsent, errNoEntry)), 0
	for _, o := range list[:min(len(list), maxDetours)] {
		var c net.Conn
		if c, err = s.dialThrough(ctx, o, address); err == nil {
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

// detours returns the entries to connect to an upstream through, the best ones first. Leaving ones are
// the last resort.
func (s *Server) detours(ctx context.Context, address string) []sends.Peer {
	domain, _ := s.sched.UpstreamDomain(address)
	staying, leaving := s.exchange.Connected()
	s.sortDetours(staying, domain)
	s.sortDetours(leaving, domain)
	return slices.DeleteFunc(slices.Concat(staying, leaving), func(o sends.Peer) bool { return !s.mayDetour(ctx, o) })
}

// dialThrough connects to an upstream through an entry.
func (s *Server) dialThrough(ctx context.Context, o sends.Peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	return tunnel.Dial(ctx, s.direct, o.Address, address)
}

// sortDetours sorts entries to connect to an upstream in a failure domain through: those in that domain
// first, then those in the own one, so that no byte crosses domains more often than it has to.
func (s *Server) sortDetours(list []sends.Peer, domain string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b sends.Peer) int { return s.crossings(a, domain) - s.crossings(b, domain) })
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
