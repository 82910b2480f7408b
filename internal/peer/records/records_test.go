package records_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/records"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

func TestAsk(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	want := []platform.Keyed{{Key: "a", Value: []byte{0, 255}, Offset: 3}, {Key: "b", Value: []byte("x"), Offset: 7}}
	s := records.Serve(ln, log.New(io.Discard), func(topic string) ([]platform.Keyed, platform.Position, bool) {
		return want, platform.Position{Epoch: 2, Offset: 8}, topic == "known"
	}, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	got, next, err := records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "known")
	is.NoErr(err)
	is.Equal(got, want)
	is.Equal(next, platform.Position{Epoch: 2, Offset: 8})
	_, _, err = records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "other")
	is.True(fault.Is(err, records.KindUnknown))
	s.Close()
	_, _, err = records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "known")
	is.True(fault.Is(err, records.KindUnreachable))
}

// An entry announces a new configuration to all others, which ask it at once: on a link of 20 Mbit/s
// the JSON of 1,200 routes for 64 entries took longer than the configuration may take to be in force.
func TestCompactAnswerIsSmall(t *testing.T) {
	is := is.New(t)
	var routes []string
	for i := range 1200 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%07x","host":"ficu95.example","path_prefix":"/p%05x/","kind":"streaming","timeout_ms":10000,"service":"huvo11a","max_attempts":2}`, i*7919, i*104729))
	}
	value := []byte("[" + strings.Join(routes, ",") + "]")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := records.Serve(ln, log.New(io.Discard), func(string) ([]platform.Keyed, platform.Position, bool) {
		return []platform.Keyed{{Key: "config", Value: value, Offset: 4}}, platform.Position{Epoch: platform.NoEpoch, Offset: 5}, true
	}, func(*fasthttp.RequestCtx) {})
	defer s.Close()
	read := func(accept string) []byte {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + ln.Addr().String() + "/records/any")
		req.Header.Set(fasthttp.HeaderAccept, accept)
		is.NoErr(fasthttp.Do(req, resp))
		return resp.Body()
	}
	compact, plain := read("application/x-protobuf+gzip"), read("") // entries of earlier versions send no Accept
	is.True(10*len(compact) < len(plain))
	is.True(json.Valid(plain))
	got, next, err := records.Ask(t.Context(), netio.TCP(), ln.Addr().String(), "any")
	is.NoErr(err)
	is.Equal(got, []platform.Keyed{{Key: "config", Value: value, Offset: 4}})
	is.Equal(next, platform.Position{Epoch: platform.NoEpoch, Offset: 5})
}
