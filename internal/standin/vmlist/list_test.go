package vmlist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/vmlist"
)

func TestChangesAppearAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := vmlist.New(5 * time.Second)
		l.Put(vmlist.VM{Name: "vm-1", State: vmlist.StateLive})
		vms, ok := l.VMs()
		is.True(ok)
		is.Equal(len(vms), 0)

		time.Sleep(5 * time.Second)
		l.Remove("vm-1")
		vms, _ = l.VMs()
		is.Equal(len(vms), 1)
		time.Sleep(5 * time.Second)
		vms, _ = l.VMs()
		is.Equal(len(vms), 0)

		l.SetOutage(true)
		_, ok = l.VMs()
		is.True(!ok)
	})
}
