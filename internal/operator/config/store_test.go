package config_test

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/logcalls"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

// seams connects a store to an in-memory log.
func seams(l *store.Store) config.Seams {
	return config.Seams{
		Read: func(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
			return logcalls.Read(ctx, l, resource.Stream, from, wait)
		},
		Append: func(ctx context.Context, rec []byte) (uint64, error) {
			return logcalls.Append(ctx, l, resource.Stream, [][]byte{rec})
		},
	}
}

func change(id string, replaces uint64) resource.Change {
	return resource.Change{
		ID: id, Op: resource.OpPut, Kind: resource.TypeDeployment, Name: "d", Replaces: replaces,
		Spec: json.RawMessage(`{"model":"m` + id + `","contextTokens":10}`),
	}
}

func withStores(t *testing.T, f func(is *is.I, l *store.Store, open func() *config.Store)) {
	synctest.Test(t, func(t *testing.T) {
		l := store.New()
		f(is.New(t), l, func() *config.Store {
			s := config.NewStore(seams(l), config.Settings{}, log.New(io.Discard))
			t.Cleanup(s.Close)
			return s
		})
	})
}

func TestChangeIsInForceAtEveryEntry(t *testing.T) {
	withStores(t, func(is *is.I, _ *store.Store, open func() *config.Store) {
		a, b := open(), open()
		out, err := a.Submit(context.Background(), change("1", 0))
		is.NoErr(err)
		is.Equal(out.Current(), uint64(1))
		synctest.Wait()
		is.True(b.View().Deployment("d") != nil)

		out, err = b.Submit(context.Background(), change("2", 0))
		is.True(fault.Is(err, config.KindRejected))
		is.Equal(out.Current(), uint64(1))
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	withStores(t, func(is *is.I, l *store.Store, open func() *config.Store) {
		a := open()
		l.LoseAnswers(1)
		_, err := a.Submit(context.Background(), change("1", 0))
		is.NoErr(err)
	})
}

func TestViewSurvivesLogOutage(t *testing.T) {
	withStores(t, func(is *is.I, l *store.Store, open func() *config.Store) {
		a := open()
		_, err := a.Submit(context.Background(), change("1", 0))
		is.NoErr(err)
		l.SetOutage(true)
		time.Sleep(time.Minute)
		is.True(a.View().Deployment("d") != nil)
		is.True(!a.State().Healthy)
		_, err = a.Submit(context.Background(), change("2", 1))
		is.True(fault.Is(err, config.KindUnavailable))
		l.SetOutage(false)
		time.Sleep(10 * time.Second)
		is.True(a.State().Healthy)
	})
}

func TestOtherEpochIsNotFollowed(t *testing.T) {
	withStores(t, func(is *is.I, l *store.Store, open func() *config.Store) {
		a := open()
		_, err := a.Submit(context.Background(), change("1", 0))
		is.NoErr(err)
		l.Reset("2")
		time.Sleep(time.Minute)
		is.True(a.View().Deployment("d") != nil)
		is.True(!a.State().Healthy)
	})
}
