package engine

import "time"

// Die drops all streams, holds and cached blocks, and fails every call.
func (e *Engine) Die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	e.broadcast()
}

// Restart brings the engine back with empty memory and a new incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset()
	e.dead, e.paused, e.leaving = false, false, false
	e.broadcast()
	e.kick()
}

// Pause stops all streams until it is called with false.
func (e *Engine) Pause(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
	e.kick()
}

// SetSlow makes every step take the given multiple of its time.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetLeaving makes the engine report that it is leaving and refuse new streams.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if leaving && !e.leaving {
		e.leftAt = time.Now()
	}
	e.leaving = leaving
}

// Silence makes every connection that is open now silent for good. New ones work.
func (e *Engine) Silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silencedAt = time.Now()
	e.broadcast()
}

// LoseAnswers makes the next n cancels, holds, releases and orders take effect
// without an answer.
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseNext = n
}

// Misdelivery is a way in which a piece of a stream is sent wrongly.
type Misdelivery int

// Ways in which a piece is sent wrongly.
const (
	Double     Misdelivery = iota + 1 // sent twice
	Late                              // preceded by a piece of an earlier incarnation
	OutOfOrder                        // left out
	Foreign                           // preceded by a piece of another stream
)

// Misdeliver sends the next n pieces, of whichever streams, in the wrong way.
func (e *Engine) Misdeliver(how Misdelivery, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misdelivery, e.misdeliverNext = how, n
}

// deliver returns what is sent for a piece.
func (e *Engine) deliver(p Piece) []Piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.misdeliverNext == 0 || p.Finish != "" {
		return []Piece{p}
	}
	if s := e.streams[p.Stream]; e.misdelivery == Late && s != nil && p.Pos == s.req.From {
		return []Piece{p} // an earlier incarnation can't have known a stream that has just begun
	}
	e.misdeliverNext--
	wrong := p
	switch e.misdelivery {
	case Late:
		wrong.Incarnation--
		wrong.Text = "late "
	case OutOfOrder:
		return nil
	case Foreign:
		wrong.Stream += "x"
		wrong.Text = "foreign "
	case Double:
	}
	return []Piece{wrong, p}
}

func (e *Engine) loseAnswer(op string) error {
	if e.loseNext == 0 {
		return nil
	}
	e.loseNext--
	return fail(op, KindAnswerLost, nil)
}
