package product_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
)

// responseSlack is added to a caller's timeout for the delivery of the response.
const responseSlack = 500 * time.Millisecond

// prompt is a completion request to send.
type prompt struct {
	id              int
	entry           int
	tokens          int
	maxTokens       int
	timeout         time.Duration
	disconnectAfter time.Duration // 0 where the caller waits for the end
	stream          bool
	key             string
}

func (p prompt) text() string {
	head := fmt.Sprintf("prompt %d of %d tokens ", p.id, p.tokens)
	return head + strings.Repeat("x", max(p.tokens*engine.RunesPerToken-len(head), 0))
}

// response is what a caller received.
type response struct {
	requestID   string
	status      int
	text        string
	complete    bool
	ran         string // of an error: "no", "partial" or "unknown"
	code        string
	elapsed     time.Duration
	truncated   bool // the connection ended without a final event or an error
	lastEventID string
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// sendAndCheck sends the prompt, resumes a truncated stream at another entry, and checks the
// answer against the one that the engines generate.
func (c *cluster) sendAndCheck(p prompt) {
	start := time.Now()
	v := c.send(p)
	if v.truncated && p.stream && v.requestID != "" && p.disconnectAfter == 0 {
		c.resume(p, &v, start)
	}
	c.cov.add(v.outcome())
	c.tracef("prompt %d at %s: status %d whole=%t ran=%q code=%q cut=%t took=%s", p.id, entryName(p.entry), v.status, v.complete, v.ran, v.code, v.truncated, v.elapsed)
	want := engine.Answer(p.text(), 0, p.maxTokens)
	switch {
	case v.complete && v.text != want:
		c.reportViolation("prompt %d got another answer than its own: %q, want %q", p.id, v.text, want)
	case !v.complete && !strings.HasPrefix(want, v.text):
		c.reportViolation("prompt %d got a piece that is not its own: %q, want a prefix of %q", p.id, v.text, want)
	case v.truncated && p.disconnectAfter == 0 && !c.mayDisconnect(p.entry, start):
		c.reportViolation("prompt %d was cut without an error by %s, which runs on", p.id, entryName(p.entry))
	}
	if v.elapsed > p.timeout+responseSlack && p.disconnectAfter == 0 && !v.truncated {
		c.reportViolation("prompt %d ended after %s; its time limit was %s", p.id, v.elapsed, p.timeout)
	}
	if v.status == http.StatusOK && c.drainingSince(p.entry, start.Add(-drainNoticeLimit)) {
		c.reportViolation("prompt %d was admitted by %s, which has been leaving for more than %s", p.id, entryName(p.entry), drainNoticeLimit)
	}
	if v.ran == "no" && v.requestID != "" {
		c.expectNotRun(p.id, v.requestID)
	}
}

// expectNotRun checks that no engine accepted a stream of a refused request.
// The id of a stream begins with the id of its request.
func (c *cluster) expectNotRun(id int, requestID string) {
	for _, e := range c.world.Engines {
		for _, o := range e.Opened() {
			if o.Taken && strings.HasPrefix(o.Stream, requestID) {
				c.reportViolation("prompt %d was told that it was not run, but %s took %s", id, e.Name(), o.Stream)
			}
		}
	}
}

func (c *cluster) send(p prompt) response {
	start := time.Now()
	limit := 2 * p.timeout // ends the wait of a caller that is never answered
	if p.disconnectAfter > 0 {
		limit = p.disconnectAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": "assistant", "prompt": p.text(), "max_tokens": p.maxTokens, "stream": p.stream})
	if err != nil {
		panic(err)
	}
	res, err := c.do(ctx, p.entry, http.MethodPost, "/v1/completions", p.key, string(body), "X-Request-Timeout", fmt.Sprint(p.timeout.Seconds()))
	if err != nil {
		return response{truncated: true, elapsed: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	v := response{status: res.StatusCode, requestID: res.Header.Get("X-Request-Id")}
	switch {
	case res.StatusCode != http.StatusOK:
		v.readError(res.Body)
	case p.stream:
		v.readStream(res.Body)
	default:
		v.readCompletion(res.Body)
	}
	v.elapsed = time.Since(start)
	return v
}

// resume continues to read an answer at another entry. An answer that is no longer stored stays
// truncated.
func (c *cluster) resume(p prompt, v *response, start time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	other := (p.entry + 1) % entryCount
	header := []string{}
	if v.lastEventID != "" {
		header = []string{"Last-Event-ID", v.lastEventID}
	}
	res, err := c.do(ctx, other, http.MethodGet, "/v1/responses/"+v.requestID, p.key, "", header...)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.cov.add(fmt.Sprintf("resume_%d", res.StatusCode))
	c.tracef("prompt %d resumes after %q at %s: status %d", p.id, v.lastEventID, entryName(other), res.StatusCode)
	if res.StatusCode != http.StatusOK {
		return
	}
	v.truncated = false
	v.readStream(res.Body)
	v.truncated = v.truncated && !c.mayDisconnect(other, start)
	v.elapsed = time.Since(start)
}

func (c *cluster) do(ctx context.Context, entry int, method, path, key, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entryAddr(entry)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return (&http.Client{Transport: c.transport()}).Do(req)
}

func (v *response) readError(r io.Reader) {
	b, err := io.ReadAll(r)
	var e errorBody
	if err != nil || json.Unmarshal(b, &e) != nil {
		v.truncated = true
		return
	}
	v.ran, v.code = e.Error.Ran, e.Error.Code
}

type completionBody struct {
	errorBody
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (v *response) readCompletion(r io.Reader) {
	b, err := io.ReadAll(r)
	var t completionBody
	if err != nil || json.Unmarshal(b, &t) != nil || len(t.Choices) != 1 {
		v.truncated = true
		return
	}
	v.text, v.complete = t.Choices[0].Text, true
}

func (v *response) readStream(r io.Reader) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	finished := false
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			v.lastEventID = id
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			v.complete = finished
			return
		}
		var t completionBody
		if json.Unmarshal([]byte(data), &t) != nil {
			break
		}
		if t.Error.Code != "" {
			v.ran, v.code = t.Error.Ran, t.Error.Code
			return
		}
		if len(t.Choices) == 1 {
			v.text += t.Choices[0].Text
			finished = t.Choices[0].FinishReason != nil
		}
	}
	v.truncated = true
}
