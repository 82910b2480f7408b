package rest_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/rest"
)

type pair struct{ A, B int }

func TestCall(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/swap":
			var p pair
			if err := json.NewDecoder(r.Body).Decode(&p); err != nil || r.Header.Get("Authorization") != "Bearer t" {
				http.Error(w, "bad", http.StatusBadRequest)
				return
			}
			_ = json.NewEncoder(w).Encode(pair{p.B, p.A})
		case "/cut":
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Retry-After", "3")
			http.Error(w, "busy", http.StatusTooManyRequests)
		}
	}))
	defer srv.Close()
	c := rest.New(netio.TCP(), srv.URL, 5*time.Second).WithToken("t")

	var out pair
	is.NoErr(rest.Call(t.Context(), c, "POST", "/swap", &pair{1, 2}, &out))
	is.Equal(out, pair{2, 1})

	err := rest.Call[pair, pair](t.Context(), c, "GET", "/other", nil, nil)
	is.Equal(rest.Status(err), http.StatusTooManyRequests)

	err = rest.Call[pair, pair](t.Context(), c, "GET", "/cut", nil, nil)
	is.True(fault.Is(err, rest.KindNoAnswer)) // it may have taken effect

	srv.Close()
	err = rest.Call[pair, pair](t.Context(), c, "GET", "/swap", nil, nil)
	is.True(fault.Is(err, rest.KindUnreachable)) // nothing was sent
}
