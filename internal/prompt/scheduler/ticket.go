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
	Weight    float64 // of the workspace; 0 means 1
	Tokens    int     // prompt length
	MaxTokens int
	Output    int      // expected output tokens; 0 means MaxTokens
	Bytes     int      // size in the queue
	Blocks    []uint64 // hashes of the prompt's blocks; nil if cached prefixes are not considered
	Deadline  time.Time
	Verdict   rule.Verdict
	Tried     map[string]bool // upstreams to exclude; not empty for a retry
	Notify    func()          // called when a queued ticket is placed or refused; may be nil
}

// need returns the memory that the job needs, in tokens.
func (j *Job) need() int { return j.Tokens + j.MaxTokens }

type state int

const (
	stateWaiting state = iota
	statePlaced
	stateDone
)

// Ticket is an admitted request. It is not safe for concurrent use, like its Pool.
type Ticket struct {
	job          Job
	class        length.Class
	grouped      bool // needs a group of engines
	state        state
	err          error
	startTag     float64 // of fair.Clock
	key          float64 // position in the queue, see rank
	item         *queue.Item[*Ticket]
	notBefore    time.Time // earliest retry after a failed hold
	members      []*model.Engine
	sends        []*model.Send
	ideal        time.Duration // predicted time to the first token
	placedAt     time.Time
	firstTokenAt time.Time
}

// Placed reports whether engines are assigned to the request.
func (t *Ticket) Placed() bool { return t.state == statePlaced }

// Err returns why a queued ticket was refused or ended, or nil.
func (t *Ticket) Err() error { return t.err }

// Class returns the length class of the prompt.
func (t *Ticket) Class() length.Class { return t.class }

// Priority returns the priority to send to the engines.
func (t *Ticket) Priority() int { return t.class.Priority() }

// Members returns the names of the assigned engines, in the order in which to hold their
// memory.
func (t *Ticket) Members() []string {
	out := make([]string, len(t.members))
	for i, e := range t.members {
		out[i] = e.Name()
	}
	return out
}

// Grouped reports whether the request needs a group of engines.
func (t *Ticket) Grouped() bool { return t.grouped }

// Share returns the memory that each assigned engine needs, in tokens.
func (t *Ticket) Share() int { return group.Share(t.job.need(), max(len(t.members), 1)) }

func (t *Ticket) outputTokens() int {
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

// cost returns the amount that fair queueing charges, in prompt tokens.
func (t *Ticket) cost() float64 { return float64(t.job.Tokens + outputTokenCost*t.outputTokens()) }

// outputTokenCost is the cost of an output token in prompt tokens.
const outputTokenCost = 4

// Outcome is the result of a placed request.
type Outcome struct {
	Answered bool // the answer is complete
	Failed   bool // the engine failed; false if the caller left
	Tokens   int  // output tokens; 0 if not known
}
