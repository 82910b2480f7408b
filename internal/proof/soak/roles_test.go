package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/dogwoodmill/dogwoodmill/internal/command/cli"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/server"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
)

// roleEnv names the role that the test binary takes when the soak starts it as a child process.
const roleEnv = "SOAK_ROLE"

// The roles and their command-line arguments.
const (
	roleEntry  = "entry"  // settings file
	roleStore  = "store"  // address, control address
	roleServer = "server" // address, control address, instance, number of events
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case roleEntry:
		os.Exit(cli.Main([]string{"gateway", "--boot", os.Args[1]}, os.Stdout, os.Stderr))
	case roleStore:
		runStore(os.Args[1], os.Args[2])
	case roleServer:
		runServer(os.Args[1], os.Args[2], os.Args[3], os.Args[4])
	default:
		goleak.VerifyTestMain(m)
	}
}

// exitOnError ends a role's process on an error; the soak notices that the process is gone.
func exitOnError(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func listen(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	exitOnError(err)
	return ln
}

// storeCommand is a command of the soak to the store: write a record where Key is set, copy it where
// Copy is set, else set the faults, after restoring the last copy where Restore is set.
type storeCommand struct {
	Copy    bool
	Restore bool
	Down    bool
	DelayMS int
	Lose    int // append responses to drop
	Topic   string
	Key     string // of the record to write
	Value   string
}

func runStore(address, control string) {
	s := store.Serve(listen(address))
	saved := s.Copy()
	exitOnError(http.Serve(listen(control), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var st storeCommand
		if err := json.NewDecoder(r.Body).Decode(&st); err != nil {
			return // a malformed command shows up as a missing record
		}
		if st.Key != "" {
			s.Put(st.Topic, st.Key, []byte(st.Value))
			return
		}
		if st.Copy {
			saved = s.Copy()
			return
		}
		if st.Restore {
			s.Restore(saved)
		}
		s.SetOutage(st.Down)
		s.SetDelay(time.Duration(st.DelayMS) * time.Millisecond)
		s.LoseAnswers(st.Lose)
	})))
}

// execution is the line that a server writes for a request before it responds.
type execution struct {
	Instance string
	ID       string
	Method   string
	URI      string
	Body     string
	Tenant   string
	Key      string // the caller's credentials, which must not reach a server
}

// gatedListener accepts no connections until it is opened.
type gatedListener struct {
	net.Listener

	opened chan struct{}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// runServer serves until it is killed. It writes each execution to standard output before it
// responds, so that none is lost when the process is killed.
func runServer(address, control, instance, events string) {
	n, err := strconv.Atoi(events)
	exitOnError(err)
	ln := gatedListener{listen(address), make(chan struct{})}
	s := server.New(ln, instance, n)
	var mu sync.Mutex
	enc := json.NewEncoder(os.Stdout)
	s.OnRun(func(r *server.Run) {
		mu.Lock()
		defer mu.Unlock()
		exitOnError(enc.Encode(execution{
			Instance: instance, ID: r.ID, Method: r.Method, URI: r.URI, Body: r.Body,
			Tenant: r.Header.Get("X-Tenant"), Key: r.Header.Get("Authorization"),
		}))
	})
	close(ln.opened) // an execution before this would not be written
	exitOnError(http.Serve(listen(control), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request was cut off: the script stays as it was
		}
		var script []server.Script
		for _, c := range b {
			script = append(script, server.Script(c))
		}
		s.SetScripts(script...)
	})))
}
