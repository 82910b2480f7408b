// Package orderdesk is a stand-in for a plain service with non-idempotent calls: it
// executes every order that it receives, duplicates included, and numbers them.
package orderdesk

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const maxBodyBytes = 1 << 20

// Order is an order that the desk executed.
type Order struct {
	Number uint64 `json:"number"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Desk executes orders. It is safe for concurrent use.
type Desk struct {
	mu            sync.Mutex
	orders        []Order
	dead          bool
	answersToLose int           // answers still to be dropped
	hang          chan struct{} // non-nil while answers are withheld; closed to release them
}

// NewDesk returns a desk with no orders.
func NewDesk() *Desk { return &Desk{} }

// SetDead makes the desk close every connection without executing anything.
func (d *Desk) SetDead(dead bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = dead
}

// LoseAnswers makes the next n orders take effect without an answer.
func (d *Desk) LoseAnswers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answersToLose = n
}

// Hang makes the desk execute orders but withhold the answers until it is called with false.
func (d *Desk) Hang(hang bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case hang && d.hang == nil:
		d.hang = make(chan struct{})
	case !hang && d.hang != nil:
		close(d.hang)
		d.hang = nil
	}
}

// Orders returns the executed orders, oldest first.
func (d *Desk) Orders() []Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Order(nil), d.orders...)
}

// Executions returns the number of executed orders with the key.
func (d *Desk) Executions(key string) int {
	n := 0
	for _, o := range d.Orders() {
		if o.Key == key {
			n++
		}
	}
	return n
}

// Handler returns the desk's HTTP interface: POST /orders and GET /orders.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", d.serveOrder)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Orders()) })
	return mux
}

func (d *Desk) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, hang, ok := d.execute(r.Header.Get("Idempotency-Key"), string(body))
	if !ok {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	if hang != nil {
		select {
		case <-hang:
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, o)
}

// execute executes an order unless the desk is dead. It returns a channel to wait for
// before the answer, or nil, and false if the caller gets no answer.
func (d *Desk) execute(key, body string) (Order, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return Order{}, nil, false
	}
	o := Order{Number: uint64(len(d.orders)) + 1, Key: key, Body: body}
	d.orders = append(d.orders, o)
	if d.answersToLose > 0 {
		d.answersToLose--
		return o, nil, false
	}
	return o, d.hang, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
