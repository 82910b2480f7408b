package weightstore_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/weightstore"
	standin "github.com/dogwoodmill/dogwoodmill/internal/standin/weightstore"
)

func TestReserve(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(standin.New(1, time.Hour).Handler())
	c := weightstore.NewClient(netio.TCP(), srv.URL)
	wait, err := c.Reserve(t.Context(), 24*3600)
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
	_, err = c.Reserve(t.Context(), 1)
	is.True(fault.Is(err, weightstore.KindBusy))
	srv.Close()
	_, err = c.Reserve(t.Context(), 1)
	is.True(fault.Is(err, weightstore.KindUnavailable))
}
