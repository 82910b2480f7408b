package config

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// stateSearchTimeout limits the search for state in the log and at other entries.
const stateSearchTimeout = 4 * time.Second

// candidate is a state from a snapshot or a peer.
type candidate struct {
	source string
	epoch  string
	fold   *resource.Fold
}

// start loads the newest available state before the log is read. It returns the
// state's offset and epoch, or zero values if there is none.
func (s *Store) start(ctx context.Context) (uint64, string) {
	c := s.newestState(ctx, 0, "")
	if c.fold == nil || !s.replaceState(c.fold) {
		return 0, ""
	}
	s.source.Store(c.source)
	s.log.Info("Loaded the initial state.", "source", c.source, "offset", c.fold.Offset())
	return c.fold.Offset(), c.epoch
}

var errNoState = errors.New("neither a snapshot nor another entry has newer state")

// restore loads a state that includes the records that the log no longer retains. It
// returns the state's offset.
func (s *Store) restore(ctx context.Context, b logservice.Bounds) (uint64, error) {
	c := s.newestState(ctx, s.View().Offset(), b.Epoch)
	if c.fold == nil || !s.replaceState(c.fold) {
		return 0, errNoState
	}
	s.source.Store(c.source)
	s.log.Info("The log no longer retains the next record; restored a state.", "source", c.source, "offset", c.fold.Offset())
	return c.fold.Offset(), nil
}

// newestState queries the log and other entries concurrently and returns the state with
// the highest offset, if that is beyond the given one. An epoch of "" matches any.
func (s *Store) newestState(ctx context.Context, beyond uint64, epoch string) candidate {
	ctx, cancel := context.WithTimeout(ctx, stateSearchTimeout)
	defer cancel()
	sources := []func(context.Context, uint64) (candidate, error){s.fromSnapshot, s.fromPeer}
	ch := make(chan candidate, len(sources))
	for _, fetch := range sources {
		go func() {
			c, err := fetch(ctx, beyond)
			if err != nil {
				s.log.Debug("A source has no usable state.", "err", err)
			}
			ch <- c
		}()
	}
	var best candidate
	for range sources {
		c := <-ch
		if c.fold == nil || c.fold.Offset() <= beyond || epoch != "" && c.epoch != epoch {
			continue
		}
		if best.fold == nil || c.fold.Offset() > best.fold.Offset() {
			best = c
		}
	}
	return best
}

func (s *Store) fromSnapshot(ctx context.Context, _ uint64) (candidate, error) {
	if s.seams.ReadSnapshots == nil {
		return candidate{}, nil
	}
	f, epoch, err := newestSnapshot(ctx, s.seams.ReadSnapshots)
	if err != nil {
		return candidate{}, err
	}
	s.snapshotWriter.observe(f)
	return decodeCandidate("snapshot", epoch, f.offset, f.state)
}

func (s *Store) fromPeer(ctx context.Context, beyond uint64) (candidate, error) {
	if s.seams.PeerState == nil {
		return candidate{}, nil
	}
	p, err := s.seams.PeerState(ctx, beyond)
	if err != nil || len(p.State) == 0 {
		return candidate{}, err
	}
	return decodeCandidate("peer", p.Epoch, p.Offset, p.State)
}

var errOffsetMismatch = errors.New("the offset of the state differs from the one in its header")

func decodeCandidate(source, epoch string, offset uint64, state []byte) (candidate, error) {
	fold, err := resource.RestoreFold(state)
	if err != nil {
		return candidate{}, err
	}
	if fold.Offset() != offset {
		return candidate{}, fail("restore", KindSnapshot, errOffsetMismatch)
	}
	return candidate{source: source, epoch: epoch, fold: fold}, nil
}
