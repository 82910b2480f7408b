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

const orderPatience = 12 * time.Second

// order is what callers were told of one idempotency key.
type order struct {
	key string

	mu       sync.Mutex
	attempts int
	notRun   int
	numbers  map[uint64]bool
}

// place sends the order to an entry and notes what the caller was told.
func (c *cluster) place(o *order, entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderPatience)
	defer cancel()
	ran, number, status := c.sendOrder(ctx, o, entry)
	c.note("order %s at %s: status %d ran=%q number=%d", o.key, entryName(entry), status, ran, number)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts++
	switch {
	case number > 0:
		o.numbers[number] = true
		c.covered.add("order_done")
	case ran == "no":
		o.notRun++
		c.covered.add("order_ran_no")
	default:
		c.covered.add("order_ran_unknown")
	}
}

// sendOrder returns what the caller was told: the order's number, or whether it ran.
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

// checkOrder compares what callers were told with what the desk did.
func (c *cluster) checkOrder(o *order) {
	n := c.world.Desk.Executions(o.key)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case n > 1:
		c.broken("order %s was executed %d times", o.key, n)
	case n > 0 && o.attempts > 0 && o.notRun == o.attempts:
		c.broken("order %s was executed, but every caller was told that it was not", o.key)
	case len(o.numbers) > 1:
		c.broken("order %s was answered with different numbers: %v", o.key, o.numbers)
	case n == 0 && len(o.numbers) > 0:
		c.broken("order %s was answered with a number, but never executed", o.key)
	}
}

// newKey returns a UUIDv7 of the bubble's time. The library's own never goes back
// within a process, while each bubble starts at the same time.
func newKey(n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70 | id[6]&0x0f
	id[8] = 0x80 | id[8]&0x3f
	return id.String()
}
