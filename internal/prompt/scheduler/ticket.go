package scheduler

import (
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/length"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/model"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/queue"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/rule"
)

// Job is a request to place.
type Job struct {
	ID        string
	Workspace string
	Weight    float64 // of the workspace; 1 where 0
	Tokens    int     // of the prompt
	MaxTokens int
	Output    int // tokens that the answer is planned with; MaxTokens where 0
	Bytes     int
	Blocks    []uint64 // hashes of the prompt's blocks; nil where nobody asks for cached ones
	Deadline  time.Time
	Verdict   rule.Verdict
	Tried     map[string]bool // upstreams that it may not go to again
	Notify    func()          // called once where the ticket waited and waits no more
}

func (j *Job) need() int { return j.Tokens + j.MaxTokens }

type state int

const (
	stateWaiting state = iota
	statePlaced
	stateOver
)

// Ticket is a request that was admitted. It belongs to the pool's goroutine.
type Ticket struct {
	job       Job
	class     length.Class
	grouped   bool // needs more than one engine
	state     state
	err       error
	tag       float64 // of fairness
	key       float64 // of rank
	item      *queue.Item[*Ticket]
	notBefore time.Time
	members   []*model.Engine
	sends     []*model.Send
	ideal     time.Duration // to the first token, with nothing in the way
	placedAt  time.Time
	firstAt   time.Time
}

// Placed reports whether the request has its engines.
func (t *Ticket) Placed() bool { return t.state == statePlaced }

// Err returns why a ticket that waited was refused, or nil.
func (t *Ticket) Err() error { return t.err }

// Class returns the prompt's class of length.
func (t *Ticket) Class() length.Class { return t.class }

// Priority returns the priority at the engines.
func (t *Ticket) Priority() int { return t.class.Priority() }

// Members returns the names of the engines, in the order in which they are held.
func (t *Ticket) Members() []string {
	out := make([]string, len(t.members))
	for i, e := range t.members {
		out[i] = e.Name()
	}
	return out
}

// Grouped reports whether a group runs the request.
func (t *Ticket) Grouped() bool { return t.grouped }

// Share returns a member's tokens of memory.
func (t *Ticket) Share() int { return group.Share(t.job.need(), max(len(t.members), 1)) }

func (t *Ticket) output() int {
	if t.job.Output > 0 {
		return t.job.Output
	}
	return t.job.MaxTokens
}

func (t *Ticket) weight() float64 {
	if t.job.Weight > 0 {
		return t.job.Weight
	}
	return 1
}

// work is what fairness charges: tokens, where one of an answer costs as much as
// several of a prompt.
func (t *Ticket) work() float64 { return float64(t.job.Tokens + outputCost*t.output()) }

const outputCost = 4

// Outcome tells what became of a placed request.
type Outcome struct {
	Answered bool // the whole answer came
	Failed   bool // the engine failed, rather than the caller having left
	Tokens   int  // of the answer; 0 where it is not known
}
