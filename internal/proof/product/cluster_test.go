package product_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/entry/server"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/network"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/vmlist"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/world"
)

// Size and settings of the cluster: one region with three failure domains.
const (
	entryCount         = 4
	engineCount        = 6
	engineMemoryTokens = 20_000
	prefillRate        = 5_000 // tokens per second
	vmListLag          = 2 * time.Second
	drain              = 20 * time.Second
	logRetention       = 24 * time.Hour
	settleTime         = 5 * time.Second
	callerKey          = "caller-key"
	otherKey           = "other-key"
	operatorToken      = "operator-token"
	modelName          = "model"
)

var domains = []string{"a", "b", "c"}

func domainOf(i int) string { return domains[i%len(domains)] }

// cluster is the whole product with stand-ins for the external systems, on an in-memory network
// in one synctest bubble.
type cluster struct {
	net   *network.Network
	world *world.World
	start time.Time
	cov   *coverage

	mu         sync.Mutex
	entries    [entryCount]*entry
	violations []string // broken guarantees
	trace      []string
	outages    []*outage
}

// entry is the current instance of an entry.
type entry struct {
	server   *server.Server
	instance int
	host     string
	served   chan struct{}
}

func newCluster(cov *coverage) *cluster {
	c := &cluster{net: network.New(), start: time.Now(), cov: cov}
	var cfgs []engine.Config
	for i := range engineCount {
		cfg := engine.Default(engineName(i), modelName)
		cfg.Memory, cfg.PrefillRate = engineMemoryTokens, prefillRate
		cfg.EventGap = 3
		cfg.ChecksFencing = i%2 == 0
		cfgs = append(cfgs, cfg)
	}
	w, err := world.Start(c.net.Host, cfgs, vmListLag)
	if err != nil {
		panic(err)
	}
	c.world = w
	for i := range entryCount {
		c.startEntry(i)
	}
	c.configure()
	time.Sleep(settleTime)
	return c
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func entryAddr(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

func peerAddr(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) }

// entryAt returns the current instance of an entry.
func (c *cluster) entryAt(i int) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// startEntry starts a new instance of an entry.
func (c *cluster) startEntry(i int) {
	e := &entry{instance: 1, served: make(chan struct{})}
	if old := c.entryAt(i); old != nil {
		e.instance = old.instance + 1
	}
	e.host = fmt.Sprintf("%s/%d", entryName(i), e.instance)
	var seeds []string
	for j := range entryCount {
		if j != i {
			seeds = append(seeds, peerAddr(j))
		}
	}
	s, err := server.New(server.Config{
		Network: c.net.Host(e.host), VM: entryName(i), FailureDomain: domainOf(i), Listen: entryAddr(i), PeerListen: peerAddr(i),
		PeerKey: "peer-key-1", Seeds: seeds, OperatorToken: operatorToken, LogURL: c.world.LogURL(),
		VMListURL: c.world.VMListURL(), WeightStoreURL: c.world.WeightStoreURL(), LogRetention: logRetention, MaxBodyBytes: 4 << 20, Drain: drain,
	}, log.NewWithOptions(&traceWriter{cluster: c, entry: e.host}, log.Options{Level: log.WarnLevel}))
	if err != nil {
		panic(err)
	}
	e.server = s
	go func() {
		defer close(e.served)
		_ = s.Serve() // ends at shutdown
	}()
	c.mu.Lock()
	c.entries[i] = e
	c.mu.Unlock()
	c.world.VMs.Put(vmlist.VM{Name: entryName(i), Address: peerAddr(i), FailureDomain: domainOf(i), State: vmlist.StateLive})
}

// kill simulates the loss of an instance's VM. Its goroutines run on without a network until the
// shutdown has ended them.
func (c *cluster) kill(i int) {
	e := c.entryAt(i)
	c.net.Kill(e.host)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = e.server.Shutdown(gone) }() // open requests are lost
}

// shutdown drains an instance and returns the error of its shutdown.
func (c *cluster) shutdown(i int) error {
	e := c.entryAt(i)
	err := e.server.Shutdown(context.Background())
	<-e.served
	return err
}

func (c *cluster) configure() {
	vars := c.world.Vars()
	specs := []string{
		`{"kind":"deployments","metadata":{"name":"assistant"},"spec":{"model":"` + modelName + `","version":"1","contextTokens":60000,"maxOutputTokens":200}}`,
		`{"kind":"services","metadata":{"name":"orderdesk"},"spec":{"timeout":5,"routes":[{"method":"POST","path":"/orders","repeatable":false}]}}`,
		`{"kind":"services","metadata":{"name":"registry"},"spec":{"timeout":5}}`,
		`{"kind":"workspaces","metadata":{"name":"caller"},"spec":{"patience":30,"weight":1,"keys":["` + resource.HashKey(callerKey) + `"],"limits":{}}}`,
		`{"kind":"workspaces","metadata":{"name":"other"},"spec":{"patience":30,"weight":1,"keys":["` + resource.HashKey(otherKey) + `"],"limits":{}}}`,
		`{"kind":"upstreams","metadata":{"name":"desk"},"spec":{"address":"` + vars["DESK"] + `","failureDomain":"a","service":"orderdesk"}}`,
		`{"kind":"upstreams","metadata":{"name":"registry"},"spec":{"address":"` + vars["REGISTRY"] + `","failureDomain":"a","service":"registry"}}`,
	}
	for i := range engineCount {
		specs = append(specs, fmt.Sprintf(
			`{"kind":"upstreams","metadata":{"name":%q},"spec":{"address":%q,"failureDomain":%q,"deployments":["assistant"],"memoryTokens":%d,"prefillRate":%d,"checksFencing":%t}}`,
			engineName(i), c.world.EngineAddr(i), domainOf(i), engineMemoryTokens, prefillRate, i%2 == 0,
		))
	}
	objects, err := client.Decode([]byte(strings.Join(specs, "\n---\n")))
	if err != nil {
		panic(err)
	}
	api := c.operator(0)
	for _, o := range objects {
		if _, err := api.Put(context.Background(), o); err != nil {
			panic(err)
		}
	}
}

func (c *cluster) operator(i int) *client.Client {
	return client.New(c.net.Host("operator"), "http://"+entryAddr(i), operatorToken)
}

// transport connects from the callers' host, with a new connection for each request.
func (c *cluster) transport() *http.Transport {
	host := c.net.Host("callers")
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return host.Dial(ctx, addr)
		},
	}
}

// close shuts everything down and waits until the idle timers of libraries have expired.
func (c *cluster) close() {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range entryCount {
		e := c.entryAt(i)
		_ = e.server.Shutdown(now) // the run is over
		<-e.served
	}
	c.world.Close()
	time.Sleep(5 * time.Minute)
}

func (c *cluster) tracef(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace = append(c.trace, fmt.Sprintf("%9.3fs  ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
}

// traceWriter appends an entry's log to the trace.
type traceWriter struct {
	cluster *cluster
	entry   string
}

// Write appends a log line to the trace.
func (l *traceWriter) Write(p []byte) (int, error) {
	l.cluster.tracef("    %s: %s", l.entry, strings.TrimSpace(string(p)))
	return len(p), nil
}

// reportViolation records a broken guarantee.
func (c *cluster) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.tracef("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, text)
}
