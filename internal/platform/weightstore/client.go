// Package weightstore is a client of the platform's store of model weights,
// which admits a limited number of bytes a second over all readers.
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
	// KindUnavailable is the kind of a call that got no grant.
	KindUnavailable Kind = "unavailable"
	// KindBusy is the kind of a read that the store has no rate left for.
	KindBusy Kind = "over the rate"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("weight store")

type grant struct {
	Wait time.Duration `json:"wait_ns"`
}

// Client books reads. Its methods may be called from any goroutine.
type Client struct {
	rc *rest.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(network *netio.Network, base string) *Client {
	return &Client{rc: rest.New(network, base, callTimeout)}
}

// Book books a read of so many bytes and returns the time after which it may
// start. A booking whose answer is lost costs its part of the rate.
func (c *Client) Book(ctx context.Context, bytes int64) (time.Duration, error) {
	var g grant
	err := rest.Call[struct{}](ctx, c.rc, http.MethodPost, fmt.Sprintf("/v1/reads?bytes=%d", bytes), nil, &g)
	switch {
	case rest.Status(err) == http.StatusTooManyRequests:
		return 0, fault.New(&class, "book", KindBusy, err)
	case err != nil:
		return 0, fault.New(&class, "book", KindUnavailable, err)
	}
	return g.Wait, nil
}
