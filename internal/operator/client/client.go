// Package client calls the resource API of an entry.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
)

const (
	callTimeout = 15 * time.Second
	// watchLimit bounds the silence of a watch: an entry sends a line every 5 seconds.
	watchLimit = 20 * time.Second
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

// Put creates or replaces an object.
func (c *Client) Put(ctx context.Context, o resource.Object) (resource.Object, error) {
	var out resource.Object
	err := rest.Call(ctx, c.rc, http.MethodPut, path(o.Kind, o.Metadata.Name), &o, &out)
	return out, classify("put "+string(o.Kind)+"/"+o.Metadata.Name, err)
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
	err := rest.Call[struct{}, struct{}](ctx, c.rc, http.MethodDelete, path(kind, name), nil, nil)
	return classify("delete "+string(kind)+"/"+name, err)
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
	x, err := httpconn.Do(ctx, c.network, string(req.URI().Host()), req, httpconn.Limits{First: callTimeout, Read: watchLimit})
	if err != nil {
		return fail("watch", KindUnreachable, err)
	}
	defer x.Close()
	if x.Status() != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(x, 4096)) // the text is for people only
		return fail("watch", KindRefused, fmt.Errorf("%d: %s", x.Status(), b))
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
		if err := f(ev); err != nil {
			return err
		}
	}
}

func path(kind resource.Type, name string) string {
	p := api.Prefix + string(kind)
	if name != "" {
		p += "/" + name
	}
	return p
}

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
	cause := errors.New(body.Error.Message)
	switch st.Status() {
	case http.StatusConflict:
		return fail(op, KindConflict, cause)
	case http.StatusGatewayTimeout:
		return fail(op, KindUnknown, cause)
	default:
		return fail(op, KindRefused, cause)
	}
}

// Decode reads the objects of a YAML or JSON file, which may hold several documents.
func Decode(file []byte) ([]resource.Object, error) {
	var out []resource.Object
	d := yaml.NewDecoder(bytes.NewReader(file))
	for i := 1; ; i++ {
		var doc any
		err := d.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, fail(fmt.Sprintf("document %d", i), KindFile, err)
		}
		if doc == nil {
			continue
		}
		o, err := decodeObject(doc)
		if err != nil {
			return nil, fail(fmt.Sprintf("document %d", i), KindFile, err)
		}
		out = append(out, o)
	}
}

func decodeObject(doc any) (resource.Object, error) {
	var o resource.Object
	raw, err := json.Marshal(doc)
	if err != nil {
		return o, err
	}
	if err := resource.DecodeStrict(raw, &o, ""); err != nil {
		return o, err
	}
	if o.Kind, err = resource.ParseType(string(o.Kind)); err != nil {
		return o, err
	}
	return o, o.Check()
}
