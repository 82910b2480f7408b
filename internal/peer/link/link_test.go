package link_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
)

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

func post(t *testing.T, l *link.Link, url string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/twirp/x", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	res, err := l.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(b)
}

func TestCallsAreSignedAndCounted(t *testing.T) {
	is := is.New(t)
	server := link.New(netio.TCP(), "b", "shared-key")
	server.Handle("/twirp/", http.HandlerFunc(echo))
	srv := httptest.NewServer(server)
	defer srv.Close()

	a := link.New(netio.TCP(), "a", "shared-key")
	status, body := post(t, a, srv.URL)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(a.Counters().Sent(), server.Counters().Received())
	is.Equal(a.Counters().Received(), server.Counters().Sent())

	status, _ = post(t, link.New(netio.TCP(), "a", "other-key"), srv.URL)
	is.Equal(status, http.StatusUnauthorized)
}

func TestUnsignedCallIsRefused(t *testing.T) {
	is := is.New(t)
	server := link.New(netio.TCP(), "b", "shared-key")
	server.Handle("/twirp/", http.HandlerFunc(echo))
	rec := httptest.NewRecorder()
	server.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/twirp/x", strings.NewReader("hello")))
	is.Equal(rec.Code, http.StatusUnauthorized)
}
