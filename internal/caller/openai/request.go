package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
)

// defaultMaxTokens is the max_tokens of a request that names none, where the
// deployment sets no other.
const defaultMaxTokens = 1024

// shape is the API that a request came through.
type shape int

const (
	shapeChat shape = iota
	shapeText
)

// request is what both APIs share, decoded and checked.
type request struct {
	model        string
	prompt       string
	maxTokens    int // 0 where the caller named none
	stream       bool
	includeUsage bool
	seed         uint64
}

// common holds the fields that both APIs share. Fields that it does not name are
// ignored, as OpenAI's clients send many.
type common struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
	Seed                *int64 `json:"seed"`
	N                   *int   `json:"n"`
}

type chatBody struct {
	common
	Messages []message `json:"messages"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is text, or parts of which those of type "text" count.
type content string

// UnmarshalJSON reads text, null or a list of parts.
func (c *content) UnmarshalJSON(b []byte) error {
	if text, ok := plain(b); ok {
		*c = content(text)
		return nil
	}
	var text *string
	if err := json.Unmarshal(b, &text); err == nil {
		if text != nil {
			*c = content(*text)
		}
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(b, &parts); err != nil {
		return errors.New("want text or a list of parts")
	}
	var sb strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("part of type %q: only text is served", p.Type)
		}
		sb.WriteString(p.Text)
	}
	*c = content(sb.String())
	return nil
}

// plain returns the text of a valid JSON string without escapes, which is what
// most of a long prompt's bytes are in: it needs no second decoding.
func plain(b []byte) (string, bool) {
	if len(b) < 2 || b[0] != '"' || b[len(b)-1] != '"' || bytes.IndexByte(b, '\\') >= 0 || !utf8.Valid(b) {
		return "", false
	}
	return string(b[1 : len(b)-1]), true
}

type textBody struct {
	common
	Prompt promptText `json:"prompt"`
}

// promptText is text or a list with one text.
type promptText string

// UnmarshalJSON reads text or a list of one text.
func (p *promptText) UnmarshalJSON(b []byte) error {
	if text, ok := plain(b); ok {
		*p = promptText(text)
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err == nil {
		*p = promptText(text)
		return nil
	}
	var list []string
	if err := json.Unmarshal(b, &list); err != nil || len(list) != 1 {
		return errors.New("want text or a list of one text")
	}
	*p = promptText(list[0])
	return nil
}

// parse decodes the body of a request.
func parse(sh shape, body []byte) (*request, *reply.Error) {
	if sh == shapeChat {
		return parseChat(body)
	}
	return parseText(body)
}

func parseChat(body []byte) (*request, *reply.Error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badJSON(err)
	}
	if len(b.Messages) == 0 {
		return nil, reply.InvalidRequest("messages", "messages: want at least one message.")
	}
	var sb strings.Builder
	sb.Grow(len(body))
	for i, m := range b.Messages {
		if m.Role == "" {
			param := fmt.Sprintf("messages[%d].role", i)
			return nil, reply.InvalidRequest(param, param+`: want "system", "user", "assistant" or "tool".`)
		}
		sb.WriteString(m.Role)
		sb.WriteString(": ")
		sb.WriteString(string(m.Content))
		sb.WriteString("\n")
	}
	return b.request(sb.String())
}

func parseText(body []byte) (*request, *reply.Error) {
	var b textBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, badJSON(err)
	}
	if b.Prompt == "" {
		return nil, reply.InvalidRequest("prompt", "prompt: want text.")
	}
	return b.request(string(b.Prompt))
}

func (c *common) request(prompt string) (*request, *reply.Error) {
	r := &request{model: c.Model, prompt: prompt, stream: c.Stream}
	if c.Model == "" {
		return nil, reply.InvalidRequest("model", "model: want the name of a deployment.")
	}
	if c.N != nil && *c.N != 1 {
		return nil, reply.InvalidRequest("n", "n: only 1 is served.")
	}
	limit, param := c.MaxCompletionTokens, "max_completion_tokens"
	if limit == nil {
		limit, param = c.MaxTokens, "max_tokens"
	}
	if limit != nil {
		if *limit < 1 {
			return nil, reply.InvalidRequest(param, param+": want 1 or more.")
		}
		r.maxTokens = *limit
	}
	if c.Seed != nil {
		r.seed = uint64(*c.Seed)
	}
	r.includeUsage = c.StreamOptions != nil && c.StreamOptions.IncludeUsage
	return r, nil
}

func badJSON(err error) *reply.Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		field := strings.TrimPrefix(typeErr.Field, "common.") // an embedded struct is no part of the API
		return reply.InvalidRequest(field, fmt.Sprintf("%s: want %s, not %s.", field, typeErr.Type, typeErr.Value))
	}
	return reply.InvalidRequest("", "The body is not valid JSON for this API: "+err.Error()+".")
}
