// Package vmlist is a client of the platform's list of live and leaving VMs. The list
// is updated with a delay, so callers must treat it as a hint.
package vmlist

import (
	"context"
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

// KindUnavailable means that the list could not be read.
const KindUnavailable Kind = "unavailable"

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("vm list")

// State is the state of a VM as the platform reports it.
type State string

// States of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an item of the list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"` // host:port
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Client reads the VM list.
type Client struct {
	rc *rest.Client
}

// NewClient returns a Client of the service at the base URL.
func NewClient(network *netio.Network, base string) *Client {
	return &Client{rc: rest.New(network, base, callTimeout)}
}

// VMs returns the list, sorted by name.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	if err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, "/v1/vms", nil, &out); err != nil {
		return nil, fault.New(&class, "read", KindUnavailable, err)
	}
	return out, nil
}
