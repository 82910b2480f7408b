// Package client is a client of an entry's resource API.
package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	callTimeout = 15 * time.Second
	// watchReadTimeout is the maximum time between two lines of a watch. An entry
	// sends one at least every 5 seconds.
	watchReadTimeout = 20 * time.Second

	minResumeDelay = 200 * time.Millisecond
	maxResumeDelay = 5 * time.Second
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFile means that a file can't be read or decoded.
	KindFile Kind = "bad file"
	// KindRefused means that the entry refused the call. Nothing was changed.
	KindRefused Kind = "refused"
	// KindConflict means that the change conflicts with the current state, such as a
	// change of an outdated version.
	KindConflict Kind = "conflict"
	// KindUnknown means that the outcome of the call is unknown; a change may still
	// take effect.
	KindUnknown Kind = "unknown"
	// KindGone means that the watch starts at an offset that is no longer retained.
	KindGone Kind = "offset gone"
	// KindUnreachable means that the call did not reach the entry, or that the
	// connection of a watch was lost.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("client")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Client calls the API of one entry.
type Client struct {
	network *netio.Network
	rc      *rest.Client
	token   string
}

// New returns a client for the entry at the base URL that authenticates with the
// operator token.
func New(network *netio.Network, base, token string) *Client {
	return &Client{network: network, rc: rest.New(network, base, callTimeout).WithToken(token), token: token}
}

// Put creates or replaces an object and returns the stored one. If the object has no
// change id it generates one, so that the change can be settled if there is no answer.
func (c *Client) Put(ctx context.Context, o resource.Object) (resource.Object, error) {
	var out resource.Object
	if o.Metadata.ChangeID == "" {
		o.Metadata.ChangeID = uuid.Must(uuid.NewV7()).String()
	}
	err := rest.Call(ctx, c.rc, http.MethodPut, path(o.Kind, o.Metadata.Name), &o, &out)
	return out, pending(o.Metadata.ChangeID, classify("put "+string(o.Kind)+"/"+o.Metadata.Name, err))
}

// PendingChange is the cause of an error of KindUnknown about a change. It holds what
// Settle needs.
type PendingChange struct {
	id   string
	base uint64
	err  error
}

// ID returns the change's id.
func (p *PendingChange) ID() string { return p.id }

// Base returns the base offset for Settle, or 0 if the entry did not send one.
func (p *PendingChange) Base() uint64 { return p.base }

// Error implements error.
func (p *PendingChange) Error() string { return fmt.Sprintf("change %s: %v", p.id, p.err) }

// Unwrap returns the underlying error.
func (p *PendingChange) Unwrap() error { return p.err }

// pending wraps an error of KindUnknown in a PendingChange with the id and the base
// offset from the answer. It returns other errors unchanged.
func pending(id string, err error) error {
	if !fault.Is(err, KindUnknown) {
		return err
	}
	p := &PendingChange{id: id, err: err}
	var st *rest.StatusError
	var body api.ErrorBody
	if errors.As(err, &st) && json.Unmarshal(st.Body(), &body) == nil {
		p.base = body.Error.Base
	}
	return fail("change", KindUnknown, p)
}

// Change returns the result of a change.
func (c *Client) Change(ctx context.Context, id string) (api.Change, error) {
	var out api.Change
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, api.Prefix+"changes/"+url.PathEscape(id), nil, &out)
	return out, classify("get change "+id, err)
}

// Settle returns the result of a change whose outcome is unknown. A change that is not
// yet in the log is voided, so that it never takes effect.
func (c *Client) Settle(ctx context.Context, id string, base uint64) (api.Change, error) {
	var out api.Change
	path := fmt.Sprintf("%schanges/%s/settle?base=%d", api.Prefix, url.PathEscape(id), base)
	err := rest.Call[struct{}](ctx, c.rc, http.MethodPost, path, nil, &out)
	return out, classify("settle "+id, err)
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind resource.Type, name string) (resource.Object, error) {
	var out resource.Object
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, path(kind, name), nil, &out)
	return out, classify("get "+string(kind)+"/"+name, err)
}

// List returns the objects of a kind.
func (c *Client) List(ctx context.Context, kind resource.Type) (api.List, error) {
	var out api.List
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, path(kind, ""), nil, &out)
	return out, classify("get "+string(kind), err)
}

// Delete deletes the current version of an object.
func (c *Client) Delete(ctx context.Context, kind resource.Type, name string) error {
	id := uuid.Must(uuid.NewV7()).String()
	err := rest.Call[struct{}, struct{}](ctx, c.rc, http.MethodDelete, path(kind, name)+"?changeId="+id, nil, nil)
	return pending(id, classify("delete "+string(kind)+"/"+name, err))
}

// Dump returns the state dump of the entry as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var out json.RawMessage
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, "/debug/state", nil, &out)
	return out, classify("dump", err)
}

// Watch calls f for each event after the offset, until ctx ends, the connection is
// lost or f returns an error, which Watch returns. An offset of 0 starts at the
// current state.
func (c *Client) Watch(ctx context.Context, kind resource.Type, from uint64, f func(api.Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	uri := c.rc.Base() + path(kind, "") + "?watch=true"
	if from > 0 {
		uri += fmt.Sprintf("&from=%d", from)
	}
	req.SetRequestURI(uri)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	x, err := httpconn.Do(ctx, c.network, string(req.URI().Host()), req, httpconn.Limits{Header: callTimeout, Read: watchReadTimeout})
	if err != nil {
		return fail("watch", KindUnreachable, err)
	}
	defer x.Close()
	if x.Status() != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(x, 4096)) // used in the error message only
		kind := KindRefused
		if x.Status() == http.StatusGone {
			kind = KindGone
		}
		return fail("watch", kind, fmt.Errorf("%d: %s", x.Status(), b))
	}
	lines := bufio.NewReader(x)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return fail("watch", KindUnreachable, err)
		}
		var ev api.Event
		if err := json.Unmarshal(line, &ev); err != nil {
			return fail("watch", KindRefused, err)
		}
		if ev.Type == api.EventGone {
			return fail("watch", KindGone, nil)
		}
		if err := f(ev); err != nil {
			return err
		}
	}
}

// Follow is like Watch but resumes after failures: it continues from the last offset
// after a lost connection. If that offset is no longer retained it lists the objects,
// passes them to f as events of type EventList, and watches from there. It returns
// when ctx ends, the entry refuses a call or f returns an error.
func (c *Client) Follow(ctx context.Context, kind resource.Type, from uint64, f func(api.Event) error) error {
	var handlerErr error
	handle := func(ev api.Event) error {
		from = max(from, ev.Offset)
		handlerErr = f(ev)
		return handlerErr
	}
	for delay := minResumeDelay; ; delay = min(2*delay, maxResumeDelay) {
		start := from
		err := c.Watch(ctx, kind, from, handle)
		if from > start {
			delay = minResumeDelay
		}
		if fault.Is(err, KindGone) {
			if err = c.relist(ctx, kind, handle); err == nil {
				pause.For(ctx, delay) // the next watch may be refused again
				continue
			}
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case handlerErr != nil:
			return handlerErr
		case !fault.Is(err, KindUnreachable) && !fault.Is(err, KindUnknown):
			return err
		}
		pause.For(ctx, delay)
	}
}

// EventList is the type of the events for the objects of a list.
const EventList = "list"

// relist passes the current objects of the kind to f, then an event with the offset of
// the list.
func (c *Client) relist(ctx context.Context, kind resource.Type, handle func(api.Event) error) error {
	list, err := c.List(ctx, kind)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if err := handle(api.Event{Type: EventList, Offset: o.Metadata.Version, Object: &o}); err != nil {
			return err
		}
	}
	return handle(api.Event{Type: api.EventAlive, Offset: list.Offset})
}

func path(kind resource.Type, name string) string {
	p := api.Prefix + string(kind)
	if name != "" {
		p += "/" + name
	}
	return p
}

// silentError wraps an error in a chain without adding its text.
type silentError struct{ err error }

// Error returns an empty string; the wrapping error already has the message.
func (silentError) Error() string { return "" }

// Unwrap returns the wrapped error.
func (h silentError) Unwrap() error { return h.err }

// classify converts an error of a call to an error of this package. An error answer is
// represented by the message in its body.
func classify(op string, err error) error {
	var st *rest.StatusError
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &st):
		if fault.Is(err, rest.KindNoAnswer) {
			return fail(op, KindUnknown, err)
		}
		return fail(op, KindUnreachable, err)
	}
	var body api.ErrorBody
	if json.Unmarshal(st.Body(), &body) != nil || body.Error.Message == "" {
		body.Error.Message = string(st.Body())
	}
	cause := fmt.Errorf("%s%w", body.Error.Message, silentError{st})
	switch st.Status() {
	case http.StatusConflict:
		return fail(op, KindConflict, cause)
	case http.StatusGatewayTimeout:
		return fail(op, KindUnknown, cause)
	default:
		return fail(op, KindRefused, cause)
	}
}
