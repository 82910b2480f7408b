// Package orderdesk is a stand-in for a plain service whose calls may not be
// repeated: it executes every order that reaches it and gives it the next number.
package orderdesk

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

const maxBody = 1 << 20 // bytes

// Order is an order that the desk executed.
type Order struct {
	Number uint64 `json:"number"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Desk executes orders. Its methods may be called from any goroutine.
type Desk struct {
	mu       sync.Mutex
	orders   []Order
	dead     bool
	loseNext int
	hang     chan struct{} // not nil while the desk executes without answering
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
	d.loseNext = n
}

// Hang makes the desk execute orders and answer none until it is called with false.
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

// Orders returns the executed orders in order of execution.
func (d *Desk) Orders() []Order {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Order(nil), d.orders...)
}

// Executions returns how often an order with the key was executed.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, hang, ok := d.execute(r.Header.Get("Idempotency-Key"), string(body))
	if !ok {
		panic(http.ErrAbortHandler) // closes the connection with no answer
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

// execute reports false where the caller gets no answer.
func (d *Desk) execute(key, body string) (Order, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return Order{}, nil, false
	}
	o := Order{Number: uint64(len(d.orders)) + 1, Key: key, Body: body}
	d.orders = append(d.orders, o)
	if d.loseNext > 0 {
		d.loseNext--
		return o, nil, false
	}
	return o, d.hang, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a reader that left has nobody to tell
}
