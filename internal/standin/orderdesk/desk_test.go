package orderdesk_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/orderdesk"
)

func TestDeskExecutesEachOrder(t *testing.T) {
	is := is.New(t)
	d := orderdesk.NewDesk()
	srv := httptest.NewServer(d.Handler())
	defer srv.Close()

	for range 2 {
		res, err := http.Post(srv.URL+"/orders", "application/json", strings.NewReader(`{"die":"lion"}`))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.StatusCode, http.StatusCreated)
	}
	is.Equal(len(d.Orders()), 2) // the desk does not deduplicate orders
	is.Equal(d.Orders()[1].Number, uint64(2))
}

func TestOrderWithLostAnswerIsExecuted(t *testing.T) {
	is := is.New(t)
	d := orderdesk.NewDesk()
	srv := httptest.NewServer(d.Handler())
	defer srv.Close()

	d.LoseAnswers(1)
	res, err := http.Post(srv.URL+"/orders", "application/json", strings.NewReader(`{}`))
	if err == nil {
		is.NoErr(res.Body.Close())
	}
	is.True(err != nil)
	is.Equal(d.Executions(""), 1)

	d.SetDead(true)
	res, err = http.Post(srv.URL+"/orders", "application/json", strings.NewReader(`{}`))
	if err == nil {
		is.NoErr(res.Body.Close())
	}
	is.True(err != nil)
	is.Equal(d.Executions(""), 1)
}
