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

// slack is added to a caller's time limit: the way of the answer to the caller.
const slack = 500 * time.Millisecond

// prompt is a prompt to send.
type prompt struct {
	id        int
	entry     int
	tokens    int
	maxTokens int
	patience  time.Duration
	leaveAt   time.Duration // 0 where the caller stays
	stream    bool
	key       string
}

func (p prompt) text() string {
	head := fmt.Sprintf("prompt %d of %d tokens ", p.id, p.tokens)
	return head + strings.Repeat("x", max(p.tokens*engine.RunesPerToken-len(head), 0))
}

// verdict is what a caller was told.
type verdict struct {
	requestID string
	status    int
	text      string
	whole     bool
	ran       string // of an error: "no", "partial" or "unknown"
	code      string
	took      time.Duration
	cut       bool // the connection ended with neither an end nor an error
	lastID    string
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// ask sends the prompt and checks the answer against what the engines give.
func (c *cluster) ask(p prompt) {
	start := time.Now()
	v := c.send(p)
	if v.cut && p.stream && v.requestID != "" && p.leaveAt == 0 {
		c.resume(p, &v, start)
	}
	c.covered.add(v.outcome())
	c.note("prompt %d at %s: status %d whole=%t ran=%q code=%q cut=%t took=%s", p.id, entryName(p.entry), v.status, v.whole, v.ran, v.code, v.cut, v.took)
	want := engine.Answer(p.text(), 0, p.maxTokens)
	switch {
	case v.whole && v.text != want:
		c.broken("prompt %d got another answer than its own: %q, want %q", p.id, v.text, want)
	case !v.whole && !strings.HasPrefix(want, v.text):
		c.broken("prompt %d got a piece that is not its own: %q, want a prefix of %q", p.id, v.text, want)
	case v.cut && p.leaveAt == 0 && !c.excused(p.entry, start):
		c.broken("prompt %d was cut without an error by %s, which runs on", p.id, entryName(p.entry))
	}
	if v.took > p.patience+slack && p.leaveAt == 0 && !v.cut {
		c.broken("prompt %d ended after %s; its time limit was %s", p.id, v.took, p.patience)
	}
	if v.status == http.StatusOK && c.leftBefore(p.entry, start.Add(-leavingLimit)) {
		c.broken("prompt %d was admitted by %s, which has been leaving for more than %s", p.id, entryName(p.entry), leavingLimit)
	}
	if v.ran == "no" && v.requestID != "" {
		c.expectNotRun(p.id, v.requestID)
	}
}

// expectNotRun checks that no engine ever took a stream of a refused request.
// Request ids are the start of the ids of their streams.
func (c *cluster) expectNotRun(id int, requestID string) {
	for _, e := range c.world.Engines {
		for _, o := range e.Opened() {
			if o.Taken && strings.HasPrefix(o.Stream, requestID) {
				c.broken("prompt %d was told that it was not run, but %s took %s", id, e.Name(), o.Stream)
			}
		}
	}
}

func (c *cluster) send(p prompt) verdict {
	start := time.Now()
	limit := 2 * p.patience // a caller that is never answered leaves in the end
	if p.leaveAt > 0 {
		limit = p.leaveAt
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, err := json.Marshal(map[string]any{"model": "assistant", "prompt": p.text(), "max_tokens": p.maxTokens, "stream": p.stream})
	if err != nil {
		panic(err)
	}
	res, err := c.do(ctx, p.entry, http.MethodPost, "/v1/completions", p.key, string(body), "X-Request-Timeout", fmt.Sprint(p.patience.Seconds()))
	if err != nil {
		return verdict{cut: true, took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	v := verdict{status: res.StatusCode, requestID: res.Header.Get("X-Request-Id")}
	switch {
	case res.StatusCode != http.StatusOK:
		v.readError(res.Body)
	case p.stream:
		v.readStream(res.Body)
	default:
		v.readWhole(res.Body)
	}
	v.took = time.Since(start)
	return v
}

// resume goes on reading an answer at another entry. An answer that is not kept
// any more stays cut.
func (c *cluster) resume(p prompt, v *verdict, start time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), p.patience)
	defer cancel()
	other := (p.entry + 1) % entries
	header := []string{}
	if v.lastID != "" {
		header = []string{"Last-Event-ID", v.lastID}
	}
	res, err := c.do(ctx, other, http.MethodGet, "/v1/responses/"+v.requestID, p.key, "", header...)
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.covered.add(fmt.Sprintf("resume_%d", res.StatusCode))
	c.note("prompt %d resumes after %q at %s: status %d", p.id, v.lastID, entryName(other), res.StatusCode)
	if res.StatusCode != http.StatusOK {
		return
	}
	v.cut = false
	v.readStream(res.Body)
	v.cut = v.cut && !c.excused(other, start)
	v.took = time.Since(start)
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

func (v *verdict) readError(r io.Reader) {
	b, err := io.ReadAll(r)
	var e errorBody
	if err != nil || json.Unmarshal(b, &e) != nil {
		v.cut = true
		return
	}
	v.ran, v.code = e.Error.Ran, e.Error.Code
}

type textBody struct {
	errorBody
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

func (v *verdict) readWhole(r io.Reader) {
	b, err := io.ReadAll(r)
	var t textBody
	if err != nil || json.Unmarshal(b, &t) != nil || len(t.Choices) != 1 {
		v.cut = true
		return
	}
	v.text, v.whole = t.Choices[0].Text, true
}

func (v *verdict) readStream(r io.Reader) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	finished := false
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			v.lastID = id
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			v.whole = finished
			return
		}
		var t textBody
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
	v.cut = true
}
