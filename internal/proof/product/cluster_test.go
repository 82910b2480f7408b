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

// What the cluster is made of: one region with three failure domains.
const (
	entries       = 4
	engines       = 6
	engineMemory  = 20_000 // tokens
	prefillRate   = 5_000  // tokens a second
	listLag       = 2 * time.Second
	drain         = 20 * time.Second
	logRetention  = 24 * time.Hour
	settle        = 5 * time.Second
	callerKey     = "caller-key"
	otherKey      = "other-key"
	operatorToken = "operator-token"
	modelName     = "model"
)

var domains = []string{"a", "b", "c"}

func domainOf(i int) string { return domains[i%len(domains)] }

// cluster is the product with stand-ins of everything around it, on an in-memory
// network in one bubble of virtual time.
type cluster struct {
	net     *network.Network
	world   *world.World
	start   time.Time
	covered *coverage

	mu      sync.Mutex
	entries [entries]*entry
	failed  []string // promises that were broken
	trace   []string
	outages []*outage
}

// entry is the instance that has an entry's place now.
type entry struct {
	server   *server.Server
	instance int
	host     string
	served   chan struct{}
}

func newCluster(covered *coverage) *cluster {
	c := &cluster{net: network.New(), start: time.Now(), covered: covered}
	var cfgs []engine.Config
	for i := range engines {
		cfg := engine.Default(engineName(i), modelName)
		cfg.Memory, cfg.PrefillRate = engineMemory, prefillRate
		cfg.EventGap = 3
		cfg.ChecksFencing = i%2 == 0
		cfgs = append(cfgs, cfg)
	}
	w, err := world.Start(c.net.Host, cfgs, listLag)
	if err != nil {
		panic(err)
	}
	c.world = w
	for i := range entries {
		c.boot(i)
	}
	c.configure()
	time.Sleep(settle)
	return c
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func entryAddr(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

func peerAddr(i int) string { return fmt.Sprintf("10.0.0.%d:81", i+1) }

// at returns the instance that has an entry's place now.
func (c *cluster) at(i int) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// boot starts a new instance of an entry.
func (c *cluster) boot(i int) {
	e := &entry{instance: 1, served: make(chan struct{})}
	if old := c.at(i); old != nil {
		e.instance = old.instance + 1
	}
	e.host = fmt.Sprintf("%s/%d", entryName(i), e.instance)
	var seeds []string
	for j := range entries {
		if j != i {
			seeds = append(seeds, peerAddr(j))
		}
	}
	s, err := server.New(server.Config{
		Network: c.net.Host(e.host), VM: entryName(i), FailureDomain: domainOf(i), Listen: entryAddr(i), PeerListen: peerAddr(i),
		PeerKey: "peer-key-1", Seeds: seeds, OperatorToken: operatorToken, LogURL: c.world.LogURL(),
		VMListURL: c.world.VMListURL(), WeightStoreURL: c.world.WeightStoreURL(), LogRetention: logRetention, MaxBodyBytes: 4 << 20, Drain: drain,
	}, log.NewWithOptions(&lines{cluster: c, entry: e.host}, log.Options{Level: log.WarnLevel}))
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

// kill ends an instance as a lost VM would. Its goroutines run on without a
// network until they have wound down.
func (c *cluster) kill(i int) {
	e := c.at(i)
	c.net.Kill(e.host)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	go func() { _ = e.server.Shutdown(gone) }() // its work is lost
}

// shutdown drains an instance and reports what was left.
func (c *cluster) shutdown(i int) error {
	e := c.at(i)
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
	for i := range engines {
		specs = append(specs, fmt.Sprintf(
			`{"kind":"upstreams","metadata":{"name":%q},"spec":{"address":%q,"failureDomain":%q,"deployments":["assistant"],"memoryTokens":%d,"prefillRate":%d,"checksFencing":%t}}`,
			engineName(i), c.world.EngineAddr(i), domainOf(i), engineMemory, prefillRate, i%2 == 0,
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

// transport connects the callers' host. Each request has a connection of its own.
func (c *cluster) transport() *http.Transport {
	host := c.net.Host("callers")
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return host.Dial(ctx, addr)
		},
	}
}

// close ends everything and lets idle timers of libraries run out.
func (c *cluster) close() {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range entries {
		e := c.at(i)
		_ = e.server.Shutdown(now) // the run is over
		<-e.served
	}
	c.world.Close()
	time.Sleep(5 * time.Minute)
}

func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace = append(c.trace, fmt.Sprintf("%9.3fs  ", time.Since(c.start).Seconds())+fmt.Sprintf(format, args...))
}

// lines writes an entry's log into the trace.
type lines struct {
	cluster *cluster
	entry   string
}

// Write notes a line.
func (l *lines) Write(p []byte) (int, error) {
	l.cluster.note("    %s: %s", l.entry, strings.TrimSpace(string(p)))
	return len(p), nil
}

// broken notes a broken promise.
func (c *cluster) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.note("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, text)
}
