package intake

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
)

// caller is a body whose reader releases it once it is evicted.
type caller struct {
	*Body
}

func open(is *is.I, m *Memory, address string) *caller {
	is.Helper()
	c := &caller{}
	b, err := m.Open(address, func() { go func() { c.Release() }() })
	is.NoErr(err)
	c.Body = b
	return c
}

func withMemory(t *testing.T, f func(is *is.I, m *Memory, reports *[]bool)) {
	synctest.Test(t, func(t *testing.T) {
		var (
			mu      sync.Mutex
			reports []bool
		)
		m := New(Settings{Most: 1000, Now: time.Now, After: time.After, Changed: func(short bool, _ State) {
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, short)
		}})
		f(is.New(t), m, &reports)
		synctest.Wait()
	})
}

// Guards against eviction of a body that keeps arriving in place of one that stopped.
func TestSlowestAndLargestIsEvictedFirst(t *testing.T) {
	withMemory(t, func(is *is.I, m *Memory, _ *[]bool) {
		large, stalled, small := open(is, m, "a"), open(is, m, "a"), open(is, m, "a")
		is.NoErr(large.Take(500))
		is.NoErr(stalled.Take(300))
		is.NoErr(small.Take(10))
		time.Sleep(5 * time.Second)
		large.Progress(time.Now())
		is.NoErr(large.Take(400))
		is.True(stalled.Evicted())
		is.True(!large.Evicted() && !small.Evicted())
		is.Equal(m.State().Evicted, int64(1))
		is.True(!stalled.Finish(300)) // its request must not run
		is.True(fault.Is(stalled.Take(1), KindEvicted))
	})
}

// Guards against one address that keeps all memory while another waits.
func TestAddressWithMostMemoryYields(t *testing.T) {
	withMemory(t, func(is *is.I, m *Memory, _ *[]bool) {
		other := open(is, m, "b")
		is.NoErr(other.Take(300))
		time.Sleep(9 * time.Second) // the slowest
		var crowd []*caller
		for range 6 {
			c := open(is, m, "a")
			is.NoErr(c.Take(90))
			crowd = append(crowd, c)
		}
		is.NoErr(other.Take(400))
		evicted := 0
		for _, c := range crowd {
			if c.Evicted() {
				evicted++
			}
		}
		is.True(evicted > 0)
		is.True(!other.Evicted())
	})
}

// Guards against new bodies that are shut out as long as stalled ones hold the memory.
func TestNewBodyReplacesStalledOne(t *testing.T) {
	withMemory(t, func(is *is.I, m *Memory, reports *[]bool) {
		stalled := open(is, m, "a")
		is.NoErr(stalled.Take(900))
		is.Equal(*reports, []bool{true})
		c := open(is, m, "a")
		is.True(stalled.Evicted())
		is.NoErr(c.Take(100))
		synctest.Wait()                         // the evicted body reports in its goroutine
		is.Equal(*reports, []bool{true, false}) // one report for each change
	})
}

// Guards against eviction of bodies that are being served, whose requests run.
func TestFinishedBodiesStay(t *testing.T) {
	withMemory(t, func(is *is.I, m *Memory, _ *[]bool) {
		served := open(is, m, "a")
		is.NoErr(served.Take(950))
		is.True(served.Finish(900))
		time.Sleep(time.Minute)
		start := time.Now()
		_, err := m.Open("b", func() {})
		is.True(fault.Is(err, KindNoMemory))
		is.Equal(time.Since(start), waitTimeout)
		is.True(!served.Evicted())
		served.Release()
		served.Release()
		is.Equal(m.State().Used, int64(0))
		is.Equal(m.State().Refused, int64(1))
	})
}
