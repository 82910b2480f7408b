package api_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/logservice"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/logcalls"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

var class = errs.Class("test")

// server is a handler with a store on an in-memory log, called without a network.
type server struct {
	is          *is.I
	log         *store.Store
	dropAppends bool // drops appends without an answer
	store       *config.Store
	handle      func(*fasthttp.RequestCtx)
}

func (s *server) append(ctx context.Context, rec []byte) (uint64, error) {
	if s.dropAppends {
		return 0, fault.New(&class, "append", logservice.KindUnknown, nil)
	}
	first, err := logcalls.Append(ctx, s.log, resource.Stream, [][]byte{rec})
	if err != nil {
		return 0, fault.New(&class, "append", logservice.KindUnavailable, err)
	}
	return first, nil
}

func (s *server) read(ctx context.Context, from uint64, wait time.Duration) ([]logservice.Record, logservice.Bounds, error) {
	return logcalls.Read(ctx, s.log, resource.Stream, from, wait)
}

// call calls the handler and decodes the answer into out.
func (s *server) call(method, path, body string, out any) int {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(api.Prefix + path)
	req.SetBodyString(body)
	var ctx fasthttp.RequestCtx
	ctx.Init(&req, nil, nil)
	s.handle(&ctx)
	if out != nil {
		s.is.NoErr(json.Unmarshal(ctx.Response.Body(), out))
	}
	return ctx.Response.StatusCode()
}

func (s *server) put(name, spec string, version uint64, id string) (int, api.ErrorBody, resource.Object) {
	body := fmt.Sprintf(`{"metadata":{"version":%d,"changeId":%q},"spec":%s}`, version, id, spec)
	var raw json.RawMessage
	status := s.call(http.MethodPut, "rules/"+name, body, &raw)
	var failed api.ErrorBody
	var o resource.Object
	s.is.NoErr(json.Unmarshal(raw, &failed))
	s.is.NoErr(json.Unmarshal(raw, &o))
	return status, failed, o
}

func withServer(t *testing.T, test func(is *is.I, s *server)) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{is: is.New(t), log: store.New()}
		s.store = config.NewStore(config.Seams{Read: s.read, Append: s.append}, config.Settings{}, log.New(io.Discard))
		defer s.store.Close()
		h := api.NewHandler(s.store, api.Seams{
			Authorized: func(string) bool { return true },
			InForce:    func(uint64) resource.InForce { return resource.InForce{Seen: 2, Of: 3} },
		}, log.New(io.Discard))
		defer h.Close()
		s.handle = h.Serve
		test(s.is, s)
	})
}

func TestApplyIsIdempotentByIDAndBySpec(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		status, _, first := s.put("r", `{"priority":1}`, 0, "id-1")
		is.Equal(status, http.StatusCreated)
		is.Equal(first.Status.InForce, resource.InForce{Seen: 2, Of: 3})
		is.Equal(first.Status.Conditions[0].Status, "false") // not applied by all entries yet

		status, _, o := s.put("r", `{"priority":1}`, 0, "id-1") // the caller retries after a lost answer
		is.True(status < 300)
		is.Equal(o.Metadata.Version, first.Metadata.Version)
		status, _, o = s.put("r", `{ "priority": 1 }`, 0, "id-2") // the same file is applied again
		is.Equal(status, http.StatusOK)
		is.Equal(o.Metadata, first.Metadata)

		status, failed, _ := s.put("r", `{"priority":2}`, 0, "id-1")
		is.Equal(status, http.StatusUnprocessableEntity)
		is.Equal(failed.Error.Field, "metadata.changeId")
		status, failed, _ = s.put("r", `{"priority":2}`, 0, "id-3")
		is.Equal(status, http.StatusConflict)
		is.Equal(failed.Error.Current, first.Metadata.Version)
	})
}

// An object that is read, edited and written back carries the id of its last change.
// Taken as the id of the new change it would be rejected as already used.
func TestReadEditWriteIsANewChange(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		status, _, first := s.put("r", `{"priority":1}`, 0, "id-1")
		is.Equal(status, http.StatusCreated)
		var read resource.Object
		is.Equal(s.call(http.MethodGet, "rules/r", "", &read), http.StatusOK)
		is.Equal(read.Metadata.ChangeID, "id-1")
		status, _, o := s.put("r", `{"priority":2}`, read.Metadata.Version, read.Metadata.ChangeID)
		is.Equal(status, http.StatusOK)
		is.True(o.Metadata.Version > first.Metadata.Version)
		is.True(o.Metadata.ChangeID != "" && o.Metadata.ChangeID != "id-1")
	})
}

func TestWrongMethodReportsAllowedMethods(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		var failed api.ErrorBody
		is.Equal(s.call(http.MethodPost, "rules/r", "", &failed), http.StatusMethodNotAllowed)
		is.Equal(failed.Error.Allowed, "GET, PUT, DELETE")
		is.Equal(s.call(http.MethodDelete, "rules", "", &failed), http.StatusMethodNotAllowed)
		is.Equal(failed.Error.Allowed, "GET")
	})
}

func TestUnknownOutcomeIsReportedAndSettled(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		s.dropAppends = true
		status, failed, _ := s.put("r", `{"priority":1}`, 0, "id-1")
		is.Equal(status, http.StatusGatewayTimeout)
		is.Equal(failed.Error.Code, "unknown")
		is.Equal(failed.Error.ChangeID, "id-1")
		is.Equal(s.call(http.MethodGet, "changes/id-1", "", nil), http.StatusNotFound)
		is.Equal(s.call(http.MethodPost, "changes/id-1/settle", "", nil), http.StatusGatewayTimeout) // the void is dropped as well
		s.dropAppends = false
		var c api.Change
		is.Equal(s.call(http.MethodPost, fmt.Sprintf("changes/id-1/settle?base=%d", failed.Error.Base), "", &c), http.StatusOK)
		is.Equal(c.Result, resource.ResultVoided)
		is.Equal(s.call(http.MethodGet, "changes/id-1", "", &c), http.StatusOK)
		is.Equal(c.Result, resource.ResultVoided)
		status, failed, _ = s.put("r", `{"priority":1}`, 0, "id-1")
		is.Equal(status, http.StatusConflict) // a change with the voided id is rejected
		is.Equal(failed.Error.Code, "voided")
		status, _, _ = s.put("r", `{"priority":1}`, 0, "id-2")
		is.Equal(status, http.StatusCreated)
	})
}

func TestChangeIsRefusedWhileTheLogIsDown(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		s.log.SetOutage(true)
		status, failed, _ := s.put("r", `{"priority":1}`, 0, "id-1")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(failed.Error.Code, "log_unavailable")
		s.log.SetOutage(false)
		time.Sleep(time.Minute)
		is.Equal(s.call(http.MethodGet, "rules/r", "", nil), http.StatusNotFound)
	})
}

func TestWatchBeforeHistoryReportsEarliestOffset(t *testing.T) {
	withServer(t, func(is *is.I, s *server) {
		s.log.SetRate(1e6)
		for i := range 5000 { // more than the entry retains
			_, err := s.append(context.Background(), fmt.Appendf(nil, `{"id":"c%d","op":"put","kind":"rules","name":"r%d","spec":{}}`, i, i%2))
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		var failed api.ErrorBody
		is.Equal(s.call(http.MethodGet, "rules?watch=true&from=1", "", &failed), http.StatusGone)
		is.Equal(failed.Error.Code, "offset_gone")
		is.True(failed.Error.Earliest > 1)
		var list api.List
		is.Equal(s.call(http.MethodGet, "rules", "", &list), http.StatusOK)
		is.True(list.Offset >= failed.Error.Earliest) // a watch can start from the list's offset
		_, _, kept := s.store.Since(list.Offset)
		is.True(kept)
	})
}
