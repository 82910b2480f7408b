package product_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

const orderTimeout = 12 * time.Second

// order collects the responses to all attempts with one idempotency key.
type order struct {
	key string

	mu       sync.Mutex
	attempts int
	notRun   int
	numbers  map[uint64]bool
}

// placeOrder sends the order to an entry and records the response.
func (c *cluster) placeOrder(o *order, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	ran, number, status := c.sendOrder(ctx, o, entry)
	c.tracef("order %s at %s: status %d ran=%q number=%d", o.key, entryName(entry), status, ran, number)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	switch {
	case number > 0:
		o.numbers[number] = true
		c.cov.add("order_done")
	case ran == "no":
		o.notRun++
		c.cov.add("order_ran_no")
	default:
		c.cov.add("order_ran_unknown")
	}
}

// sendOrder sends the order and returns the response: the order's number, or whether it ran.
func (c *cluster) sendOrder(ctx context.Context, o *order, entry int) (ran string, number uint64, status int) {
	res, err := c.do(ctx, entry, http.MethodPost, "/v1/services/orderdesk/orders", callerKey, `{"die":"lion"}`, "Idempotency-Key", o.key)
	if err != nil {
		return "", 0, 0
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return "", 0, res.StatusCode
	}
	var body struct {
		Number uint64 `json:"number"`
		errorBody
	}
	if json.Unmarshal(b, &body) != nil {
		return "", 0, res.StatusCode
	}
	return body.Error.Ran, body.Number, res.StatusCode
}

// checkOrder compares the responses with the desk's executions.
func (c *cluster) checkOrder(o *order) {
	n := c.world.Desk.Executions(o.key)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case n > 1:
		c.reportViolation("order %s was executed %d times", o.key, n)
	case n > 0 && o.attempts > 0 && o.notRun == o.attempts:
		c.reportViolation("order %s was executed, but every caller was told that it was not", o.key)
	case len(o.numbers) > 1:
		c.reportViolation("order %s was answered with different numbers: %v", o.key, o.numbers)
	case n == 0 && len(o.numbers) > 0:
		c.reportViolation("order %s was answered with a number, but never executed", o.key)
	}
}

// newIdempotencyKey returns a UUIDv7 of the bubble's time. The uuid package never goes back in time
// within a process, but each bubble starts at the same time: its keys would lie in the future.
func newIdempotencyKey(n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id.String()
}
