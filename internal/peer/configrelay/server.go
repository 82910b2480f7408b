package configrelay

import (
	"context"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/configwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

const (
	// maxReadWait bounds how long a read waits for a record. It must be below the link's
	// timeout for response headers.
	maxReadWait = 3 * time.Second
	// maxResponseBytes bounds the total size of the records in a response.
	maxResponseBytes = 4 << 20
)

// ServerSeams are the dependencies of a Server.
type ServerSeams struct {
	Records func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error)
	State   func(beyond uint64) (config.PeerState, error)
	// Append appends directly to the log, never through another entry.
	Append func(ctx context.Context, record []byte) (uint64, error)
	// Source returns the number of entries between this one and the log, and the age
	// of this entry's knowledge of the end of the log.
	Source func() (hops int, age time.Duration)
}

// Server serves the relay calls of other entries.
type Server struct {
	seams ServerSeams
}

// NewServer returns the HTTP handler of the relay service, for link.Handle.
func NewServer(seams ServerSeams) configwire.TwirpServer {
	return configwire.NewConfigRelayServer(&Server{seams})
}

// Read returns records that this entry has applied.
func (s *Server) Read(ctx context.Context, req *configwire.ReadRequest) (*configwire.ReadAnswer, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxReadWait)
	recs, b, err := s.seams.Records(ctx, req.From, wait)
	hops, age := s.seams.Source()
	out := &configwire.ReadAnswer{Epoch: b.Epoch, Earliest: b.Earliest, Next: b.Next, Hops: uint32(hops), AgeMs: ageMS(age)}
	if fault.Is(err, config.KindExpired) {
		out.Gone = true
		return out, nil
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	size := 0
	for _, r := range recs {
		if size += len(r.Data); size > maxResponseBytes && len(out.Records) > 0 {
			break
		}
		out.Records = append(out.Records, &configwire.Record{Offset: r.Offset, TimeUnixNs: r.Time.UnixNano(), Data: r.Data})
	}
	return out, nil
}

func ageMS(age time.Duration) uint32 {
	return uint32(min(max(age.Milliseconds(), 0), math.MaxUint32))
}

// State returns this entry's configuration. It omits the state if that is not beyond
// the requested offset.
func (s *Server) State(_ context.Context, req *configwire.StateRequest) (*configwire.StateAnswer, error) {
	p, err := s.seams.State(req.Beyond)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &configwire.StateAnswer{Epoch: p.Epoch, Offset: p.Offset, State: p.State}, nil
}

// Append appends a record to the log and reports whether it took effect.
func (s *Server) Append(ctx context.Context, req *configwire.AppendRequest) (*configwire.AppendAnswer, error) {
	offset, err := s.seams.Append(ctx, req.Record)
	switch {
	case err == nil:
		return &configwire.AppendAnswer{Result: configwire.AppendAnswer_APPENDED, Offset: offset}, nil
	case fault.Is(err, logservice.KindRateLimited):
		return &configwire.AppendAnswer{Result: configwire.AppendAnswer_RATE_LIMITED, Reason: err.Error()}, nil
	case logservice.NoEffect(err):
		return &configwire.AppendAnswer{Result: configwire.AppendAnswer_NO_EFFECT, Reason: err.Error()}, nil
	default:
		return &configwire.AppendAnswer{Result: configwire.AppendAnswer_UNKNOWN, Reason: err.Error()}, nil
	}
}
