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

// roleEnv makes the test's program run as one of the processes of the soak.
const roleEnv = "SOAK_ROLE"

// The roles, and what follows them on the command line.
const (
	roleEntry  = "entry"  // settings file
	roleStore  = "store"  // address, address of its control
	roleServer = "server" // address, address of its control, instance, events
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

// must ends the process of a role where it can't go on: the soak sees that it is gone.
func must(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func bind(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	must(err)
	return ln
}

// state is what the soak tells the store.
type state struct {
	Down    bool
	DelayMS int
	Lose    int // answers of appends to lose
	Topic   string
	Key     string // of the record to write, where there is one
	Value   string
}

func runStore(address, control string) {
	s := store.Serve(bind(address))
	must(http.Serve(bind(control), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var st state
		if err := json.NewDecoder(r.Body).Decode(&st); err != nil {
			return // the soak's own mistake shows as a record that is missing
		}
		if st.Key != "" {
			s.Put(st.Topic, st.Key, []byte(st.Value))
			return
		}
		s.SetOutage(st.Down)
		s.SetDelay(time.Duration(st.DelayMS) * time.Millisecond)
		s.LoseAnswers(st.Lose)
	})))
}

// ran is a line that a server writes before it answers.
type ran struct {
	Instance string
	ID       string
	Method   string
	URI      string
	Body     string
	Tenant   string
	Key      string // of the caller, which no server should see
}

// runServer serves until it is killed. It tells of each run on standard output first, so
// that none is lost with the process.
func runServer(address, control, instance, events string) {
	n, err := strconv.Atoi(events)
	must(err)
	s := server.New(bind(address), instance, n)
	var mu sync.Mutex
	enc := json.NewEncoder(os.Stdout)
	s.OnRun(func(r *server.Run) {
		mu.Lock()
		defer mu.Unlock()
		must(enc.Encode(ran{
			Instance: instance, ID: r.ID, Method: r.Method, URI: r.URI, Body: r.Body,
			Tenant: r.Header.Get("X-Tenant"), Key: r.Header.Get("Authorization"),
		}))
	})
	must(http.Serve(bind(control), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return // as above
		}
		var script []server.Script
		for _, c := range b {
			script = append(script, server.Script(c))
		}
		s.SetScripts(script...)
	})))
}
