package engine

import "time"

// Die makes every call fail until Restart. All streams, holds and cached blocks are lost.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	e.broadcast()
}

// Restart restarts the engine with empty memory and a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	e.dead, e.paused, e.leaving = false, false, false
	e.broadcast()
	e.wakeUp()
}

// Pause stops all streams and HTTP answers until it is called with false.
func (e *Engine) Pause(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
	e.wakeUp()
}

// SetSlow multiplies the time of every step by the factor.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving makes the engine report that it is leaving and refuse new streams and holds.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && !e.leaving {
		e.leavingSince = time.Now()
	}
	e.leaving = leaving
}

// Silence stops answers on all connections that are open now, for good. New connections
// work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silencedAt = time.Now()
	e.broadcast()
}

// LoseAnswers makes the next n cancels, holds, releases and orders take effect
// without an answer (KindAnswerLost).
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

// Misdelivery is a fault in the delivery of a piece of a stream.
type Misdelivery int

// The delivery faults.
const (
	Double     Misdelivery = iota + 1 // the piece is sent twice
	Late                              // a piece of an earlier incarnation precedes it
	OutOfOrder                        // the piece is omitted
	Foreign                           // a piece of another stream precedes it
)

// Misdeliver applies the fault to the next n pieces of any streams.
func (e *Engine) Misdeliver(m Misdelivery, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misdelivery, e.piecesToMisdeliver = m, n
}

// deliver returns the pieces to send for a piece, with the fault applied.
func (e *Engine) deliver(p Piece) []Piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.piecesToMisdeliver == 0 || p.Finish != "" {
		return []Piece{p}
	}
	if s := e.streams[p.Stream]; e.misdelivery == Late && s != nil && p.Pos == s.req.From {
		return []Piece{p} // an earlier incarnation can't have had a stream that has just started
	}
	e.piecesToMisdeliver--
	faulty := p
	switch e.misdelivery {
	case Late:
		faulty.Incarnation--
		faulty.Text = "late "
	case OutOfOrder:
		return nil
	case Foreign:
		faulty.Stream += "x"
		faulty.Text = "foreign "
	case Double:
	}
	return []Piece{faulty, p}
}

// loseAnswer returns an error of KindAnswerLost while answers are to be dropped.
func (e *Engine) loseAnswer(op string) error {
	if e.answersToLose == 0 {
		return nil
	}
	e.answersToLose--
	return fail(op, KindAnswerLost, nil)
}
