// Package api serves the HTTP API for operators to read, change and watch the
// configuration.
package api

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
)

const (
	// Prefix is the path prefix of the API, before the kind.
	Prefix = "/apis/dogwoodmill/v1/"

	watchHeartbeatInterval = 5 * time.Second
)

// Error describes the error of an answer with a status of 400 or more.
type Error struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Field    string `json:"field,omitempty"`
	Value    string `json:"value,omitempty"`
	Allowed  string `json:"allowed,omitempty"`
	Current  uint64 `json:"current,omitempty"`  // current version of the object
	ChangeID string `json:"changeId,omitempty"` // change that the error is about
	Base     uint64 `json:"base,omitempty"`     // base offset for settling the change
	Earliest uint64 `json:"earliest,omitempty"` // earliest offset that a watch can start from
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error Error `json:"error"`
}

// List is the body of the answer to a GET of a kind.
type List struct {
	Kind   resource.Type     `json:"kind"`
	Offset uint64            `json:"offset"`
	Items  []resource.Object `json:"items"`
}

// The types of events. EventAlive is a heartbeat with the last offset the entry has
// processed. EventGone ends a watch whose next changes are no longer retained.
const (
	EventPut    = "put"
	EventDelete = "delete"
	EventAlive  = "alive"
	EventGone   = "gone"
)

// Event is a line of the answer to a watch.
type Event struct {
	Type   string           `json:"type"`
	Offset uint64           `json:"offset"`
	Object *resource.Object `json:"object,omitempty"`
}

// Seams are the handler's dependencies on the rest of the entry.
type Seams struct {
	// Authorized reports whether the operator token is valid.
	Authorized func(token string) bool
	// InForce counts the live entries that have applied the offset.
	InForce func(offset uint64) resource.InForce
}

// Handler serves the API. It is safe for concurrent use.
type Handler struct {
	store *config.Store
	seams Seams
	log   *log.Logger
	done  chan struct{}
}

// NewHandler returns a handler for the configuration in the store. Close ends its
// watches.
func NewHandler(store *config.Store, seams Seams, logger *log.Logger) *Handler {
	return &Handler{store: store, seams: seams, log: logger.WithPrefix("api"), done: make(chan struct{})}
}

// Close ends all watches.
func (h *Handler) Close() { close(h.done) }

// Serve serves the paths {kind}, {kind}/{name} and changes/ below Prefix.
func (h *Handler) Serve(ctx *fasthttp.RequestCtx) {
	if !h.seams.Authorized(reply.Bearer(ctx)) {
		write(ctx, fasthttp.StatusUnauthorized, Error{Code: "unauthorized", Message: "The operator token is missing or not valid."})
		return
	}
	kindName, name, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), Prefix), "/")
	if kindName == changesPath {
		h.serveChange(ctx, name)
		return
	}
	kind, err := resource.ParseType(kindName)
	if err != nil || string(kind) != kindName {
		write(ctx, fasthttp.StatusNotFound, Error{Code: "unknown_kind", Message: fmt.Sprintf("There is no kind %q.", kindName)})
		return
	}
	switch method := string(ctx.Method()); {
	case method == fasthttp.MethodGet && ctx.QueryArgs().GetBool("watch"):
		h.watch(ctx, kind, name)
	case method == fasthttp.MethodGet && name == "":
		h.list(ctx, kind)
	case method == fasthttp.MethodGet:
		h.get(ctx, kind, name)
	case method == fasthttp.MethodPut && name != "":
		h.put(ctx, kind, name)
	case method == fasthttp.MethodDelete && name != "":
		h.delete(ctx, kind, name)
	default:
		allowed := "GET, PUT, DELETE"
		if name == "" {
			allowed = "GET"
		}
		write(ctx, fasthttp.StatusMethodNotAllowed, Error{Code: "method_not_allowed", Message: method + " is not served here.", Allowed: allowed})
		ctx.Response.Header.Set(fasthttp.HeaderAllow, allowed)
	}
}

func write(ctx *fasthttp.RequestCtx, status int, e Error) { reply.JSON(ctx, status, ErrorBody{e}) }

// withStatus returns the object with its status set.
func (h *Handler) withStatus(o resource.Object) resource.Object {
	f := h.seams.InForce(o.Metadata.Version)
	ready := "false"
	if f.Seen == f.Of {
		ready = "true"
	}
	o.Status = &resource.Status{Conditions: []resource.Condition{{Type: "InForce", Status: ready}}, InForce: f}
	return o
}

func (h *Handler) list(ctx *fasthttp.RequestCtx, kind resource.Type) {
	view := h.store.View()
	out := List{Kind: kind, Offset: view.Offset(), Items: []resource.Object{}}
	for _, o := range view.Objects(kind) {
		out.Items = append(out.Items, h.withStatus(o))
	}
	reply.JSON(ctx, fasthttp.StatusOK, out)
}

func (h *Handler) get(ctx *fasthttp.RequestCtx, kind resource.Type, name string) {
	o, ok := h.store.View().Object(kind, name)
	if !ok {
		notFound(ctx, kind, name)
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, h.withStatus(o))
}

func notFound(ctx *fasthttp.RequestCtx, kind resource.Type, name string) {
	write(ctx, fasthttp.StatusNotFound, Error{Code: "not_found", Message: fmt.Sprintf("There is no %s/%s.", kind, name)})
}

func (h *Handler) put(ctx *fasthttp.RequestCtx, kind resource.Type, name string) {
	var o resource.Object
	err := resource.DecodeStrict(ctx.PostBody(), &o, "")
	if err == nil {
		err = setIdentity(&o, kind, name)
	}
	if err == nil {
		err = o.Check()
	}
	if err != nil {
		writeError(ctx, resource.Change{}, resource.Outcome{}, err)
		return
	}
	if cur, ok := h.store.View().Object(kind, name); ok && cur.Metadata.Version == o.Metadata.Version && cur.Metadata.ChangeID == o.Metadata.ChangeID {
		o.Metadata.ChangeID = "" // an unedited id is that of the previous change, not of this one
	}
	c := resource.Change{
		ID: o.Metadata.ChangeID, Op: resource.OpPut, Kind: kind, Name: name,
		Replaces: o.Metadata.Version, Spec: o.Spec,
	}
	out, err := h.submit(&c)
	if err != nil {
		writeError(ctx, c, out, err)
		return
	}
	status := fasthttp.StatusOK
	if o.Metadata.Version == 0 && out.Current() == out.Offset() {
		status = fasthttp.StatusCreated
	}
	reply.JSON(ctx, status, h.withStatus(h.result(o, c, out)))
}

// result returns the object after an accepted change: the new version, or the current
// one if the change left the spec as it was.
func (h *Handler) result(o resource.Object, c resource.Change, out resource.Outcome) resource.Object {
	o.Metadata = resource.Metadata{Name: c.Name, Version: out.Offset(), ChangeID: c.ID}
	if out.Current() == 0 || out.Current() == out.Offset() {
		return o
	}
	if cur, ok := h.store.View().Object(c.Kind, c.Name); ok && cur.Metadata.Version == out.Current() {
		return cur
	}
	o.Metadata.Version, o.Metadata.ChangeID = out.Current(), ""
	return o
}

// setIdentity sets a missing kind and name of the object to those of the path. It
// returns an error of KindInvalid if they differ from the path.
func setIdentity(o *resource.Object, kind resource.Type, name string) error {
	if o.Kind == "" {
		o.Kind = kind
	}
	if o.Metadata.Name == "" {
		o.Metadata.Name = name
	}
	given, err := resource.ParseType(string(o.Kind))
	if err != nil {
		return err
	}
	o.Kind = given
	if o.Kind != kind || o.Metadata.Name != name {
		return resource.Invalid("metadata.name", fmt.Sprintf("%s/%s", o.Kind, o.Metadata.Name), fmt.Sprintf("%s/%s, as in the path", kind, name))
	}
	return nil
}

func (h *Handler) delete(ctx *fasthttp.RequestCtx, kind resource.Type, name string) {
	o, ok := h.store.View().Object(kind, name)
	if _, retried := h.store.Fate(string(ctx.QueryArgs().Peek("changeId"))); !ok && !retried {
		notFound(ctx, kind, name)
		return
	}
	o.Kind, o.Metadata.Name = kind, name
	version := o.Metadata.Version
	if ctx.QueryArgs().Has("version") {
		v, err := ctx.QueryArgs().GetUint("version")
		if err != nil {
			writeError(ctx, resource.Change{}, resource.Outcome{}, resource.Invalid("version", string(ctx.QueryArgs().Peek("version")), "a version"))
			return
		}
		version = uint64(v)
	}
	c := resource.Change{
		ID: string(ctx.QueryArgs().Peek("changeId")),
		Op: resource.OpDelete, Kind: kind, Name: name, Replaces: version,
	}
	out, err := h.submit(&c)
	if err != nil {
		writeError(ctx, c, out, err)
		return
	}
	o.Metadata.ChangeID = c.ID
	o.Metadata.Version = out.Offset()
	reply.JSON(ctx, fasthttp.StatusOK, o)
}

// submit sets a missing change id and the base, and waits for the outcome.
func (h *Handler) submit(c *resource.Change) (resource.Outcome, error) {
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	c.Base = h.store.View().Offset()
	out, err := h.store.Submit(context.Background(), *c) // Submit has its own timeout
	if err != nil {
		h.log.Info("Change not accepted.", "change", c.ID, "op", c.Op, "kind", c.Kind, "name", c.Name, "err", err)
		return out, err
	}
	h.log.Info("Change accepted and applied.", "change", c.ID, "op", c.Op, "kind", c.Kind, "name", c.Name, "offset", out.Offset())
	return out, nil
}

// writeError answers with the status and body for an error of a change.
func writeError(ctx *fasthttp.RequestCtx, c resource.Change, out resource.Outcome, err error) {
	var v *resource.Violation
	switch {
	case errors.As(err, &v):
		write(ctx, fasthttp.StatusUnprocessableEntity, Error{Code: "invalid", Message: v.Error(), Field: v.Field, Value: v.Value, Allowed: v.Allowed})
	case fault.Is(err, config.KindReused):
		write(ctx, fasthttp.StatusUnprocessableEntity, Error{
			Code: "invalid", Field: "metadata.changeId", Value: c.ID, Allowed: "an id that no other change has",
			Message: "Another change has this id; nothing was changed.", ChangeID: c.ID,
		})
	case fault.Is(err, resource.KindVoided):
		write(ctx, fasthttp.StatusConflict, Error{
			Code: "voided", ChangeID: c.ID,
			Message: "The change takes no effect: " + cause(err) + ". Apply it with another id.",
		})
	case fault.Is(err, resource.KindInUse):
		write(ctx, fasthttp.StatusConflict, Error{
			Code: "in_use", Current: out.Current(),
			Message: fmt.Sprintf("%s/%s is in use: %s.", c.Kind, c.Name, cause(err)),
		})
	case fault.Is(err, resource.KindConflict):
		write(ctx, fasthttp.StatusConflict, Error{Code: "conflict", Current: out.Current(), Message: conflictMessage(out.Current())})
	case fault.Is(err, resource.KindInvalid):
		write(ctx, fasthttp.StatusUnprocessableEntity, Error{Code: "invalid", Message: err.Error(), ChangeID: c.ID})
	case fault.Is(err, config.KindUnknown):
		write(ctx, fasthttp.StatusGatewayTimeout, Error{
			Code: "unknown", ChangeID: c.ID, Base: c.Base,
			Message: "The log gave no answer; the change may yet take effect. " + settleHint(c),
		})
	case fault.Is(err, config.KindExpired):
		write(ctx, fasthttp.StatusGone, Error{Code: "expired", Message: err.Error(), ChangeID: c.ID})
	default:
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "2")
		write(ctx, fasthttp.StatusServiceUnavailable, Error{Code: "log_unavailable", Message: "The log can't be reached; nothing was changed."})
	}
}

// cause returns the message of the innermost cause of an error of the fold.
func cause(err error) string {
	var e *resource.Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	causes := e.Unwrap()
	return causes[len(causes)-1].Error()
}

func conflictMessage(current uint64) string {
	if current == 0 {
		return "There is no such object now."
	}
	return fmt.Sprintf("Another version is current: %d.", current)
}

// watch streams the accepted changes of a kind, or of one object, after an offset as
// newline-delimited JSON.
func (h *Handler) watch(ctx *fasthttp.RequestCtx, kind resource.Type, name string) {
	from := h.store.View().Offset()
	if ctx.QueryArgs().Has("from") {
		n, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
		if err != nil {
			writeError(ctx, resource.Change{}, resource.Outcome{}, resource.Invalid("from", string(ctx.QueryArgs().Peek("from")), "an offset"))
			return
		}
		from = n
	}
	if _, _, kept := h.store.Since(from); !kept {
		earliest := h.store.Earliest()
		write(ctx, fasthttp.StatusGone, Error{
			Code: "offset_gone", Earliest: earliest,
			Message: fmt.Sprintf("Changes are kept after offset %d only. List the kind and watch from the list's offset.", earliest),
		})
		return
	}
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { h.writeEvents(w, kind, name, from) })
}

func (h *Handler) writeEvents(w *bufio.Writer, kind resource.Type, name string, from uint64) {
	enc := json.NewEncoder(w)
	for {
		outs, grown, kept := h.store.Since(from)
		if !kept {
			_ = enc.Encode(Event{Type: EventGone, Offset: h.store.Earliest()}) // last event of the watch
			_ = w.Flush()
			return
		}
		for _, out := range outs {
			from = out.Offset()
			if ev, ok := eventOf(out, kind, name); ok && enc.Encode(ev) != nil {
				return
			}
		}
		if len(outs) == 0 {
			_ = enc.Encode(Event{Type: EventAlive, Offset: from}) // Flush returns the write error
		}
		if w.Flush() != nil {
			return
		}
		select {
		case <-grown:
		case <-time.After(watchHeartbeatInterval):
		case <-h.done:
			return
		}
	}
}

// eventOf returns the event for an outcome. It reports false for a rejected change and
// for other objects.
func eventOf(out resource.Outcome, kind resource.Type, name string) (Event, bool) {
	c := out.Change()
	if out.Err() != nil || c.Kind != kind || name != "" && c.Name != name {
		return Event{}, false
	}
	o := &resource.Object{Kind: kind, Metadata: resource.Metadata{Name: c.Name, Version: out.Offset(), ChangeID: c.ID}, Spec: c.Spec}
	return Event{Type: string(c.Op), Offset: out.Offset(), Object: o}, true
}
