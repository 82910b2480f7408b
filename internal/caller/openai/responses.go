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
	// ResponsesPrefix is the path below which answers are resumed and cancelled.
	ResponsesPrefix = "/v1/responses/"
	headerLastEvent = "Last-Event-ID"

	servingTTL    = 15 * time.Second
	servingRenew  = servingTTL / 3
	servingTokens = 1
	cancelWait    = 2 * time.Second
	markTTL       = 3 * time.Second
)

// Responses serves GET (resume) and DELETE (cancel) of /v1/responses/{id}.
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
	if last := string(ctx.Request.Header.Peek(headerLastEvent)); last != "" {
		if at, err = parseEventID(last); err != nil {
			h.refuse(ctx, reply.InvalidRequest(headerLastEvent, headerLastEvent+": want the id of an event of this answer."))
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
		c := h.resumed(ws, rid, client, from)
		c.text = text
		if at.engine != "" {
			c.moved = movedText(at.attempt, at.engine)
		}
		h.run(ctx, c)
	case ctx.IsDelete():
		h.remove(ctx, rid, client)
	default:
		reply.MethodNotAllowed(ctx, "GET, DELETE")
	}
}

// unknownResponse is the error of every id that this workspace can't resume.
func unknownResponse() *reply.Error {
	e := reply.NotFound("response_not_found", "There is no such response to resume or cancel.")
	e.Ran = reply.RanUnknown // it may have run and be forgotten
	return e
}

// resumed returns a call that goes on with an answer from the token on.
func (h *Handler) resumed(ws *resource.Workspace, rid *responseID, client *engine.Client, from int) *call {
	for _, old := range h.streams.of(rid.request) {
		old.cancel(errTaken)
	}
	req := &request{model: rid.deployment, stream: true, includeUsage: rid.usage}
	c := newCall(h, req, *rid, ws, time.Until(rid.deadline()))
	r := clientRun(client, rid.attempt, rid.stream())
	serving := serve(client, rid.stream(), h.seams.Owner)
	r.release, r.done = serving.release, func(placement.Outcome) { serving.close() }
	c.src = newSource(sourceSeams{place: noPlace, cancel: c.cancelRun, opened: c.setRun}, false, 0)
	c.src.at.Pos = from
	c.src.start(r)
	c.headed = true // the caller has the id already
	return c
}

var errNoPrompt = errors.New("only the entry that took the request has its prompt")

func noPlace(context.Context, map[string]bool) (*run, error) { return nil, errNoPrompt }

// remove cancels an answer.
func (h *Handler) remove(ctx *fasthttp.RequestCtx, rid *responseID, client *engine.Client) {
	for _, c := range h.streams.of(rid.request) {
		c.cancel(errCancelled)
	}
	confirmed := make(chan struct{})
	h.cancels.add(&cancelJob{
		engine: client.Name(), stream: rid.stream(), done: func() {},
		call: func(ctx context.Context) error {
			// An engine short of memory takes no mark: the cancel may then look like a lost engine.
			_ = client.Hold(ctx, engine.HoldRequest{Hold: orphan.CancelMarkerID(rid.stream()), Owner: h.seams.Owner, Tokens: servingTokens, TTL: markTTL})
			err := client.Cancel(ctx, rid.stream())
			if err == nil {
				close(confirmed)
			}
			return err
		},
	}, 0)
	select {
	case <-confirmed:
		reply.JSON(ctx, fasthttp.StatusOK, deleted{ID: strings.TrimPrefix(string(ctx.Path()), ResponsesPrefix), Object: "response", Deleted: true})
	case <-time.After(cancelWait):
		h.refuse(ctx, &reply.Error{
			Status: fasthttp.StatusGatewayTimeout, Type: "server_error", Code: "cancel_unconfirmed",
			Message: "The engine has not confirmed the cancel yet; it is repeated until it does.", Ran: reply.RanPartial,
		})
	}
}

// deleted is OpenAI's answer to a deleted response.
type deleted struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// serving is the sign at an engine that this entry serves a stream which it did
// not open: a hold with a time limit that it renews.
type serving struct {
	client *engine.Client
	hold   engine.HoldRequest
	stop   context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// serve puts up the sign. Without one, an engine short of memory, the answer goes
// on all the same, and the sign is tried again.
func serve(client *engine.Client, stream string, self engine.Owner) *serving {
	ctx, cancel := context.WithCancel(context.Background())
	s := &serving{
		client: client, stop: cancel, done: make(chan struct{}),
		hold: engine.HoldRequest{Hold: orphan.ResumeHoldID(stream, self), Owner: self, Tokens: servingTokens, TTL: servingTTL},
	}
	s.put(ctx)
	go func() {
		defer close(s.done)
		for {
			select {
			case <-time.After(servingRenew):
				s.put(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

func (s *serving) put(ctx context.Context) {
	if err := s.client.Renew(ctx, s.hold.Hold, servingTTL); fault.Is(err, engine.KindRefused) {
		_ = s.client.Hold(ctx, s.hold) // the next round tries again
	}
}

// release takes the sign down. It may be repeated.
func (s *serving) release(ctx context.Context) error {
	s.stop()
	<-s.done
	return s.client.Release(ctx, s.hold.Hold)
}

// close takes the sign down; its time limit does so where the engine can't be reached.
func (s *serving) close() {
	s.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
		defer cancel()
		_ = s.release(ctx) // its time limit ends it otherwise
	})
}
