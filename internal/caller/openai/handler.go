// Package openai serves OpenAI's completion APIs to callers.
package openai

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/work"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	// defaultPatience is the time limit of a request where nobody set one.
	defaultPatience = 60 * time.Second
	maxAttempts     = 3
	// gapLimit bounds the wait for the next token once the first came.
	gapLimit       = 10 * time.Second
	cancelTimeout  = 10 * time.Second
	cancelRetry    = 200 * time.Millisecond
	cancelWorkers  = 32
	cancelQueue    = 4096
	runesPerToken  = 4
	maxTokensFloor = 1
)

// Seams are what the handler asks of the rest of the entry.
type Seams struct {
	View  func() *resource.View
	Place func(ctx context.Context, p placement.Prompt, tried map[string]bool) (*placement.Grant, error)
	Hold  func() (release func()) // counts an answer that is being streamed
}

// Handler serves the APIs. Its methods may be called from any goroutine.
type Handler struct {
	seams   Seams
	log     *log.Logger
	metrics tally.Scope
	cancels *work.Pool
	streams *registry
}

// NewHandler returns a handler. Close waits for its cancels.
func NewHandler(seams Seams, metrics tally.Scope, logger *log.Logger) *Handler {
	return &Handler{
		seams:   seams,
		log:     logger.WithPrefix("openai"),
		metrics: metrics.SubScope("openai"),
		cancels: work.New(cancelWorkers, cancelQueue),
		streams: newRegistry(),
	}
}

// Close waits for the cancels under way.
func (h *Handler) Close() { h.cancels.Close() }

// Chat serves POST /v1/chat/completions.
func (h *Handler) Chat(ctx *fasthttp.RequestCtx) { h.serve(ctx, shapeChat) }

// Completions serves POST /v1/completions.
func (h *Handler) Completions(ctx *fasthttp.RequestCtx) { h.serve(ctx, shapeText) }

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// Models serves GET /v1/models: the deployments that the workspace may use.
func (h *Handler) Models(ctx *fasthttp.RequestCtx) {
	view := h.seams.View()
	ws := view.WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		reply.Unauthorized().Write(ctx)
		return
	}
	out := modelList{Object: "list", Data: []model{}}
	for _, d := range view.Deployments() {
		if ws.Allows(d.Name()) {
			out.Data = append(out.Data, model{ID: d.Name(), Object: "model", OwnedBy: "dogwoodmill"})
		}
	}
	reply.JSON(ctx, fasthttp.StatusOK, out)
}

// call is one request in progress.
type call struct {
	*request
	id     string
	shape  shape
	ws     *resource.Workspace
	dep    *resource.Deployment
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	grant  *placement.Grant
	stream *engine.Stream
	first  engine.Piece
}

func (h *Handler) serve(ctx *fasthttp.RequestCtx, sh shape) {
	c, apiErr := h.accept(ctx, sh)
	if apiErr == nil {
		ctx.Response.Header.Set(reply.HeaderRequestID, c.id)
		apiErr = h.open(c)
	}
	if apiErr != nil {
		h.refuse(ctx, apiErr)
		return
	}
	if c.request.stream {
		h.writeStream(ctx, c)
		return
	}
	h.writeWhole(ctx, c)
}

func (h *Handler) refuse(ctx *fasthttp.RequestCtx, e *reply.Error) {
	h.metrics.Tagged(map[string]string{"code": e.Code}).Counter("refused").Inc(1)
	e.Write(ctx)
}

// accept checks who asks for what.
func (h *Handler) accept(ctx *fasthttp.RequestCtx, sh shape) (*call, *reply.Error) {
	view := h.seams.View()
	ws := view.WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		return nil, reply.Unauthorized()
	}
	r, apiErr := parse(sh, ctx.PostBody())
	if apiErr != nil {
		return nil, apiErr
	}
	dep := view.Deployment(r.model)
	if dep == nil || !ws.Allows(r.model) {
		return nil, reply.NotFound("model_not_found", fmt.Sprintf("The model %q does not exist or is not open to this workspace.", r.model))
	}
	patience, apiErr := reply.Patience(ctx, orElse(ws.Spec().Patience.Duration(), defaultPatience), resource.MaxPatience)
	if apiErr != nil {
		return nil, apiErr
	}
	if apiErr := bound(r, dep.Spec()); apiErr != nil {
		return nil, apiErr
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, reply.Overloaded("internal", "No request id could be made.", time.Second)
	}
	c := &call{request: r, id: id.String(), shape: sh, ws: ws, dep: dep, start: time.Now()}
	c.ctx, c.cancel = context.WithTimeout(context.Background(), patience)
	return c, nil
}

// bound sets max_tokens and refuses what is longer than the deployment's context.
func bound(r *request, spec resource.DeploymentSpec) *reply.Error {
	limit := orElse(spec.MaxOutputTokens, defaultMaxTokens)
	tokens := estimate(r.prompt)
	if tokens+maxTokensFloor > spec.ContextTokens {
		e := reply.InvalidRequest("messages", fmt.Sprintf("The prompt has about %d tokens; the model's context has %d.", tokens, spec.ContextTokens))
		e.Code = "context_length_exceeded"
		return e
	}
	if r.maxTokens == 0 || r.maxTokens > limit {
		r.maxTokens = limit
	}
	r.maxTokens = min(r.maxTokens, spec.ContextTokens-tokens)
	return nil
}

// open places the request and reads its first piece. Engines that ran nothing
// are passed over.
func (h *Handler) open(c *call) *reply.Error {
	deadline, _ := c.ctx.Deadline()
	p := placement.Prompt{
		ID: c.id, Workspace: c.ws.Name(), Deployment: c.dep, Text: c.prompt,
		Tokens: estimate(c.prompt), MaxTokens: c.maxTokens, Seed: c.seed, Deadline: deadline,
	}
	tried := map[string]bool{}
	var err error
	for range maxAttempts {
		if err = h.try(c, p, tried); err == nil {
			h.metrics.Timer("first_token").Record(time.Since(c.start))
			return nil
		}
		if !fault.Is(err, engine.KindRefused) && !fault.Is(err, engine.KindUnsent) {
			break
		}
	}
	timeout := c.ctx.Err() != nil
	c.cancel()
	if timeout {
		return timedOut(ranBefore(err))
	}
	return errorFor(err)
}

// ranBefore tells what ran of a request that failed before its first token.
func ranBefore(err error) reply.Ran {
	var p *placement.Error
	if errors.As(err, &p) || fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent) {
		return reply.RanNo
	}
	return reply.RanUnknown
}

func (h *Handler) try(c *call, p placement.Prompt, tried map[string]bool) error {
	grant, err := h.seams.Place(c.ctx, p, tried)
	if err != nil {
		return err
	}
	tried[grant.Engine().Name()] = true
	c.grant = grant
	stream := fmt.Sprintf("%s-%d", c.id, len(tried))
	remaining := time.Until(p.Deadline)
	if c.stream, err = grant.Engine().Open(c.ctx, grant.Request(stream), remaining); err == nil {
		c.first, err = c.stream.Next()
	}
	if err != nil {
		h.abandon(c, stream, err)
		return err
	}
	grant.FirstToken()
	h.streams.add(c)
	return nil
}

// abandon gives back what a try took.
func (h *Handler) abandon(c *call, stream string, err error) {
	grant := c.grant
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
	if fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent) {
		grant.Done(placement.Outcome{Err: err})
		return
	}
	h.cancelAtEngine(grant, stream, err)
}

// cancelAtEngine repeats the cancel until the engine confirms it or the time
// limit ends.
func (h *Handler) cancelAtEngine(grant *placement.Grant, stream string, cause error) {
	err := h.cancels.Go(func() {
		defer grant.Done(placement.Outcome{Err: cause})
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if err := grant.Engine().Cancel(ctx, stream); err == nil {
				return
			}
			select {
			case <-time.After(cancelRetry):
			case <-ctx.Done():
			}
		}
		h.log.Warn("An engine did not confirm a cancel.", "engine", grant.Engine().Name(), "stream", stream)
	})
	if err != nil {
		grant.Done(placement.Outcome{Err: cause})
		h.log.Warn("A cancel was left to the collection of orphans.", "engine", grant.Engine().Name(), "stream", stream, "err", err)
	}
}

// finish ends a call whose first piece came, with its last piece or the error
// that cut it.
func (h *Handler) finish(c *call, last engine.Piece, err error) {
	h.streams.remove(c)
	c.cancel()
	c.stream.Close()
	if err == nil {
		c.grant.Done(placement.Outcome{Usage: last.Usage})
		return
	}
	h.cancelAtEngine(c.grant, c.stream.ID(), err)
}

// next returns the piece after p.
func (c *call) next(p engine.Piece) (engine.Piece, error) {
	if p.Finish != "" {
		return p, io.EOF
	}
	return c.stream.Next()
}

// cut returns the error of a call that stopped after its first token.
func (c *call) cut() *reply.Error {
	if c.ctx.Err() != nil {
		return timedOut(reply.RanPartial)
	}
	return lost(reply.RanPartial)
}

func (h *Handler) writeWhole(ctx *fasthttp.RequestCtx, c *call) {
	var text strings.Builder
	p, err := c.first, error(nil)
	for err == nil && p.Finish == "" {
		text.WriteString(p.Text)
		p, err = c.next(p)
	}
	h.finish(c, p, err)
	if err != nil {
		h.refuse(ctx, c.cut())
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, newAnswer(c.shape, c.id, c.model).whole(text.String(), p.Finish, p.Usage))
}

func (h *Handler) writeStream(ctx *fasthttp.RequestCtx, c *call) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	release := h.seams.Hold()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer release()
		last, err := relay(w, c)
		h.finish(c, last, err)
	})
}

// relay writes the pieces. It returns the last one, or an error where the answer
// did not come to its end at the engine.
func relay(w *bufio.Writer, c *call) (engine.Piece, error) {
	a := newAnswer(c.shape, c.id, c.model)
	p, err := c.first, error(nil)
	for {
		if err != nil {
			_ = writeRaw(w, p.Pos, c.cut().JSON()) // the caller may be gone
			return p, err
		}
		if err := writeEvent(w, p.Pos, a.chunk(p)); err != nil {
			return p, err
		}
		if p.Finish != "" {
			break
		}
		p, err = c.next(p)
	}
	if c.includeUsage {
		if err := writeEvent(w, p.Pos, a.usageChunk(p.Usage)); err != nil {
			return p, nil // the engine was done
		}
	}
	_ = writeRaw(w, p.Pos, []byte("[DONE]")) // the caller may be gone
	return p, nil
}

// State returns the handler's part of the state dump.
func (h *Handler) State() []StreamState { return h.streams.state() }

// estimate returns the number of tokens that a text probably has.
func estimate(text string) int {
	n := 0
	for range text {
		n++
	}
	return (n + runesPerToken - 1) / runesPerToken
}

func orElse[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
