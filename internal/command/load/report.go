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
	histogramDigits = 3
)

// Class is a range of prompt lengths that is reported by itself.
type Class struct {
	name string
	upTo int // tokens
}

var classes = []Class{
	{"up to 4k", 4_000},
	{"up to 32k", 32_000},
	{"up to 100k", 100_000},
	{"over 100k", maxTokens},
}

// figures are the measurements of a class.
type figures struct {
	first *hdrhistogram.Histogram // microseconds
	gap   *hdrhistogram.Histogram // microseconds
	codes map[string]int
	sent  int
}

// Report collects measurements. Its methods may be called from any goroutine.
type Report struct {
	mu       sync.Mutex
	started  time.Time
	took     time.Duration
	inFlight int
	long     int // in flight that are long
	tokens   int
	classes  []*figures
	beside   *hdrhistogram.Histogram // first token of short prompts sent while a long one was in flight
	alone    *hdrhistogram.Histogram // first token of the other short prompts
}

func newReport() *Report {
	r := &Report{started: time.Now(), beside: newHistogram(), alone: newHistogram()}
	for range classes {
		r.classes = append(r.classes, &figures{first: newHistogram(), gap: newHistogram(), codes: map[string]int{}})
	}
	return r
}

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax)) // in range
}

// begin counts a request. It returns how many are in flight and the function to
// call with what became of it.
func (r *Report) begin(tokens int) (end func(outcome), inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	beside := r.long > 0
	if isLong(tokens) {
		r.long++
	}
	return func(out outcome) { r.end(tokens, beside, out) }, r.inFlight
}

func isLong(tokens int) bool { return tokens > classes[1].upTo }

func isShort(tokens int) bool { return tokens <= classes[0].upTo }

func (r *Report) end(tokens int, beside bool, out outcome) {
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
	case isShort(tokens) && beside:
		record(r.beside, out.first)
	case isShort(tokens):
		record(r.alone, out.first)
	}
}

func (r *Report) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took = time.Since(r.started)
}

func classOf(tokens int) int {
	return slices.IndexFunc(classes, func(c Class) bool { return tokens <= c.upTo })
}

// Summary is a report's figures.
type Summary struct {
	Seconds  float64        `json:"seconds"`
	InFlight int            `json:"inFlight"`
	Tokens   int            `json:"tokens"`
	Classes  []ClassSummary `json:"classes"`
	Results  map[string]int `json:"results"` // by code
	// ShortSlowdown is the first token's p95 of prompts up to 4k that were sent while
	// one over 32k was in flight, over that of the others; 0 where there were none.
	ShortSlowdown float64 `json:"shortSlowdown"`
}

// ClassSummary is the figures of a class. Times are in milliseconds.
type ClassSummary struct {
	Class    string  `json:"class"`
	Sent     int     `json:"sent"`
	OK       int     `json:"ok"`
	FirstP50 float64 `json:"firstTokenP50Ms"`
	FirstP95 float64 `json:"firstTokenP95Ms"`
	FirstP99 float64 `json:"firstTokenP99Ms"`
	GapP95   float64 `json:"betweenTokensP95Ms"`
}

// Summary returns the figures so far.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := r.took
	if took == 0 {
		took = time.Since(r.started)
	}
	s := Summary{Seconds: took.Seconds(), InFlight: r.inFlight, Tokens: r.tokens, Results: map[string]int{}}
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
	if r.beside.TotalCount() > 0 && r.alone.TotalCount() > 0 {
		s.ShortSlowdown = float64(r.beside.ValueAtQuantile(95)) / float64(r.alone.ValueAtQuantile(95))
	}
	return s
}

// Progress writes a line about the figures so far.
func (s Summary) Progress(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%5.0fs  in flight %-5d", s.Seconds, s.InFlight) // a terminal that is gone has no reader
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
		_, _ = fmt.Fprintf(w, " %s=%d", code, s.Results[code]) // the line's end returns the error
	}
	if err == nil {
		_, err = fmt.Fprintln(w)
	}
	if err == nil && s.ShortSlowdown > 0 {
		_, err = fmt.Fprintf(w, "short prompts' first token beside long ones: %.2f times that without (p95)\n", s.ShortSlowdown)
	}
	return err
}
