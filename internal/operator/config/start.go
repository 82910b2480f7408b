package config

import (
	"context"
	"errors"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

// gatherWait bounds the search for state in the log and at other entries.
const gatherWait = 4 * time.Second

// candidate is a state that was offered.
type candidate struct {
	source string
	epoch  string
	fold   *resource.Fold
}

// start takes the newest state on offer before the log is read.
func (s *Store) start(ctx context.Context) (uint64, string) {
	c := s.gather(ctx, 0, "")
	if c.fold == nil || !s.adopt(c.fold) {
		return 0, ""
	}
	s.source.Store(c.source)
	s.log.Info("Started from state.", "source", c.source, "offset", c.fold.Offset())
	return c.fold.Offset(), c.epoch
}

var errNoState = errors.New("neither a snapshot nor another entry has newer state")

// restore takes state that contains the records which the log no longer keeps.
func (s *Store) restore(ctx context.Context, b logservice.Bounds) (uint64, error) {
	c := s.gather(ctx, s.View().Offset(), b.Epoch)
	if c.fold == nil || !s.adopt(c.fold) {
		return 0, errNoState
	}
	s.source.Store(c.source)
	s.log.Info("The log no longer keeps the next record; took state.", "source", c.source, "offset", c.fold.Offset())
	return c.fold.Offset(), nil
}

// gather asks the log and other entries at once and returns the state with the
// highest offset beyond the one given. An epoch of "" allows any.
func (s *Store) gather(ctx context.Context, beyond uint64, epoch string) candidate {
	ctx, cancel := context.WithTimeout(ctx, gatherWait)
	defer cancel()
	asked := []func(context.Context, uint64) (candidate, error){s.fromSnapshot, s.fromPeer}
	ch := make(chan candidate, len(asked))
	for _, ask := range asked {
		go func() {
			c, err := ask(ctx, beyond)
			if err != nil {
				s.log.Debug("No state.", "err", err)
			}
			ch <- c
		}()
	}
	var best candidate
	for range asked {
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
	s.keeper.saw(f)
	return restored("snapshot", epoch, f.offset, f.state)
}

func (s *Store) fromPeer(ctx context.Context, beyond uint64) (candidate, error) {
	if s.seams.PeerState == nil {
		return candidate{}, nil
	}
	p, err := s.seams.PeerState(ctx, beyond)
	if err != nil || len(p.State) == 0 {
		return candidate{}, err
	}
	return restored("peer", p.Epoch, p.Offset, p.State)
}

var errOffset = errors.New("the state contains another offset than its head says")

func restored(source, epoch string, offset uint64, state []byte) (candidate, error) {
	fold, err := resource.RestoreFold(state)
	if err != nil {
		return candidate{}, err
	}
	if fold.Offset() != offset {
		return candidate{}, fail("restore", KindSnapshot, errOffset)
	}
	return candidate{source: source, epoch: epoch, fold: fold}, nil
}
