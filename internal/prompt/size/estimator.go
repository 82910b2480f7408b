// Package size estimates how many tokens a prompt and its answer have.
package size

import (
	"math"
	"sync"
	"unicode/utf8"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/estimate"
)

const (
	runesPerToken = 4 // where nothing was learned yet
	window        = 200
	outputWindow  = 50
	// outputDeviations above the mean is the output that is planned with.
	outputDeviations = 5
	// minOutputs is how many answers a workspace needs until its history counts:
	// the first that end are the short ones.
	minOutputs = 25
	// priorOutput is what an answer is planned with until then: callers set
	// max_tokens far above what they get.
	priorOutput     = 256
	minSampleTokens = 16 // shorter prompts tell little about the ratio
	minRatio        = 0.1
	maxRatio        = 10
	maxWorkspaces   = 20_000
)

// Estimator learns from the usage that engines report. Its methods may be called
// from any goroutine.
type Estimator struct {
	mu     sync.RWMutex
	ratios map[string]*estimate.Moving // tokens reported over runes / runesPerToken, by deployment
	output map[string]*estimate.Moving // tokens of answers, by workspace
}

// New returns an estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{ratios: map[string]*estimate.Moving{}, output: map[string]*estimate.Moving{}}
}

// Tokens returns the number of tokens that the text probably has for the deployment.
func (e *Estimator) Tokens(deployment, text string) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	ratio := 1.0
	if m := e.ratios[deployment]; m != nil {
		ratio = m.Mean(1)
	}
	return int(math.Ceil(plain(text) * ratio))
}

func plain(text string) float64 { return float64(utf8.RuneCountInString(text)) / runesPerToken }

// Output returns how many tokens an answer for the workspace has at most, as far
// as its history tells.
func (e *Estimator) Output(workspace string, maxTokens int) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	m := e.output[workspace]
	if m == nil || m.Samples() < minOutputs {
		return min(maxTokens, priorOutput)
	}
	return max(1, min(int(math.Ceil(m.High(outputDeviations, float64(maxTokens)))), maxTokens))
}

// Learn takes the usage of an answer: the tokens of its prompt and of itself.
func (e *Estimator) Learn(deployment, workspace, text string, promptTokens, completionTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := plain(text); n >= minSampleTokens && promptTokens > 0 {
		learn(e.ratios, deployment, window, min(max(float64(promptTokens)/n, minRatio), maxRatio))
	}
	if completionTokens > 0 {
		learn(e.output, workspace, outputWindow, float64(completionTokens))
	}
}

func learn(in map[string]*estimate.Moving, name string, samples, x float64) {
	m := in[name]
	if m == nil {
		if len(in) >= maxWorkspaces {
			return
		}
		fresh := estimate.NewMoving(samples)
		m = &fresh
		in[name] = m
	}
	m.Add(x)
}
