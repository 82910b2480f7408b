package entry

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
)

// maxCrashChecks is the number of attempts that wait for a check of their engine.
const maxCrashChecks = 256

// crashCheck is an attempt that its engine ended before it was proven.
type crashCheck struct {
	attempt *quarantine.Attempt
	engine  string
	address string
	at      time.Time
	suspect bool // its answer had begun
}

// isBroken reports whether err is that of a connection which its other end closed or reset.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// checkCrash makes crashLoop find out whether an engine has crashed under the attempt.
func (es *engineStream) checkCrash(err error, suspect bool) {
	if !isBroken(err) || es.c.ctx.Err() != nil || es.watch.Proven() || es.watch.Aborted() {
		return
	}
	name, address := es.ticket.Engine()
	select {
	case es.c.s.crashChecks <- crashCheck{attempt: es.watch, engine: name, address: address, at: time.Now(), suspect: suspect}:
	default:
		es.c.s.log.Warn("Too many attempts broke off; not checking the engine.", "id", es.c.req.ID, "upstream", name)
	}
}

// crashLoop reports the attempts to the quarantine whose engines can't be connected to any more.
// Other engines have only lost the connection.
func (s *Server) crashLoop() {
	defer s.tasks.Done()
	for {
		select {
		case k := <-s.crashChecks:
			if s.reach.IsUnreachable(k.address) || !s.reach.Try(s.ctx, k.address) {
				k.attempt.Crashed(k.engine, k.at, k.suspect)
			}
		case <-s.ctx.Done():
			return
		}
	}
}
