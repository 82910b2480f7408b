// Package size estimates the number of tokens of prompts and answers.
package size

import (
	"math"
	"sync"
	"unicode/utf8"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	runesPerToken       = 4 // before a ratio is learned
	ratioWindowSamples  = 200
	outputWindowSamples = 50
	// outputDeviations is how many mean deviations above the mean the planned output is.
	outputDeviations = 5
	// minOutputSamples is the number of answers from which the history of a workspace
	// is used: the first answers to end are the short ones.
	minOutputSamples = 25
	// priorOutputTokens is the planned output until then: callers set max_tokens far
	// above the length of their answers.
	priorOutputTokens = 256
	minRatioTokens    = 16 // the ratio of shorter prompts is too noisy
	minRatio          = 0.1
	maxRatio          = 10
	// maxTracked bounds each table. Names beyond it are not learned.
	maxTracked = 20_000
)

// Estimator learns from the usage that engines report. It is safe for concurrent use.
type Estimator struct {
	mu      sync.RWMutex
	ratios  map[string]*estimate.Moving // reported tokens over runes / runesPerToken, by deployment
	outputs map[string]*estimate.Moving // tokens of answers, by workspace
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{ratios: map[string]*estimate.Moving{}, outputs: map[string]*estimate.Moving{}}
}

// Tokens returns the estimated number of tokens of a text for the deployment.
func (e *Estimator) Tokens(deployment, text string) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	ratio := 1.0
	if m := e.ratios[deployment]; m != nil {
		ratio = m.Mean(1)
	}
	return int(math.Ceil(baseTokens(text) * ratio))
}

// baseTokens returns the estimate without a learned ratio.
func baseTokens(text string) float64 { return float64(utf8.RuneCountInString(text)) / runesPerToken }

// Output returns the number of tokens to plan for an answer: a high estimate from the
// history of the workspace, at most maxTokens.
func (e *Estimator) Output(workspace string, maxTokens int) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	m := e.outputs[workspace]
	if m == nil || m.Samples() < minOutputSamples {
		return min(maxTokens, priorOutputTokens)
	}
	return max(1, min(int(math.Ceil(m.High(outputDeviations, float64(maxTokens)))), maxTokens))
}

// Learn adds the usage of an answer: the tokens of the prompt text and of the answer.
// Counts of 0 are ignored.
func (e *Estimator) Learn(deployment, workspace, text string, promptTokens, completionTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := baseTokens(text); n >= minRatioTokens && promptTokens > 0 {
		learn(e.ratios, deployment, ratioWindowSamples, min(max(float64(promptTokens)/n, minRatio), maxRatio))
	}
	if completionTokens > 0 {
		learn(e.outputs, workspace, outputWindowSamples, float64(completionTokens))
	}
}

func learn(averages map[string]*estimate.Moving, name string, samples, x float64) {
	m := averages[name]
	if m == nil {
		if len(averages) >= maxTracked {
			return
		}
		avg := estimate.NewMoving(samples)
		m = &avg
		averages[name] = m
	}
	m.Add(x)
}
