// Package openai serves the OpenAI-compatible HTTP API: chat and text completions,
// the list of models, and resuming or cancelling a response.
package openai

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

const (
	// defaultPatience is the time limit of a request if neither its workspace nor its
	// headers set one.
	defaultPatience = 60 * time.Second
	runesPerToken   = 4
	minOutputTokens = 1
	// MaxPromptBytes is the default limit on the total size of the prompts that an
	// entry holds in memory.
	MaxPromptBytes   = 256 << 20
	promptRetryAfter = 2 * time.Second
	// statusClientClosed is the status that nginx logs when a client closes its
	// connection before the response; the client never sees it.
	statusClientClosed = 499
)

// Seams are the handler's dependencies on the rest of the entry.
type Seams struct {
	View   func() *resource.View
	Place  func(ctx context.Context, p placement.Prompt, tried map[string]bool) (*placement.Grant, error)
	Hold   func() (release func())          // counts a streamed response until release is called
	Engine func(name string) *engine.Client // nil if no such engine is configured
	Owner  engine.Owner                     // this entry
	IDKey  string                           // key that signs response ids; the same on all entries
	// Limit takes a request with its tokens from the workspace's limits. If they are
	// used up, it returns false and when to retry. If Limit is nil, there are no limits.
	Limit func(workspace string, spec resource.Limits, tokens int) (release func(), retryAfter time.Duration, ok bool)
	now   func() time.Time
}

// Handler serves the API. Its methods are safe for concurrent use.
type Handler struct {
	seams        Seams
	log          *log.Logger
	metrics      tally.Scope
	cancels      *canceller
	streams      *registry
	ids          *idSigner
	prompts      *byteBudget
	pendingBytes atomic.Int64 // bytes not yet written to slow callers, of all streams
}

// NewHandler returns a handler. Close must be called to finish its pending cancels.
func NewHandler(seams Seams, metrics tally.Scope, logger *log.Logger) *Handler {
	if seams.now == nil {
		seams.now = time.Now
	}
	scope, prefixed := metrics.SubScope("openai"), logger.WithPrefix("openai")
	return &Handler{
		seams:   seams,
		log:     prefixed,
		metrics: scope,
		cancels: newCanceller(scope, prefixed),
		streams: newRegistry(),
		ids:     newIDSigner(seams.IDKey),
		prompts: newByteBudget(MaxPromptBytes),
	}
}

// Close waits up to cancelDrainTimeout for engines to confirm pending cancels.
func (h *Handler) Close() { h.cancels.close() }

// Chat serves POST /v1/chat/completions.
func (h *Handler) Chat(ctx *fasthttp.RequestCtx) { h.serve(ctx, apiChat) }

// Completions serves POST /v1/completions.
func (h *Handler) Completions(ctx *fasthttp.RequestCtx) { h.serve(ctx, apiText) }

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

func (h *Handler) serve(ctx *fasthttp.RequestCtx, api apiKind) {
	c, apiErr := h.admit(ctx, api)
	if apiErr != nil {
		h.refuse(ctx, apiErr)
		return
	}
	ctx.Request.ResetBody() // the call keeps its own copy of the prompt
	h.respond(ctx, c)
}

// respond runs an admitted call and writes its response.
func (h *Handler) respond(ctx *fasthttp.RequestCtx, c *call) {
	c.watcher = watch(ctx.Conn(), func() { c.cancel(errCallerGone) })
	h.streams.add(c)
	apiErr := h.readFirst(c)
	ctx.Response.Header.Set(reply.HeaderRequestID, c.id())
	switch {
	case apiErr != nil:
		h.endCall(c, nil, c.endCause(errors.New(apiErr.Code)))
		h.refuse(ctx, apiErr)
	case c.request.stream:
		h.writeStream(ctx, c)
	default:
		h.writeFull(ctx, c)
	}
}

func (h *Handler) refuse(ctx *fasthttp.RequestCtx, e *reply.Error) {
	h.metrics.Tagged(map[string]string{"code": e.Code}).Counter("refused").Inc(1)
	if e.Status == statusClientClosed {
		ctx.SetConnectionClose()
	}
	e.Write(ctx)
}

// admit authenticates and validates a request, and acquires the memory and the
// limits that its call needs until endCall.
func (h *Handler) admit(ctx *fasthttp.RequestCtx, api apiKind) (*call, *reply.Error) {
	view := h.seams.View()
	ws := view.WorkspaceOf(reply.Bearer(ctx))
	if ws == nil {
		return nil, reply.Unauthorized()
	}
	r, apiErr := parse(api, ctx.PostBody())
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
	if apiErr := applyTokenLimits(r, dep.Spec()); apiErr != nil {
		return nil, apiErr
	}
	rid, err := newResponseID()
	if err != nil {
		return nil, reply.Overloaded("internal", "No request id could be made.", time.Second)
	}
	if !h.prompts.acquire(int64(len(r.prompt))) {
		return nil, reply.Overloaded("prompt_memory", "This entry holds as many prompts as it can.", promptRetryAfter)
	}
	release, apiErr := h.acquireLimits(ws, estimateTokens(r.prompt)+r.maxTokens)
	if apiErr != nil {
		h.prompts.release(int64(len(r.prompt)))
		return nil, apiErr
	}
	rid.api, rid.usage, rid.deployment = api, r.includeUsage, r.model
	rid.patience = time.Duration(math.Ceil(patience.Seconds())) * time.Second
	c := newCall(h, r, rid, ws, patience)
	c.promptBytes, c.release = int64(len(r.prompt)), release
	c.src = newSource(sourceSeams{place: h.placeFunc(c, dep), cancel: c.cancelRun, opened: c.setRun}, !dep.Spec().Sampled, prefillTime(dep, estimateTokens(r.prompt)))
	return c, nil
}

// acquireLimits takes a request with its tokens from the workspace's limits.
func (h *Handler) acquireLimits(ws *resource.Workspace, tokens int) (release func(), apiErr *reply.Error) {
	if h.seams.Limit == nil {
		return func() {}, nil
	}
	release, retryAfter, ok := h.seams.Limit(ws.Name(), ws.Spec().Limits, tokens)
	if !ok {
		return nil, reply.RateLimited("rate_limit_exceeded", "This workspace has used up its limits.", retryAfter)
	}
	return release, nil
}

// applyTokenLimits caps max_tokens by the deployment's limits, and refuses a prompt
// that is longer than the deployment's context.
func applyTokenLimits(r *request, spec resource.DeploymentSpec) *reply.Error {
	limit := orElse(spec.MaxOutputTokens, defaultMaxTokens)
	tokens := estimateTokens(r.prompt)
	if tokens+minOutputTokens > spec.ContextTokens {
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

// placeFunc returns the function that places the call's prompt on an engine that was
// not tried yet, and returns a run there.
func (h *Handler) placeFunc(c *call, dep *resource.Deployment) func(context.Context, map[string]bool) (*run, error) {
	deadline, _ := c.ctx.Deadline()
	p := placement.Prompt{
		ID: c.rid.request.String(), Workspace: c.ws.Name(), Deployment: dep, Text: c.prompt,
		Tokens: estimateTokens(c.prompt), MaxTokens: c.maxTokens, Seed: c.seed, Deadline: deadline,
	}
	attempts := 0
	return func(ctx context.Context, tried map[string]bool) (*run, error) {
		grant, err := h.seams.Place(ctx, p, tried)
		if err != nil {
			return nil, err
		}
		attempts++
		rid := c.rid
		rid.attempt, rid.engine = attempts, grant.Engine().Name()
		return runFromGrant(grant, rid), nil
	}
}

func runFromGrant(grant *placement.Grant, rid responseID) *run {
	client, stream := grant.Engine(), rid.stream()
	r := newRun(client, rid.attempt, stream)
	r.open = func(ctx context.Context, from int) (*engine.Stream, error) {
		req := grant.Request(stream)
		req.From = from
		return client.Open(ctx, req)
	}
	r.firstToken, r.done = grant.FirstToken, grant.Done
	return r
}

// newRun returns a run of a stream at an engine. Without an open function, the
// stream must exist there already.
func newRun(client *engine.Client, attempt int, stream string) *run {
	return &run{
		engine: client.Name(), attempt: attempt, stream: stream,
		resume: func(ctx context.Context, at engine.Position) (*engine.Stream, error) {
			return client.Resume(ctx, stream, at)
		},
		cancel:     func(ctx context.Context) error { return client.Cancel(ctx, stream) },
		holds:      client.Holds,
		dropIdle:   client.Drop,
		firstToken: func() {},
		done:       func(placement.Outcome) {},
	}
}

// readFirst reads the first piece of a call.
func (h *Handler) readFirst(c *call) *reply.Error {
	var err error
	if c.firstPiece, err = c.src.next(c.ctx); err != nil {
		return c.errorBeforeFirst(err)
	}
	h.metrics.Timer("first_token").Record(time.Since(c.start))
	return nil
}

func (h *Handler) writeFull(ctx *fasthttp.RequestCtx, c *call) {
	var text strings.Builder
	p, err := c.firstPiece, error(nil)
	for err == nil && p.Finish == "" {
		text.WriteString(p.Text)
		p, err = c.src.next(c.ctx)
	}
	if err != nil {
		apiErr := c.errorAfterFirst(err)
		h.endCall(c, nil, c.endCause(err))
		h.refuse(ctx, apiErr)
		return
	}
	h.endCall(c, p.Usage, nil)
	reply.JSON(ctx, fasthttp.StatusOK, newResponseFormatter(c.rid.api, c.id(), c.model, c.rid.created()).full(text.String(), p.Finish, p.Usage))
}

// writeStream hijacks the connection, which frees the request's memory while the
// response is streamed. The connection serves no further request.
func (h *Handler) writeStream(ctx *fasthttp.RequestCtx, c *call) {
	release := h.seams.Hold()
	w, err := h.newStreamWriter(c, ctx.Conn(), ctx.Request.Header.IsHTTP11())
	if err != nil {
		h.endCall(c, nil, err)
		release()
		ctx.SetConnectionClose()
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		c.watcher.consume()
		go func() {
			defer release()
			h.relay(w)
		}()
	})
}

// endCall releases everything that a call holds. A non-nil err is why its response
// was cut off.
func (h *Handler) endCall(c *call, usage *engine.Usage, err error) {
	cause := c.cause()
	c.src.close(usage, err, errors.Is(cause, errHandover) || errors.Is(cause, errResumedElsewhere))
	h.streams.remove(c)
	c.watcher.stop()
	c.cancel(nil)
	h.prompts.release(c.promptBytes)
	if c.release != nil {
		c.release()
	}
}

// LimitPrompts sets the limit on the total size, in bytes, of the prompts in memory.
func (h *Handler) LimitPrompts(bytes int64) { h.prompts.limit.Store(bytes) }

// Handover ends all calls in progress with an error that tells the caller to resume
// at another entry, and returns their number. Their streams keep running at the
// engines.
func (h *Handler) Handover() int {
	calls := h.streams.all()
	for _, c := range calls {
		c.cancel(errHandover)
	}
	return len(calls)
}

// prefillTime estimates the prefill time of a prompt on the deployment's slowest
// engine.
func prefillTime(dep *resource.Deployment, tokens int) time.Duration {
	rate := 0
	for _, u := range dep.Engines() {
		if n := u.Spec().PrefillRate; n > 0 && (rate == 0 || n < rate) {
			rate = n
		}
	}
	return time.Duration(tokens) * time.Second / time.Duration(orElse(rate, defaultPrefillRate))
}

// ranBeforeFirst reports whether a request that failed before its first token ran:
// RanNo if nothing was sent to an engine that could have run it.
func ranBeforeFirst(mayHaveRun bool, err error) reply.Ran {
	var p *placement.Error
	if !mayHaveRun && (errors.As(err, &p) || fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent)) {
		return reply.RanNo
	}
	return reply.RanUnknown
}

// estimateTokens estimates the number of tokens in a text.
func estimateTokens(text string) int {
	n := 0
	for range text {
		n++
	}
	return (n + runesPerToken - 1) / runesPerToken
}

func orElse[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
