// Package client calls the resource API of an entry.
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
	// watchLimit bounds the silence of a watch: an entry sends a line every 5 seconds.
	watchLimit = 20 * time.Second

	resumeFirst = 200 * time.Millisecond
	resumeMax   = 5 * time.Second
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindFile is the kind of a file that can't be decoded.
	KindFile Kind = "bad file"
	// KindRefused is the kind of a call that the entry refused: nothing changed.
	KindRefused Kind = "refused"
	// KindConflict is the kind of a change of another version than the current one.
	KindConflict Kind = "conflict"
	// KindUnknown is the kind of a change that may yet take effect.
	KindUnknown Kind = "unknown"
	// KindGone is the kind of a watch from an offset that is kept no more.
	KindGone Kind = "offset gone"
	// KindUnreachable is the kind of a call that did not reach an entry.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

var class = errs.Class("client")

func fail(op string, kind Kind, err error) error { return fault.New(&class, op, kind, err) }

// Client calls one entry.
type Client struct {
	network *netio.Network
	rc      *rest.Client
	token   string
}

// New returns a client of the entry at the base URL.
func New(network *netio.Network, base, token string) *Client {
	return &Client{network: network, rc: rest.New(network, base, callTimeout).WithToken(token), token: token}
}

// Put creates or replaces an object. It gives the change an id where the object
// names none, so that the change can be settled if no answer comes.
func (c *Client) Put(ctx context.Context, o resource.Object) (resource.Object, error) {
	var out resource.Object
	if o.Metadata.ChangeID == "" {
		o.Metadata.ChangeID = uuid.Must(uuid.NewV7()).String()
	}
	err := rest.Call(ctx, c.rc, http.MethodPut, path(o.Kind, o.Metadata.Name), &o, &out)
	return out, pending(o.Metadata.ChangeID, classify("put "+string(o.Kind)+"/"+o.Metadata.Name, err))
}

// PendingChange is the cause of an error of KindUnknown: it names the change.
type PendingChange struct {
	id   string
	base uint64
	err  error
}

// ID returns the change's id.
func (p *PendingChange) ID() string { return p.id }

// Base returns the offset that settling needs; 0 where the entry told none.
func (p *PendingChange) Base() uint64 { return p.base }

// Error names the change and the reason.
func (p *PendingChange) Error() string { return fmt.Sprintf("change %s: %v", p.id, p.err) }

// Unwrap returns the reason.
func (p *PendingChange) Unwrap() error { return p.err }

// pending adds the id of a change to an error of KindUnknown.
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

// Change returns what became of a change.
func (c *Client) Change(ctx context.Context, id string) (api.Change, error) {
	var out api.Change
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, api.Prefix+"changes/"+url.PathEscape(id), nil, &out)
	return out, classify("get change "+id, err)
}

// Settle decides a change whose answer was lost: it was accepted or rejected, or
// it never takes effect.
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

// Delete deletes an object at its current version.
func (c *Client) Delete(ctx context.Context, kind resource.Type, name string) error {
	id := uuid.Must(uuid.NewV7()).String()
	err := rest.Call[struct{}, struct{}](ctx, c.rc, http.MethodDelete, path(kind, name)+"?changeId="+id, nil, nil)
	return pending(id, classify("delete "+string(kind)+"/"+name, err))
}

// Dump returns the state of the entry as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var out json.RawMessage
	err := rest.Call[struct{}](ctx, c.rc, http.MethodGet, "/debug/state", nil, &out)
	return out, classify("dump", err)
}

// Watch calls f with each event after the offset until ctx ends, the connection
// does or f returns an error. An offset of 0 starts now.
func (c *Client) Watch(ctx context.Context, kind resource.Type, from uint64, f func(api.Event) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	uri := c.rc.Base() + path(kind, "") + "?watch=true"
	if from > 0 {
		uri += fmt.Sprintf("&from=%d", from)
	}
	req.SetRequestURI(uri)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	x, err := httpconn.Do(ctx, c.network, string(req.URI().Host()), req, httpconn.Limits{Header: callTimeout, Read: watchLimit})
	if err != nil {
		return fail("watch", KindUnreachable, err)
	}
	defer x.Close()
	if x.Status() != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(x, 4096)) // the text is for people only
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

// Follow watches and resumes by itself: after a lost connection from the last
// offset, and where that is kept no more from a new list, whose objects it hands
// on as events of type "list". It ends with ctx, a refusal or an error of f.
func (c *Client) Follow(ctx context.Context, kind resource.Type, from uint64, f func(api.Event) error) error {
	var failed error
	note := func(ev api.Event) error {
		from = max(from, ev.Offset)
		failed = f(ev)
		return failed
	}
	for delay := resumeFirst; ; delay = min(2*delay, resumeMax) {
		start := from
		err := c.Watch(ctx, kind, from, note)
		if from > start {
			delay = resumeFirst
		}
		if fault.Is(err, KindGone) {
			if err = c.relist(ctx, kind, note); err == nil {
				continue
			}
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case failed != nil:
			return failed
		case !fault.Is(err, KindUnreachable) && !fault.Is(err, KindUnknown):
			return err
		}
		pause.For(ctx, delay)
	}
}

// EventList is the type of the events that stand for the objects of a list.
const EventList = "list"

func (c *Client) relist(ctx context.Context, kind resource.Type, note func(api.Event) error) error {
	list, err := c.List(ctx, kind)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if err := note(api.Event{Type: EventList, Offset: o.Metadata.Version, Object: &o}); err != nil {
			return err
		}
	}
	return note(api.Event{Type: api.EventAlive, Offset: list.Offset})
}

func path(kind resource.Type, name string) string {
	p := api.Prefix + string(kind)
	if name != "" {
		p += "/" + name
	}
	return p
}

// hidden keeps an answer in a chain of errors without its text.
type hidden struct{ err error }

// Error returns nothing: the message stands before it.
func (hidden) Error() string { return "" }

// Unwrap returns the answer.
func (h hidden) Unwrap() error { return h.err }

// classify turns an answer of 400 or more into the message that it holds.
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
	cause := fmt.Errorf("%s%w", body.Error.Message, hidden{st})
	switch st.Status() {
	case http.StatusConflict:
		return fail(op, KindConflict, cause)
	case http.StatusGatewayTimeout:
		return fail(op, KindUnknown, cause)
	default:
		return fail(op, KindRefused, cause)
	}
}
