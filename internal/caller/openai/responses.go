package openai

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

const (
	// ResponsesPrefix is the path prefix for resuming and cancelling responses.
	ResponsesPrefix   = "/v1/responses/"
	headerLastEventID = "Last-Event-ID"

	servingTTL           = 15 * time.Second
	servingRenewInterval = servingTTL / 3
	servingTokens        = 1
	cancelConfirmTimeout = 2 * time.Second
	cancelMarkTTL        = 3 * time.Second
)

// Responses serves /v1/responses/{id}: GET resumes a response after the event of the
// Last-Event-ID header, DELETE cancels it.
func (h *Handler) Responses(ctx *fasthttp.RequestCtx) {
	ws := h.seams.View().WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		reply.Unauthorized().Write(ctx)
		return
	}
	text := strings.TrimPrefix(string(ctx.Path()), ResponsesPrefix)
	rid, err := h.ids.decode(ws.Name(), text)
	if err != nil || rid.engine == "" || h.seams.now().After(rid.deadline()) {
		h.refuse(ctx, unknownResponse())
		return
	}
	var at eventID
	from := 0
	if last := string(ctx.Request.Header.Peek(headerLastEventID)); last != "" {
		if at, err = parseEventID(last); err != nil {
			h.refuse(ctx, reply.InvalidRequest(headerLastEventID, headerLastEventID+": want the id of an event of this answer."))
			return
		}
		from = at.pos + 1
	}
	if at.engine != "" {
		rid.attempt, rid.engine = at.attempt, at.engine
	}
	client := h.seams.Engine(rid.engine)
	switch {
	case client == nil:
		h.refuse(ctx, unknownResponse())
	case ctx.IsGet():
		c := h.newResumedCall(ws, rid, client, from)
		c.idText = text
		if at.engine != "" {
			c.eventSuffix = formatEventSuffix(at.attempt, at.engine)
		}
		h.respond(ctx, c)
	case ctx.IsDelete():
		h.cancelResponse(ctx, rid, client)
	default:
		reply.MethodNotAllowed(ctx, "GET, DELETE")
	}
}

// unknownResponse is the error for an id that is invalid, expired, of another workspace
// or no longer known at its engine.
func unknownResponse() *reply.Error {
	e := reply.NotFound("response_not_found", "There is no such response to resume or cancel.")
	e.Ran = reply.RanUnknown // it may have run and been forgotten
	return e
}

// newResumedCall returns a call that resumes a response at position from. It ends the
// calls of the same request at this entry.
func (h *Handler) newResumedCall(ws *resource.Workspace, rid *responseID, client *engine.Client, from int) *call {
	for _, old := range h.streams.byRequest(rid.request) {
		old.cancel(errResumedElsewhere)
	}
	req := &request{model: rid.deployment, stream: true, includeUsage: rid.usage}
	c := newCall(h, req, *rid, ws, time.Until(rid.deadline()))
	r := newRun(client, rid.attempt, rid.stream())
	serving := newServingHold(client, rid.stream(), h.seams.Owner)
	r.release, r.done = serving.release, func(placement.Outcome) { serving.close() }
	c.src = newSource(sourceSeams{place: placeWithoutPrompt, cancel: c.cancelRun, opened: c.setRun}, false, 0)
	c.src.position.Pos = from
	c.src.start(r)
	c.idSent = true // the caller has sent it
	return c
}

var errNoPrompt = errors.New("the prompt is known only to the entry that received the request")

func placeWithoutPrompt(context.Context, map[string]bool) (*run, error) { return nil, errNoPrompt }

// cancelResponse cancels a response and waits up to cancelConfirmTimeout for the
// engine's confirmation.
func (h *Handler) cancelResponse(ctx *fasthttp.RequestCtx, rid *responseID, client *engine.Client) {
	for _, c := range h.streams.byRequest(rid.request) {
		c.cancel(errCancelled)
	}
	confirmed := make(chan struct{})
	h.cancels.add(&cancelJob{
		engine: client.Name(), stream: rid.stream(), done: func() {},
		call: func(ctx context.Context) error {
			// The mark tells the entry that reads the stream that its caller cancelled it.
			// An engine short of memory refuses the mark, and that entry may then take the
			// cancel for an orphan collector's.
			_ = client.Hold(ctx, engine.HoldRequest{Hold: orphan.CancelMarkerID(rid.stream()), Owner: h.seams.Owner, Tokens: servingTokens, TTL: cancelMarkTTL})
			err := client.Cancel(ctx, rid.stream())
			if err == nil {
				close(confirmed)
			}
			return err
		},
	}, 0)
	select {
	case <-confirmed:
		reply.JSON(ctx, fasthttp.StatusOK, deletedResponse{ID: strings.TrimPrefix(string(ctx.Path()), ResponsesPrefix), Object: "response", Deleted: true})
	case <-time.After(cancelConfirmTimeout):
		h.refuse(ctx, &reply.Error{
			Status: fasthttp.StatusGatewayTimeout, Type: "server_error", Code: "cancel_unconfirmed",
			Message: "The engine has not confirmed the cancel yet; it is repeated until it does.", Ran: reply.RanPartial,
		})
	}
}

// deletedResponse is OpenAI's response to a deletion.
type deletedResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// servingHold marks at an engine that this entry serves a stream that another entry
// opened. It is a hold with a time limit that is renewed in the background.
type servingHold struct {
	client *engine.Client
	hold   engine.HoldRequest
	stop   context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// newServingHold places the hold and starts its renewal. If the engine refuses it for
// lack of memory, the response continues without it and the next renewal tries again.
func newServingHold(client *engine.Client, stream string, self engine.Owner) *servingHold {
	ctx, cancel := context.WithCancel(context.Background())
	s := &servingHold{
		client: client, stop: cancel, done: make(chan struct{}),
		hold: engine.HoldRequest{Hold: orphan.ResumeHoldID(stream, self), Owner: self, Tokens: servingTokens, TTL: servingTTL},
	}
	s.renew(ctx)
	go func() {
		defer close(s.done)
		for {
			select {
			case <-time.After(servingRenewInterval):
				s.renew(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

func (s *servingHold) renew(ctx context.Context) {
	if err := s.client.Renew(ctx, s.hold.Hold, servingTTL); fault.Is(err, engine.KindRefused) {
		_ = s.client.Hold(ctx, s.hold) // retried at the next renewal
	}
}

// release stops the renewal and releases the hold. It may be called again.
func (s *servingHold) release(ctx context.Context) error {
	s.stop()
	<-s.done
	return s.client.Release(ctx, s.hold.Hold)
}

// close releases the hold. If the engine can't be reached, the hold expires.
func (s *servingHold) close() {
	s.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelConfirmTimeout)
		defer cancel()
		_ = s.release(ctx) // on failure the hold expires
	})
}
