package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3 // significant decimal digits
)

// Class is a range of prompt lengths with its own row in the report.
type Class struct {
	name      string
	maxPrompt int // tokens
}

var classes = []Class{
	{"up to 4k", 4_000},
	{"up to 32k", 32_000},
	{"up to 100k", 100_000},
	{"over 100k", maxTokens},
}

// classStats holds the measurements of a class.
type classStats struct {
	first *hdrhistogram.Histogram // time to the first token, in microseconds
	gap   *hdrhistogram.Histogram // between tokens, in microseconds
	codes map[string]int          // requests by outcome code
	sent  int                     // requests
}

// Report collects the measurements of a run. It is safe for concurrent use.
type Report struct {
	mu          sync.Mutex
	started     time.Time
	elapsed     time.Duration
	inFlight    int
	long        int // long prompts in flight
	tokens      int // received
	classes     []*classStats
	besideLong  *hdrhistogram.Histogram // time to first token of short prompts sent while a long one was in flight
	withoutLong *hdrhistogram.Histogram // time to first token of the other short prompts
}

func newReport() *Report {
	r := &Report{started: time.Now(), besideLong: newHistogram(), withoutLong: newHistogram()}
	for range classes {
		r.classes = append(r.classes, &classStats{first: newHistogram(), gap: newHistogram(), codes: map[string]int{}})
	}
	return r
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // clamped to the range
}

// begin records the start of a request. It returns the number of requests in flight and a
// function to call with the request's outcome.
func (r *Report) begin(tokens int) (end func(outcome), inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	besideLong := r.long > 0
	if isLong(tokens) {
		r.long++
	}
	return func(out outcome) { r.end(tokens, besideLong, out) }, r.inFlight
}

func isLong(tokens int) bool { return tokens > classes[1].maxPrompt }

func isShort(tokens int) bool { return tokens <= classes[0].maxPrompt }

// end records the outcome of a request.
func (r *Report) end(tokens int, besideLong bool, out outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.tokens += out.tokens
	if isLong(tokens) {
		r.long--
	}
	f := r.classes[classOf(tokens)]
	f.sent++
	f.codes[out.code]++
	if out.tokens == 0 {
		return
	}
	record(f.first, out.first)
	for _, g := range out.gaps {
		record(f.gap, g)
	}
	switch {
	case isShort(tokens) && besideLong:
		record(r.besideLong, out.first)
	case isShort(tokens):
		record(r.withoutLong, out.first)
	}
}

// close fixes the duration of the run.
func (r *Report) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.elapsed = time.Since(r.started)
}

// classOf returns the index of the class of a prompt length.
func classOf(tokens int) int {
	return slices.IndexFunc(classes, func(c Class) bool { return tokens <= c.maxPrompt })
}

// Summary holds the figures of a report.
type Summary struct {
	Seconds  float64        `json:"seconds"`
	InFlight int            `json:"inFlight"`
	Tokens   int            `json:"tokens"`
	Classes  []ClassSummary `json:"classes"`
	Results  map[string]int `json:"results"` // by code
	// ShortSlowdown is the p95 time to first token of prompts up to 4k tokens that were sent
	// while one over 32k was in flight, divided by that of the others; 0 without samples of both.
	ShortSlowdown float64 `json:"shortSlowdown"`
}

// ClassSummary holds the figures of a class. Times are in milliseconds.
type ClassSummary struct {
	Class    string  `json:"class"`
	Sent     int     `json:"sent"`
	OK       int     `json:"ok"`
	FirstP50 float64 `json:"firstTokenP50Ms"`
	FirstP95 float64 `json:"firstTokenP95Ms"`
	FirstP99 float64 `json:"firstTokenP99Ms"`
	GapP95   float64 `json:"betweenTokensP95Ms"`
}

// Summary returns the current figures.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	elapsed := r.elapsed
	if elapsed == 0 {
		elapsed = time.Since(r.started)
	}
	s := Summary{Seconds: elapsed.Seconds(), InFlight: r.inFlight, Tokens: r.tokens, Results: map[string]int{}}
	for i, f := range r.classes {
		ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		s.Classes = append(s.Classes, ClassSummary{
			Class: classes[i].name, Sent: f.sent, OK: f.codes["ok"],
			FirstP50: ms(f.first, 50), FirstP95: ms(f.first, 95), FirstP99: ms(f.first, 99), GapP95: ms(f.gap, 95),
		})
		for code, n := range f.codes {
			s.Results[code] += n
		}
	}
	if r.besideLong.TotalCount() > 0 && r.withoutLong.TotalCount() > 0 {
		s.ShortSlowdown = float64(r.besideLong.ValueAtQuantile(95)) / float64(r.withoutLong.ValueAtQuantile(95))
	}
	return s
}

// Progress writes the current figures on one line, without a line break.
func (s Summary) Progress(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%5.0fs  in flight %-5d", s.Seconds, s.InFlight) // progress is best effort; write errors are ignored
	for _, code := range slices.Sorted(maps.Keys(s.Results)) {
		_, _ = fmt.Fprintf(w, "  %s %d", code, s.Results[code])
	}
	_, _ = fmt.Fprintf(w, "  short first token p95 %.0f ms", s.Classes[0].FirstP95)
}

// Table writes the figures as a table.
func (s Summary) Table(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 3, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "prompt tokens\tsent\tok\tfirst token p50\tp95\tp99\tbetween tokens p95\t") // Flush returns the error
	for _, c := range s.Classes {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f ms\t\n",
			c.Class, c.Sent, c.OK, c.FirstP50, c.FirstP95, c.FirstP99, c.GapP95)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d tokens in %.1f s; results:", s.Tokens, s.Seconds)
	for _, code := range slices.Sorted(maps.Keys(s.Results)) {
		_, _ = fmt.Fprintf(w, " %s=%d", code, s.Results[code]) // the Fprintln below returns the error of a broken writer
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	if err == nil && s.ShortSlowdown > 0 {
		_, err = fmt.Fprintf(w, "short prompts' first token beside long ones: %.2f times that without (p95)\n", s.ShortSlowdown)
	}
	return err
}
