package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
)

const (
	otherID     = "X-Attempt-Id: another\r\n"
	notRunLine  = "X-Not-Executed: 1\r\n"
	noBody      = "Content-Length: 0\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\n"
)

// A server writes an earlier refusal once more ahead of its answer, or instead of it. The request
// has run: its caller must not be told that it has not, and no other server may run it too.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	for name, refusal := range map[string]string{
		"503": unavailable + notRunLine + otherID + noBody,
		"429": "HTTP/1.1 429 Too Many Requests\r\n" + notRunLine + otherID + noBody,
		"421": "HTTP/1.1 421 Misdirected Request\r\n" + otherID + noBody,
		"400": "HTTP/1.1 400 Bad Request\r\n" + notRunLine + otherID + noBody,
	} {
		for _, path := range []string{"/once/", "/write/"} {
			for _, place := range []string{"ahead of the answer", "instead of it"} {
				t.Run(name+path+place, func(t *testing.T) {
					is := is.New(t)
					env := newTestEnv(t)
					env.addOnceStream()
					env.configure()
					service := "desk"
					if path == "/write/" {
						service = "engines"
					}
					raw := func(w io.Writer, header string) {
						answer := okLine + header + "\r\n" + server.Events(testEvents)
						if place == "instead of it" {
							answer = ""
						}
						_, _ = io.WriteString(w, refusal+answer)
					}
					a, b := env.serve(service, "i-1", server.Raw), env.serve(service, "i-2", server.Raw)
					a.SetRaw(raw)
					b.SetRaw(raw)
					r := env.do(env.request(http.MethodPost, path))
					is.Equal(r.status, http.StatusBadGateway)
					is.Equal(r.body, "")
					is.Equal(len(a.Runs())+len(b.Runs()), 1)
				})
			}
		}
	}
}

// A server refuses the request before it has read its body, and says whose refusal it is: the
// request goes to another server, whatever follows on that connection.
func TestEarlyRefusalIsBelieved(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	refusing := env.serveEarly("HTTP/1.1 503 Service Unavailable\r\n" + notRunLine + "X-Attempt-Id: request-1\r\n" + noBody + okLine + otherID + noBody)
	env.register("desk", "i-1", refusing)
	b := env.serve("desk", "i-2")
	for range 4 {
		req := env.request(http.MethodPost, "/once/")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1000))), 1000
		is.Equal(env.do(req).status, http.StatusOK)
	}
	is.Equal(len(b.Runs()), 4)
}

// A refusal that names no request may be an earlier one: servers echo the id in all that they answer.
func TestRefusalWithoutIDIsNotBelieved(t *testing.T) {
	for name, refusal := range map[string]string{
		"503": unavailable + notRunLine + noBody, "421": "HTTP/1.1 421 Misdirected Request\r\n" + noBody,
	} {
		for path, service := range map[string]string{"/once/": "desk", "/write/": "engines"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t)
				env.addOnceStream()
				env.configure()
				a := env.serve(service, "i-1", server.Raw)
				a.SetRaw(func(w io.Writer, header string) { _, _ = io.WriteString(w, refusal+okLine+header+"\r\n") })
				is.Equal(env.do(env.request(http.MethodPost, path)).status, http.StatusBadGateway)
			})
		}
	}
}

// An earlier refusal comes as soon as a connection is made, before the request. The request may run
// all the same.
func TestRefusalAheadOfRequestIsNotBelieved(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	env.register("desk", "i-1", env.serveEarly(unavailable+notRunLine+otherID+noBody))
	is.Equal(env.do(env.request(http.MethodPost, "/once/")).status, http.StatusBadGateway)
}

// A server ran a request and answers with a status that promises the opposite, without a mark. The
// promise is not passed on.
func TestUnmarkedRefusalIsNotRelayed(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for _, path := range []string{"/once/", "/write/"} {
			t.Run(status+path, func(t *testing.T) {
				is := is.New(t)
				env := newTestEnv(t)
				env.addOnceStream()
				env.configure()
				for _, service := range []string{"desk", "engines"} {
					a := env.serve(service, "a-"+service, server.Raw)
					a.SetRaw(func(w io.Writer, header string) {
						_, _ = io.WriteString(w, "HTTP/1.1 "+status+"\r\n"+header+"Content-Length: 5\r\n\r\nwrong")
					})
				}
				r := env.do(env.request(http.MethodPost, path))
				is.Equal(r.status, http.StatusBadGateway)
				is.Equal(r.body, "")
			})
		}
	}
}

// addOnceStream adds a route whose streams can't be resumed.
func (env *testEnv) addOnceStream() {
	routes := env.config["routes"].([]any)
	once := map[string]any{}
	for k, v := range routes[3].(map[string]any) {
		once[k] = v
	}
	once["name"], once["path_prefix"], once["resume_streams"] = "/write/", "/write/", false
	env.config["routes"] = append(routes, once)
}

// serveEarly returns the address of a server that writes an answer on each connection at once and
// reads what comes.
func (env *testEnv) serveEarly(answer string) string {
	ln := listen(env.t)
	env.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(c, answer)
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// All keys of all workspaces are withdrawn. Requests with a withdrawn key, with one that never was in
// force, and with none were passed on; only public routes need none.
func TestWithdrawnKeysOpenNoRoute(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.configure()
	desk := env.serve("desk", "i-1")
	ask := func(path, authorization string) int {
		req := env.request(http.MethodGet, path)
		req.Header.Set("Authorization", authorization)
		return env.do(req).status
	}
	is.Equal(ask("/look/", "Token key-1"), http.StatusOK)
	for _, tenants := range []any{[]any{map[string]any{"name": "guild", "api_keys": []any{}}}, []any{map[string]any{"name": "guild", "api_keys": []any{""}}}, []any{}} {
		env.config["tenants"] = tenants
		env.configure()
		for _, authorization := range []string{"Token key-1", "Token key-0", "Token ", ""} {
			is.Equal(ask("/look/", authorization), http.StatusUnauthorized)
		}
	}
	is.Equal(len(desk.Runs()), 1)
	is.Equal(ask("/open/", ""), http.StatusOK)
}
