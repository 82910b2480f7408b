package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/golden"
)

const (
	orderPath = "/v1/services/orderdesk/orders"
	orderBody = `{"die":"lion"}`
)

func newOrderKey() string { return uuid.Must(uuid.NewV7()).String() }

func (c *devCluster) order(t *testing.T, entry int, key, body string) answer {
	t.Helper()
	return c.call(t, entry, http.MethodPost, orderPath, devGuildKey, body, "Idempotency-Key", key)
}

func (c *devCluster) orderState(t *testing.T, entry int, key string) (state, body string) {
	t.Helper()
	a := c.call(t, entry, http.MethodGet, "/v1/orders/"+key, devGuildKey, "")
	var got struct {
		State  string
		Answer struct{ Body string }
	}
	if err := json.Unmarshal([]byte(a.body), &got); err != nil {
		t.Fatalf("%d %s: %v", a.status, a.body, err)
	}
	return got.State, got.Answer.Body
}

func codeOf(t *testing.T, a answer) string {
	t.Helper()
	var got struct{ Error struct{ Code, Ran string } }
	if err := json.Unmarshal([]byte(a.body), &got); err != nil {
		t.Fatalf("%d %s: %v", a.status, a.body, err)
	}
	return fmt.Sprintf("%d %s ran=%s", a.status, got.Error.Code, got.Error.Ran)
}

func TestOrderIsPlacedOnceWhicheverEntryIsAsked(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	key := newOrderKey()
	first := c.order(t, 0, key, orderBody)
	is.Equal(first.status, http.StatusCreated)
	for i := range devEntries {
		again := c.order(t, i, key, orderBody)
		is.Equal(again.status, http.StatusCreated)
		is.Equal(again.body, first.body)
		state, body := c.orderState(t, i, key)
		is.Equal(state, "done")
		is.Equal(body, first.body)
		is.Equal(codeOf(t, c.order(t, i, key, `{"die":"eagle"}`)), "422 idempotency_key_reused ran=no")
	}
	is.Equal(c.Desk.Executions(key), 1)

	a := c.call(t, 1, http.MethodPost, orderPath, devLoomwireKey, orderBody, "Idempotency-Key", key)
	is.Equal(a.status, http.StatusCreated) // keys are scoped by workspace
	is.Equal(c.Desk.Executions(key), 2)
}

func TestOrderAtTwoEntriesAtOnce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	key := newOrderKey()
	c.Desk.Hang(true)
	answers := make(chan answer, devEntries)
	for i := range devEntries {
		go func() { answers <- c.order(t, i, key, orderBody) }()
	}
	for c.Desk.Executions(key) == 0 {
		select {
		case a := <-answers:
			t.Fatalf("answered before the desk: %d %s", a.status, a.body)
		case <-time.After(time.Millisecond):
		}
	}
	state, _ := c.orderState(t, 0, key)
	is.Equal(state, "pending")
	c.Desk.Hang(false)
	for range devEntries {
		is.Equal((<-answers).status, http.StatusCreated)
	}
	is.Equal(c.Desk.Executions(key), 1)
}

func TestOrderWithoutAnAnswerStaysUnknown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	key := newOrderKey()
	c.Desk.LoseAnswers(1)
	is.Equal(codeOf(t, c.order(t, 0, key, orderBody)), "502 order_unknown ran=unknown")
	for i := range devEntries {
		is.Equal(codeOf(t, c.order(t, i, key, orderBody)), "502 order_unknown ran=unknown")
		state, _ := c.orderState(t, i, key)
		is.Equal(state, "unknown")
	}
	is.Equal(c.Desk.Executions(key), 1)
}

func TestOrderThatNoServerTakesIsVoid(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	a := c.call(t, 0, http.MethodDelete, "/apis/dogwoodmill/v1/upstreams/desk-1", devToken, "")
	is.Equal(a.status, http.StatusOK)
	key := newOrderKey()
	is.Equal(codeOf(t, c.order(t, 0, key, orderBody)), "503 order_void ran=no")
	for i := range devEntries {
		is.Equal(codeOf(t, c.order(t, i, key, orderBody)), "503 order_void ran=no")
		state, _ := c.orderState(t, i, key)
		is.Equal(state, "void")
	}
}

func TestOrderWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	done, refused := newOrderKey(), newOrderKey()
	is.Equal(c.order(t, 0, done, orderBody).status, http.StatusCreated)
	c.Store.SetOutage(true)
	is.Equal(codeOf(t, c.order(t, 0, refused, orderBody)), "503 order_log_unavailable ran=no")
	is.Equal(c.Desk.Executions(refused), 0)
	is.Equal(c.order(t, 0, done, orderBody).status, http.StatusCreated) // answered from the state in memory
	c.Store.SetOutage(false)
	is.Equal(c.order(t, 0, refused, orderBody).status, http.StatusCreated)
	is.Equal(c.Desk.Executions(done), 1)
	is.Equal(c.Desk.Executions(refused), 1)
}

func TestOrderWhenTheLogsAnswerIsLost(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	key := newOrderKey()
	c.Store.LoseAnswers(1)
	is.Equal(c.order(t, 0, key, orderBody).status, http.StatusCreated)
	is.Equal(c.order(t, 1, key, orderBody).status, http.StatusCreated)
	is.Equal(c.Desk.Executions(key), 1)
}

func TestOrderErrors(t *testing.T) {
	c := startCluster(t)
	oldKey, futureKey := "01890000-0000-7000-8000-000000000001", "7f000000-0000-7000-8000-000000000001"
	for _, tt := range []struct {
		name, method, path, key string
		status                  int
	}{
		{"order_expired", http.MethodPost, orderPath, oldKey, 400},
		{"order_future", http.MethodPost, orderPath, futureKey, 400},
		{"order_not_found", http.MethodGet, "/v1/orders/" + newOrderKey(), "", 404},
		{"order_look_expired", http.MethodGet, "/v1/orders/" + oldKey, "", 400},
		{"order_look_no_key", http.MethodGet, "/v1/orders/1", "", 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := c.call(t, 0, tt.method, tt.path, devGuildKey, "", "Idempotency-Key", tt.key)
			is.Equal(a.status, tt.status)
			golden.Equal(t, "error_"+tt.name+".json", append([]byte(a.body), '\n'))
		})
	}
}
