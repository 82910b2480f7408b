package openai

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
)

// usage is the token usage object of the API.
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

// responseFormatter converts the pieces of one stream to the objects of an API.
type responseFormatter struct {
	api     apiKind
	id      string
	model   string
	created int64
}

func newResponseFormatter(api apiKind, id, model string, created time.Time) *responseFormatter {
	return &responseFormatter{api: api, id: id, model: model, created: created.Unix()}
}

func (f *responseFormatter) body(object string, choices []choice, u *usage) answerBody {
	return answerBody{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: choices, Usage: u}
}

// full returns the non-streaming response.
func (f *responseFormatter) full(text, finish string, u *engine.Usage) answerBody {
	if f.api == apiText {
		return f.body("text_completion", []choice{{Text: &text, FinishReason: &finish}}, newUsage(u))
	}
	m := &answerMessage{Role: "assistant", Content: text}
	return f.body("chat.completion", []choice{{Message: m, FinishReason: &finish}}, newUsage(u))
}

// chunk returns the streaming response object of a piece. The first one has the role.
func (f *responseFormatter) chunk(p engine.Piece) answerBody {
	c := choice{}
	if p.Finish != "" {
		c.FinishReason = &p.Finish
	}
	if f.api == apiText {
		c.Text = &p.Text
		return f.body("text_completion", []choice{c}, nil)
	}
	c.Delta = &answerMessage{Content: p.Text}
	if p.Pos == 0 {
		c.Delta.Role = "assistant"
	}
	return f.body("chat.completion.chunk", []choice{c}, nil)
}

// usageChunk returns the final chunk, with the usage and no choices.
func (f *responseFormatter) usageChunk(u *engine.Usage) answerBody {
	object := "chat.completion.chunk"
	if f.api == apiText {
		object = "text_completion"
	}
	return f.body(object, []choice{}, newUsage(u))
}
