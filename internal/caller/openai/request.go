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

// defaultMaxTokens limits max_tokens if the deployment sets no limit, and is the value
// for a request that sets none.
const defaultMaxTokens = 1024

// apiKind is the API through which a request came.
type apiKind int

const (
	apiChat apiKind = iota
	apiText
)

// request is a decoded and validated request of either API.
type request struct {
	model        string
	prompt       string
	maxTokens    int // 0 if the caller set none
	stream       bool
	includeUsage bool
	seed         uint64
}

// common holds the body fields that both APIs share. Unknown fields are ignored, as
// OpenAI clients send many that are not supported here.
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

// content is the text of a message, given as a string or a list of text parts.
type content string

// UnmarshalJSON decodes a string, null or a list of text parts. It returns an error for
// parts of another type.
func (c *content) UnmarshalJSON(b []byte) error {
	if text, ok := unescapedString(b); ok {
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

// unescapedString returns the text of a valid JSON string without escapes, or false.
// It avoids a second decoding of the string, which most bytes of long prompts are in.
func unescapedString(b []byte) (string, bool) {
	if len(b) < 2 || b[0] != '"' || b[len(b)-1] != '"' || bytes.IndexByte(b, '\\') >= 0 || !utf8.Valid(b) {
		return "", false
	}
	return string(b[1 : len(b)-1]), true
}

type textBody struct {
	common
	Prompt promptText `json:"prompt"`
}

// promptText is a prompt, given as a string or a list of one string.
type promptText string

// UnmarshalJSON decodes a string or a list of one string.
func (p *promptText) UnmarshalJSON(b []byte) error {
	if text, ok := unescapedString(b); ok {
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

// parse decodes and validates the body of a request.
func parse(api apiKind, body []byte) (*request, *reply.Error) {
	if api == apiChat {
		return parseChat(body)
	}
	return parseText(body)
}

func parseChat(body []byte) (*request, *reply.Error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, invalidJSON(err)
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
		return nil, invalidJSON(err)
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

func invalidJSON(err error) *reply.Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		field := strings.TrimPrefix(typeErr.Field, "common.") // the embedded struct is not part of the API
		return reply.InvalidRequest(field, fmt.Sprintf("%s: want %s, not %s.", field, typeErr.Type, typeErr.Value))
	}
	return reply.InvalidRequest("", "The body is not valid JSON for this API: "+err.Error()+".")
}
