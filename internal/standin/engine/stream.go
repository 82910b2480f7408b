package engine

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/zeebo/xxh3"
)

const (
	minAnswerTokens   = 16
	answerTokensRange = 112
	maxOpenings       = 16_384
)

// Owner identifies the entry that opened a stream or a hold.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

// StreamRequest opens a stream. The answer starts at token From, which lets an engine
// continue an answer that another engine began.
type StreamRequest struct {
	Stream    string `json:"stream"`
	Owner     Owner  `json:"owner"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Seed      uint64 `json:"seed"`
	From      int    `json:"from,omitempty"`
	Hold      string `json:"hold,omitempty"`  // hold of this engine that the stream replaces
	Group     int    `json:"group,omitempty"` // number of engines that share the prompt, with this one
}

// Usage counts the tokens of a stream.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Piece is one token of a stream, or the end of the stream if Finish is set.
// Finish is "stop", "length" or "cancelled".
type Piece struct {
	Stream      string `json:"stream"`
	Incarnation uint64 `json:"incarnation"`
	Pos         int    `json:"pos"`
	Text        string `json:"text,omitempty"`
	Finish      string `json:"finish,omitempty"`
	Usage       *Usage `json:"usage,omitempty"`
}

// StreamInfo describes a stream.
type StreamInfo struct {
	Stream   string `json:"stream"`
	Owner    Owner  `json:"owner"`
	Reserved int    `json:"reserved"` // tokens of memory
	Produced int    `json:"produced"`
	Finish   string `json:"finish,omitempty"`
}

// Opening records a request for a stream that reached an engine, accepted or not.
type Opening struct {
	Stream  string
	Owner   Owner
	Time    time.Time
	Taken   bool          // the engine accepted it
	Leaving time.Duration // how long the engine had been leaving; 0 if it was not
}

// Opened returns the last maxOpenings requests for a stream, oldest first. They are kept
// across restarts.
func (e *Engine) Opened() []Opening {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.openings)
}

type stream struct {
	req            StreamRequest
	arrival        uint64
	blocks         []uint64
	promptTokens   int
	reservedTokens int // tokens of memory
	cachedTokens   int // prompt tokens found in the prefix cache
	prefillLeft    int // tokens still to be prefilled
	answerTokens   int // tokens of the whole answer
	produced       int // tokens of the answer so far, From included
	admitted       bool
	finish         string
	finishedAt     time.Time
}

// Tokens returns the number of tokens of a text.
func Tokens(text string) int {
	return (utf8.RuneCountInString(text) + RunesPerToken - 1) / RunesPerToken
}

// AnswerLength returns the number of tokens of the answer to a prompt, without a limit by
// MaxTokens.
func AnswerLength(prompt string, seed uint64) int {
	return minAnswerTokens + int(xxh3.HashStringSeed(prompt, seed)%answerTokensRange)
}

// Token returns the text of the token at the position in the answer.
func Token(prompt string, seed uint64, pos int) string {
	h := xxh3.HashStringSeed(prompt, seed) + uint64(pos)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return vocabulary[h%uint64(len(vocabulary))] + " "
}

// Answer returns the whole answer that every engine gives to a prompt.
func Answer(prompt string, seed uint64, maxTokens int) string {
	var b strings.Builder
	for i := range min(AnswerLength(prompt, seed), maxTokens) {
		b.WriteString(Token(prompt, seed, i))
	}
	return b.String()
}

var vocabulary = strings.Fields(`seal wire crest basket field lion chevron weave band oak argent gules
	rim spoke twist frame motto shield base fold azure bend coil loop die press mark guild`)

func newStream(req StreamRequest) *stream {
	n := Tokens(req.Prompt)
	s := &stream{
		req:          req,
		blocks:       blockHashes(req.Prompt),
		promptTokens: n,
		answerTokens: min(AnswerLength(req.Prompt, req.Seed), req.MaxTokens),
		produced:     req.From,
		prefillLeft:  n + req.From,
	}
	group := max(req.Group, 1)
	s.reservedTokens = (n + req.MaxTokens + group - 1) / group
	return s
}

func (s *stream) finishReason() string {
	if s.answerTokens == s.req.MaxTokens {
		return "length"
	}
	return "stop"
}

func (s *stream) piece(pos int, incarnation uint64) Piece {
	p := Piece{Stream: s.req.Stream, Incarnation: incarnation, Pos: pos}
	if pos < s.produced {
		p.Text = Token(s.req.Prompt, s.req.Seed, pos)
		return p
	}
	p.Finish = s.finish
	p.Usage = &Usage{PromptTokens: s.promptTokens, CompletionTokens: s.produced, CachedTokens: s.cachedTokens}
	return p
}

// Open queues a stream. With a hold, it replaces the hold and admits the stream at once
// if the memory suffices.
func (e *Engine) Open(req StreamRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := newStream(req)
	err := e.validate(s)
	e.recordOpening(req, err == nil)
	if err != nil {
		return err
	}
	if req.Hold != "" {
		e.release(req.Hold)
	}
	e.lastArrival++
	s.arrival = e.lastArrival
	e.streams[req.Stream] = s
	e.queue = append(e.queue, s)
	if req.Hold != "" && e.used+s.reservedTokens <= e.cfg.Memory {
		s.admitted = true
		e.used += s.reservedTokens
	}
	e.wakeUp()
	return nil
}

func (e *Engine) recordOpening(req StreamRequest, taken bool) {
	o := Opening{Stream: req.Stream, Owner: req.Owner, Time: time.Now(), Taken: taken}
	if e.leaving {
		o.Leaving = o.Time.Sub(e.leavingSince)
	}
	if len(e.openings) == maxOpenings {
		e.openings = e.openings[1:]
	}
	e.openings = append(e.openings, o)
}

func (e *Engine) validate(s *stream) error {
	req := s.req
	switch {
	case e.dead:
		return fail("open", KindDead, nil)
	case e.leaving:
		return fail("open", KindFull, fmt.Errorf("engine is leaving"))
	case !e.orders.serves(req.Model):
		return fail("open", KindNotFound, fmt.Errorf("model %q", req.Model))
	case req.Stream == "" || req.MaxTokens < 1 || req.From < 0:
		return fail("open", KindInvalid, fmt.Errorf("stream, max_tokens and from are needed"))
	case e.streams[req.Stream] != nil:
		return fail("open", KindConflict, fmt.Errorf("stream %q", req.Stream))
	case len(e.queue) >= MaxQueue:
		return fail("open", KindFull, fmt.Errorf("queue has %d streams", len(e.queue)))
	case s.reservedTokens > e.cfg.Memory:
		return fail("open", KindInvalid, fmt.Errorf("%d tokens exceed the memory of %d", s.reservedTokens, e.cfg.Memory))
	case req.Hold != "" && e.holds[req.Hold] == nil:
		return fail("open", KindNotFound, fmt.Errorf("hold %q", req.Hold))
	}
	return nil
}

// Read returns the piece at the position. It blocks until the piece is produced or the
// context ends.
func (e *Engine) Read(ctx context.Context, id string, pos int) (Piece, error) {
	for {
		p, changed, err := e.tryRead(id, pos)
		if err != nil || changed == nil {
			return p, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

// tryRead returns the piece at the position or, if it is not produced yet, a channel that
// is closed on the next change.
func (e *Engine) tryRead(id string, pos int) (Piece, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return Piece{}, nil, fail("read", KindDead, nil)
	}
	s := e.streams[id]
	if s == nil {
		return Piece{}, nil, fail("read", KindNotFound, fmt.Errorf("stream %q", id))
	}
	if pos < s.produced || s.finish != "" {
		return s.piece(pos, e.incarnation), nil, nil
	}
	return Piece{}, e.changed, nil
}

// Cancel ends a stream and frees its memory. Cancelling an unknown stream is not an error,
// since there is nothing to free.
func (e *Engine) Cancel(id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return fail("cancel", KindDead, nil)
	}
	if s := e.streams[id]; s != nil {
		e.end(s, "cancelled", time.Now())
		e.queue = slices.DeleteFunc(e.queue, func(q *stream) bool { return q == s })
		e.broadcast()
		e.wakeUp()
	}
	return e.loseAnswer("cancel")
}

// Streams returns the unfinished and the retained streams, sorted by id.
func (e *Engine) Streams() ([]StreamInfo, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return nil, fail("streams", KindDead, nil)
	}
	out := make([]StreamInfo, 0, len(e.streams))
	for id, s := range e.streams {
		info := StreamInfo{Stream: id, Owner: s.req.Owner, Produced: s.produced, Finish: s.finish}
		if s.admitted && s.finish == "" {
			info.Reserved = s.reservedTokens
		}
		out = append(out, info)
	}
	slices.SortFunc(out, func(a, b StreamInfo) int { return strings.Compare(a.Stream, b.Stream) })
	return out, nil
}
