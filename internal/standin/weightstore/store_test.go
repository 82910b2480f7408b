package weightstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/weightstore"
)

func TestReadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := weightstore.New(100, 3*time.Second)
		g, ok := s.Take(200)
		is.True(ok)
		is.Equal(g.Wait, time.Duration(0))
		g, ok = s.Take(200)
		is.True(ok)
		is.Equal(g.Wait, 2*time.Second)
		_, ok = s.Take(1)
		is.True(!ok) // four seconds of reads are scheduled
		is.Equal(s.Refused(), uint64(1))
		time.Sleep(time.Second)
		_, ok = s.Take(1)
		is.True(ok)
	})
}
