// Package openai serves OpenAI's completion APIs to callers.
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
	// defaultPatience is the time limit of a request where nobody set one.
	defaultPatience = 60 * time.Second
	runesPerToken   = 4
	maxTokensFloor  = 1
	// MaxPromptBytes bounds the prompts that an entry holds at once.
	MaxPromptBytes   = 256 << 20
	promptRetryAfter = 2 * time.Second
	// statusGone is what logs of others show for a caller that left before an answer.
	statusGone = 499
)

// Seams are what the handler asks of the rest of the entry.
type Seams struct {
	View   func() *resource.View
	Place  func(ctx context.Context, p placement.Prompt, tried map[string]bool) (*placement.Grant, error)
	Hold   func() (release func())          // counts an answer that is being streamed
	Engine func(name string) *engine.Client // nil where no such engine is configured
	Owner  engine.Owner                     // this entry
	IDKey  string                           // shared by all entries
	// Limit takes tokens from the workspace's limits, or tells when to retry. Nil sets none.
	Limit func(workspace string, spec resource.Limits, tokens int) (release func(), retryAfter time.Duration, ok bool)
	now   func() time.Time
}

// Handler serves the APIs. Its methods may be called from any goroutine.
type Handler struct {
	seams   Seams
	log     *log.Logger
	metrics tally.Scope
	cancels *canceller
	streams *registry
	ids     *idSigner
	prompts *budget
	pending atomic.Int64 // bytes that wait for slow callers
}

// NewHandler returns a handler. Close waits for its cancels.
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
		prompts: newBudget(MaxPromptBytes),
	}
}

// Close waits a bounded time for the cancels under way.
func (h *Handler) Close() { h.cancels.close() }

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

func (h *Handler) serve(ctx *fasthttp.RequestCtx, sh shape) {
	c, apiErr := h.accept(ctx, sh)
	if apiErr != nil {
		h.refuse(ctx, apiErr)
		return
	}
	ctx.Request.ResetBody() // the call has a copy of the prompt
	h.run(ctx, c)
}

// run answers a call that was accepted.
func (h *Handler) run(ctx *fasthttp.RequestCtx, c *call) {
	c.watcher = watch(ctx.Conn(), func() { c.cancel(errGone) })
	h.streams.add(c)
	apiErr := h.first(c)
	ctx.Response.Header.Set(reply.HeaderRequestID, c.id())
	switch {
	case apiErr != nil:
		h.end(c, nil, c.blame(errors.New(apiErr.Code)))
		h.refuse(ctx, apiErr)
	case c.request.stream:
		h.writeStream(ctx, c)
	default:
		h.writeWhole(ctx, c)
	}
}

func (h *Handler) refuse(ctx *fasthttp.RequestCtx, e *reply.Error) {
	h.metrics.Tagged(map[string]string{"code": e.Code}).Counter("refused").Inc(1)
	if e.Status == statusGone {
		ctx.SetConnectionClose()
	}
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
	rid, err := newResponseID()
	if err != nil {
		return nil, reply.Overloaded("internal", "No request id could be made.", time.Second)
	}
	if !h.prompts.take(int64(len(r.prompt))) {
		return nil, reply.Overloaded("prompt_memory", "This entry holds as many prompts as it can.", promptRetryAfter)
	}
	release, apiErr := h.limit(ws, estimate(r.prompt)+r.maxTokens)
	if apiErr != nil {
		h.prompts.giveBack(int64(len(r.prompt)))
		return nil, apiErr
	}
	rid.shape, rid.usage, rid.deployment = sh, r.includeUsage, r.model
	rid.patience = time.Duration(math.Ceil(patience.Seconds())) * time.Second
	c := newCall(h, r, rid, ws, patience)
	c.held, c.release = int64(len(r.prompt)), release
	c.src = newSource(sourceSeams{place: h.placer(c, dep), cancel: c.cancelRun, opened: c.setRun}, !dep.Spec().Sampled, prefillTime(dep, estimate(r.prompt)))
	return c, nil
}

// limit takes a request from the workspace's limits.
func (h *Handler) limit(ws *resource.Workspace, tokens int) (release func(), apiErr *reply.Error) {
	if h.seams.Limit == nil {
		return func() {}, nil
	}
	release, retryAfter, ok := h.seams.Limit(ws.Name(), ws.Spec().Limits, tokens)
	if !ok {
		return nil, reply.RateLimited("rate_limit_exceeded", "This workspace has used up its limits.", retryAfter)
	}
	return release, nil
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

// placer returns the function that places the call's prompt and prepares a run.
func (h *Handler) placer(c *call, dep *resource.Deployment) func(context.Context, map[string]bool) (*run, error) {
	deadline, _ := c.ctx.Deadline()
	p := placement.Prompt{
		ID: c.rid.request.String(), Workspace: c.ws.Name(), Deployment: dep, Text: c.prompt,
		Tokens: estimate(c.prompt), MaxTokens: c.maxTokens, Seed: c.seed, Deadline: deadline,
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
		return grantRun(grant, rid), nil
	}
}

func grantRun(grant *placement.Grant, rid responseID) *run {
	client, stream := grant.Engine(), rid.stream()
	r := clientRun(client, rid.attempt, stream)
	r.open = func(ctx context.Context, from int) (*engine.Stream, error) {
		req := grant.Request(stream)
		req.From = from
		return client.Open(ctx, req)
	}
	r.first, r.done = grant.FirstToken, grant.Done
	return r
}

// clientRun returns a run of a stream that is opened already.
func clientRun(client *engine.Client, attempt int, stream string) *run {
	return &run{
		engine: client.Name(), attempt: attempt, stream: stream,
		resume: func(ctx context.Context, at engine.Position) (*engine.Stream, error) {
			return client.Resume(ctx, stream, at)
		},
		cancel: func(ctx context.Context) error { return client.Cancel(ctx, stream) },
		holds:  client.Holds,
		drop:   client.Drop,
		first:  func() {},
		done:   func(placement.Outcome) {},
	}
}

// first reads the first piece of a call.
func (h *Handler) first(c *call) *reply.Error {
	var err error
	if c.piece, err = c.src.next(c.ctx); err != nil {
		return c.errorFor(err)
	}
	h.metrics.Timer("first_token").Record(time.Since(c.start))
	return nil
}

func (h *Handler) writeWhole(ctx *fasthttp.RequestCtx, c *call) {
	var text strings.Builder
	p, err := c.piece, error(nil)
	for err == nil && p.Finish == "" {
		text.WriteString(p.Text)
		p, err = c.src.next(c.ctx)
	}
	if err != nil {
		apiErr := c.cut(err)
		h.end(c, nil, c.blame(err))
		h.refuse(ctx, apiErr)
		return
	}
	h.end(c, p.Usage, nil)
	reply.JSON(ctx, fasthttp.StatusOK, newAnswer(c.rid.shape, c.id(), c.model, c.rid.created()).whole(text.String(), p.Finish, p.Usage))
}

// writeStream takes the connection over: an answer that is streamed needs none of
// the memory of its request, and its connection serves no further one.
func (h *Handler) writeStream(ctx *fasthttp.RequestCtx, c *call) {
	release := h.seams.Hold()
	p, err := h.prepare(c, ctx.Conn(), ctx.Request.Header.IsHTTP11())
	if err != nil {
		h.end(c, nil, err)
		release()
		ctx.SetConnectionClose()
		return
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		c.watcher.consume()
		go func() {
			defer release()
			h.relay(p)
		}()
	})
}

// end gives back what a call has.
func (h *Handler) end(c *call, usage *engine.Usage, err error) {
	cause := c.cause()
	c.src.close(usage, err, errors.Is(cause, errHandover) || errors.Is(cause, errTaken))
	h.streams.remove(c)
	c.watcher.stop()
	c.cancel(nil)
	h.prompts.giveBack(c.held)
	if c.release != nil {
		c.release()
	}
}

// LimitPrompts sets the bound on the bytes of the prompts that are held at once.
func (h *Handler) LimitPrompts(bytes int64) { h.prompts.limit.Store(bytes) }

// Handover tells the callers of all answers in progress to resume elsewhere, and
// returns their number. What an engine runs for them goes on.
func (h *Handler) Handover() int {
	calls := h.streams.all()
	for _, c := range calls {
		c.cancel(errHandover)
	}
	return len(calls)
}

// prefillTime estimates how long an engine of the deployment takes for a prompt.
func prefillTime(dep *resource.Deployment, tokens int) time.Duration {
	rate := 0
	for _, u := range dep.Engines() {
		if n := u.Spec().PrefillRate; n > 0 && (rate == 0 || n < rate) {
			rate = n
		}
	}
	return time.Duration(tokens) * time.Second / time.Duration(orElse(rate, prefillRate))
}

// ranBefore tells what ran of a request that failed before its first token.
func ranBefore(sent bool, err error) reply.Ran {
	var p *placement.Error
	if !sent && (errors.As(err, &p) || fault.Is(err, engine.KindRefused) || fault.Is(err, engine.KindUnsent)) {
		return reply.RanNo
	}
	return reply.RanUnknown
}

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
