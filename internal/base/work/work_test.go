package work_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
)

func TestPoolRejectsOverCapacityAndCloseWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := work.New(2, 1)
		var ran atomic.Int32
		task := func() {
			time.Sleep(time.Second)
			ran.Add(1)
		}
		accepted := 0
		for range 10 {
			err := p.Go(task)
			if err == nil {
				accepted++
				continue
			}
			is.True(fault.Is(err, work.KindFull))
		}
		is.Equal(accepted, 3)
		p.Close()
		is.Equal(int(ran.Load()), accepted)
		is.True(fault.Is(p.Go(task), work.KindClosed))
	})
}
