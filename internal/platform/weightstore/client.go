// Package weightstore is a client of the platform's store of model weights. The store
// limits the bytes a second that all readers together may read.
package weightstore

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
)

const callTimeout = 2 * time.Second

// Kind classifies the errors of this package.
type Kind string

const (
	// KindUnavailable means that the call got no reservation.
	KindUnavailable Kind = "unavailable"
	// KindBusy means that the read was rejected because the rate is fully reserved.
	KindBusy Kind = "over the rate"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("weight store")

type reservation struct {
	Wait time.Duration `json:"wait_ns"`
}

// Client reserves reads. It is safe for concurrent use.
type Client struct {
	rc *rest.Client
}

// NewClient returns a Client of the service at the base URL.
func NewClient(network *netio.Network, base string) *Client {
	return &Client{rc: rest.New(network, base, callTimeout)}
}

// Reserve reserves a read of the given number of bytes and returns the delay after which
// it may start. A reservation whose response is lost is not returned to the rate.
func (c *Client) Reserve(ctx context.Context, bytes int64) (time.Duration, error) {
	var g reservation
	err := rest.Call[struct{}](ctx, c.rc, http.MethodPost, fmt.Sprintf("/v1/reads?bytes=%d", bytes), nil, &g)
	switch {
	case rest.Status(err) == http.StatusTooManyRequests:
		return 0, fault.New(&class, "book", KindBusy, err)
	case err != nil:
		return 0, fault.New(&class, "book", KindUnavailable, err)
	}
	return g.Wait, nil
}
