package entry

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
)

// maxCrashChecks is the number of attempts that wait for a check of their upstream.
const maxCrashChecks = 256

// crashCheck is an attempt that its upstream ended before it was proven.
type crashCheck struct {
	attempt  *quarantine.Attempt
	upstream string
	address  string
	at       time.Time
	suspect  bool // it may have begun to run
}

// isBroken reports whether err is that of a connection which its other end closed or reset.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash makes crashLoop find out whether the upstream has crashed under an attempt that failed.
func (c *call) checkCrash(k crashCheck, err error) {
	if !isBroken(err) || fault.Is(err, KindUnsent) || c.ctx.Err() != nil || k.attempt.Proven() || k.attempt.Aborted() {
		return
	}
	k.at = time.Now()
	select {
	case c.s.crashChecks <- k:
	default:
		c.s.log.Warn("Too many attempts broke off; not checking the upstream.", "id", c.req.ID, "upstream", k.upstream)
	}
}

// checkCrash is that of the call for the engine that generates the answer.
func (es *engineStream) checkCrash(err error, suspect bool) {
	name, address := es.ticket.Engine()
	es.c.checkCrash(crashCheck{attempt: es.watch, upstream: name, address: address, suspect: suspect}, err)
}

// crashLoop reports the attempts to the quarantine whose upstreams can't be connected to any more.
// Other upstreams have only lost the connection.
func (s *Server) crashLoop() {
	defer s.tasks.Done()
	for {
		select {
		case k := <-s.crashChecks:
			if s.reach.IsUnreachable(k.address) || !s.reach.Try(s.ctx, k.address) {
				k.attempt.Crashed(k.upstream, k.at, k.suspect)
			}
		case <-s.ctx.Done():
			return
		}
	}
}
