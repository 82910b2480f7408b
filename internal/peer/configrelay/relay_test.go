package configrelay_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
)

var ctx = context.Background()

// Required bounds of the time until a change is in force at every entry.
const (
	boundHealthy = 2 * time.Second
	boundFault   = 10 * time.Second
)

func TestDomainWithoutLogReadsAndChangesThroughPeers(t *testing.T) {
	for name, route := range map[string]cut{"refused": cutRefuse, "silent": cutSilent} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, []string{"a", "a", "b", "c"}, func(is *is.I, f *fleet) {
				f.set(func() { f.cutLog["a"] = route })
				out, err := f.entries[3].store.Submit(ctx, put("1", "d", 0, "m1"))
				is.NoErr(err)
				is.True(f.awaitOffset(out.Offset(), time.Minute) < boundFault)
				start := time.Now()
				out, err = f.entries[0].store.Submit(ctx, put("2", "d", out.Offset(), "m2"))
				is.NoErr(err) // appended through another entry and read back
				is.True(time.Since(start) < boundFault)
				is.True(f.awaitOffset(out.Offset(), time.Minute) < boundFault)
				is.True(f.entries[0].relay.State().ViaPeers > 0)
				f.set(func() { f.cutLog["a"] = cutNone })
				time.Sleep(30 * time.Second)
				is.True(f.entries[0].relay.State().LogReachable)
				is.Equal(f.entries[0].relay.State().Hops, 0) // reads directly again
			})
		})
	}
}

func TestPartitionedDomainRejectsChangesAndCatchesUp(t *testing.T) {
	withFleet(t, []string{"a", "b", "b"}, func(is *is.I, f *fleet) {
		f.set(func() { f.cutLog["a"] = cutRefuse })
		f.set(func() { f.cutPeer[[2]string{"a", "b"}] = true })
		time.Sleep(10 * time.Second)
		_, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.True(err != nil)
		refused := fault.Is(err, config.KindUnavailable)
		out, err := f.entries[1].store.Submit(ctx, put("2", "d", 0, "m2"))
		is.NoErr(err)
		f.set(func() { delete(f.cutPeer, [2]string{"a", "b"}) })
		f.set(func() { f.cutLog["a"] = cutNone })
		is.True(f.awaitOffset(out.Offset(), time.Minute) < boundFault)
		time.Sleep(time.Minute)
		if refused {
			_, known := f.entries[1].store.Fate("1")
			is.True(!known) // a refused change never takes effect
		}
		is.Equal(f.entries[0].store.View().Deployment("d").Spec().Model, "m2")
	})
}

func TestRelayReportsUnknownOutcomes(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		f.set(func() { f.cutLog["a"] = cutRefuse })
		time.Sleep(10 * time.Second)
		f.set(func() { f.loseIn["b"] = 1 }) // appended, but the response between entries is lost
		_, err := f.entries[0].relay.Append(ctx, []byte("x"))
		is.True(!logservice.NoEffect(err))
		f.log.LoseAnswers(1) // appended, but the response of the log to the other entry is lost
		_, err = f.entries[0].relay.Append(ctx, []byte("y"))
		is.True(!logservice.NoEffect(err))
		f.log.SetOutage(true) // no entry reaches the log
		_, err = f.entries[0].relay.Append(ctx, []byte("z"))
		is.True(logservice.NoEffect(err))
		f.log.SetOutage(false)
		time.Sleep(time.Minute)
		b, err := f.log.Bounds(ctx, resource.Stream)
		is.NoErr(err)
		is.Equal(b.Next, uint64(2)) // x and y, not z
	})
}

func TestNewEntryLoadsPeerStateDuringALogOutage(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		out, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		f.log.SetOutage(true)
		time.Sleep(time.Minute)
		e := f.add("a")
		time.Sleep(5 * time.Second)
		is.True(e.store.Ready())
		is.Equal(e.store.View().Offset(), out.Offset())
		is.Equal(e.store.State().Source, "peer")
		_, err = e.store.Submit(ctx, put("2", "d", out.Offset(), "m2"))
		is.True(fault.Is(err, config.KindUnavailable))
		f.log.SetOutage(false)
		time.Sleep(10 * time.Second)
		_, err = e.store.Submit(ctx, put("2", "d", out.Offset(), "m2"))
		is.NoErr(err)
	})
}

func TestConfigurationSurvivesRetentionAndReplacementOfAllVMs(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		out, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		for range 5 { // no changes for five times the retention, while VMs are replaced one by one
			time.Sleep(retention)
			old := f.entries[0]
			f.add(old.domain)
			time.Sleep(10 * time.Second)
			f.remove(old)
		}
		b, err := f.log.Bounds(ctx, resource.Stream)
		is.NoErr(err)
		_, _, err = f.log.Read(ctx, resource.Stream, 0, 1, 0)
		is.True(err != nil)            // the record itself has expired
		is.Equal(b.Next, out.Offset()) // stream offsets are one higher than store offsets
		for len(f.entries) > 0 {       // then all VMs are replaced during an outage of two thirds of the retention
			f.remove(f.entries[0])
		}
		f.log.SetOutage(true)
		time.Sleep(retention * 2 / 3)
		f.log.SetOutage(false)
		e := f.add("c")
		time.Sleep(10 * time.Second)
		is.Equal(e.store.State().Source, "snapshot")
		is.Equal(e.store.View().Deployment("d").Spec().Model, "m1")
		_, err = e.store.Submit(ctx, put("2", "d", out.Offset(), "m2"))
		is.NoErr(err)
	})
}

func TestSnapshotsAreNotWrittenByAllEntries(t *testing.T) {
	withFleet(t, []string{"a", "a", "b", "b", "c", "c"}, func(is *is.I, f *fleet) {
		_, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		time.Sleep(2 * retention)
		written := uint64(0)
		for _, e := range f.entries {
			written += e.store.State().Snapshot.Written
		}
		is.True(written >= 16)   // at least about one per 1/16 of the retention
		is.True(written <= 2*20) // one by each entry would be 192
	})
}

func TestExpiredRecordsAreRestoredFromTheNewestState(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		f.set(func() { f.cutLog["a"] = cutSilent })
		f.set(func() { f.cutPeer[[2]string{"a", "b"}] = true })
		version := uint64(0)
		for i := range 3 {
			out, err := f.entries[1].store.Submit(ctx, put(fmt.Sprint(i), "d", version, fmt.Sprint("m", i)))
			is.NoErr(err)
			version = out.Offset()
		}
		f.log.Expire(resource.Stream, version-1)
		f.set(func() { f.cutLog["a"] = cutNone })
		f.set(func() { delete(f.cutPeer, [2]string{"a", "b"}) })
		time.Sleep(20 * time.Second)
		is.Equal(f.entries[0].store.View().Offset(), version)
		is.NoErr(f.agree())
	})
}

func TestAnotherEpochIsNotFollowed(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		_, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		time.Sleep(time.Second)
		f.log.Reset("2")
		time.Sleep(time.Minute)
		e := f.add("a")
		time.Sleep(time.Minute)
		for _, e := range f.entries {
			is.True(!e.store.Healthy()) // the mismatch is reported
			is.Equal(e.store.View().Deployment("d").Spec().Model, "m1")
		}
		is.Equal(e.store.State().Epoch, "1")
	})
}

func TestLostResponseIsSettled(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		base := f.entries[0].store.View().Offset()
		rec, err := resource.EncodeChange(put("lost", "d", 0, "m1"))
		is.NoErr(err)
		_, known := f.entries[0].store.Fate("lost")
		is.True(!known)
		t, err := f.entries[1].store.Settle(ctx, "lost", base)
		is.NoErr(err)
		is.Equal(t.Result, resource.ResultVoided)
		_, err = f.entries[0].relay.Append(ctx, rec) // arrives late
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		for _, e := range f.entries {
			is.True(e.store.View().Deployment("d") == nil)
		}

		f.log.LoseAnswers(1)
		out, err := f.entries[0].store.Submit(ctx, put("found", "d", 0, "m1"))
		is.NoErr(err) // read back
		t, err = f.entries[1].store.Settle(ctx, "found", 0)
		is.NoErr(err)
		is.True(t.Accepted())
		is.Equal(t.Offset, out.Offset())
	})
}

func TestChangeIDMakesRetriesIdempotent(t *testing.T) {
	withFleet(t, []string{"a", "b"}, func(is *is.I, f *fleet) {
		first, err := f.entries[0].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		time.Sleep(time.Second)
		again, err := f.entries[1].store.Submit(ctx, put("1", "d", 0, "m1"))
		is.NoErr(err)
		is.Equal(again.Offset(), first.Offset())
		_, err = f.entries[1].store.Submit(ctx, put("1", "d", 0, "other"))
		is.True(fault.Is(err, config.KindReused))
		_, err = f.entries[1].store.Submit(ctx, put("2", "d", 0, "other"))
		is.True(fault.Is(err, config.KindRejected))
		_, err = f.entries[0].store.Submit(ctx, put("2", "d", 0, "other"))
		is.True(fault.Is(err, resource.KindConflict)) // the outcome of the first submission is kept
	})
}
