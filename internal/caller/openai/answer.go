package openai

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// usage is OpenAI's count of tokens.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(u *engine.Usage) *usage {
	if u == nil {
		return nil
	}
	return &usage{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: usageDetails{CachedTokens: u.CachedTokens},
	}
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answer gives the pieces of one stream the shape of an API.
type answer struct {
	shape   shape
	id      string
	model   string
	created int64
}

func newAnswer(sh shape, id, model string, created time.Time) *answer {
	return &answer{shape: sh, id: id, model: model, created: created.Unix()}
}

func (a *answer) body(object string, choices []choice, u *usage) answerBody {
	return answerBody{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: choices, Usage: u}
}

// whole returns the answer that is not streamed.
func (a *answer) whole(text, finish string, u *engine.Usage) answerBody {
	if a.shape == shapeText {
		return a.body("text_completion", []choice{{Text: &text, FinishReason: &finish}}, newUsage(u))
	}
	m := &answerMessage{Role: "assistant", Content: text}
	return a.body("chat.completion", []choice{{Message: m, FinishReason: &finish}}, newUsage(u))
}

// chunk returns a streamed piece of the answer.
func (a *answer) chunk(p engine.Piece) answerBody {
	c := choice{}
	if p.Finish != "" {
		c.FinishReason = &p.Finish
	}
	if a.shape == shapeText {
		c.Text = &p.Text
		return a.body("text_completion", []choice{c}, nil)
	}
	c.Delta = &answerMessage{Content: p.Text}
	if p.Pos == 0 {
		c.Delta.Role = "assistant"
	}
	return a.body("chat.completion.chunk", []choice{c}, nil)
}

// usageChunk returns the last chunk, which has the usage and no choice.
func (a *answer) usageChunk(u *engine.Usage) answerBody {
	object := "chat.completion.chunk"
	if a.shape == shapeText {
		object = "text_completion"
	}
	return a.body(object, []choice{}, newUsage(u))
}
