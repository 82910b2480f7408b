package cli

import (
	"context"
	_ "embed" // for dev.yaml
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/entry/server"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/client"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/vmlist"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/world"
)

// Settings of dev.
const (
	devHost        = "127.0.0.1"
	devEntries     = 2
	devEngines     = 3
	devDomain      = "a"
	devModel       = "assistant-1"
	devPeerKey     = "peer-dev-key"
	devToken       = "operator-dev-token"
	devGuildKey    = "guild-dev-key"
	devLoomwireKey = "loomwire-dev-key"
	devMaxBody     = 32 << 20 // bytes
	devDrain       = 10 * time.Second
	devListLag     = 2 * time.Second // staleness of the VM list
	devRetention   = 24 * time.Hour
	devReadyWait   = 10 * time.Second // until the objects are in force
)

//go:embed dev.yaml
var devObjects string

// devCluster holds the entries that dev runs and the emulated platform, engines and
// services around them.
type devCluster struct {
	*world.World
	network *netio.Network
	entries []*server.Server
}

// Run runs the cluster until a signal.
func (o *DevOptions) Run(env *environment) error {
	c, err := startDev(netio.TCP(), o.Port, devEngineConfigs(), env.log)
	if err != nil {
		return err
	}
	defer c.Close()
	go c.announce(env)
	return serveUntilSignal(c.entries...)
}

func devEngineConfigs() []engine.Config {
	var out []engine.Config
	for i := range devEngines {
		out = append(out, engine.Default(fmt.Sprintf("engine-%d", i+1), devModel))
	}
	return out
}

// startDev starts the emulated platform, then the entries from the given port on.
func startDev(network *netio.Network, port int, engines []engine.Config, logger *log.Logger) (*devCluster, error) {
	emulated, err := world.Start(world.SameHost(network), engines, devListLag)
	if err != nil {
		return nil, err
	}
	c := &devCluster{World: emulated, network: network}
	for i := range devEntries {
		if err := c.startEntry(i, port+i, logger); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// startEntry starts an entry with the earlier ones as seeds and adds it to the VM list.
func (c *devCluster) startEntry(i, port int, logger *log.Logger) error {
	var seeds []string
	for _, e := range c.entries {
		seeds = append(seeds, e.PeerAddr())
	}
	s, err := server.New(server.Config{
		Network:        c.network,
		VM:             fmt.Sprintf("entry-%d", i+1),
		FailureDomain:  devDomain,
		Listen:         fmt.Sprintf("%s:%d", devHost, port),
		PeerListen:     devHost + ":0",
		PeerKey:        devPeerKey,
		Seeds:          seeds,
		LogURL:         c.LogURL(),
		LogRetention:   devRetention,
		VMListURL:      c.VMListURL(),
		WeightStoreURL: c.WeightStoreURL(),
		OperatorToken:  devToken,
		MaxBodyBytes:   devMaxBody,
		Drain:          devDrain,
	}, logger)
	if err != nil {
		return fmt.Errorf("port %d can't be used (--port moves it): %w", port, err)
	}
	c.entries = append(c.entries, s)
	c.VMs.Put(vmlist.VM{Name: s.VM(), Address: s.PeerAddr(), FailureDomain: devDomain, State: vmlist.StateLive})
	return nil
}

// announce applies the objects of dev.yaml and prints sample requests.
func (c *devCluster) announce(env *environment) {
	ctx, cancel := context.WithTimeout(context.Background(), devReadyWait)
	defer cancel()
	if err := c.apply(ctx); err != nil {
		env.log.Error("Failed to apply the development objects.", "err", err)
		return
	}
	printDevHelp(env.stdout, c.entries[0].Addr(), c.entries[1].Addr())
}

// apply applies the objects of dev.yaml and waits until they are in force.
func (c *devCluster) apply(ctx context.Context) error {
	vars := c.Vars()
	vars["GUILD_KEY"], vars["LOOMWIRE_KEY"] = resource.HashKey(devGuildKey), resource.HashKey(devLoomwireKey)
	objects, err := client.Decode([]byte(os.Expand(devObjects, func(name string) string { return vars[name] })))
	if err != nil {
		return err
	}
	operator := client.New(c.network, "http://"+c.entries[0].Addr(), devToken)
	for _, o := range objects {
		if _, err := operator.Put(ctx, o); err != nil {
			return err
		}
	}
	return c.awaitInForce(ctx)
}

// awaitInForce waits until each entry has the objects and reports from all engines, and has
// learned that the objects are in force on all entries.
func (c *devCluster) awaitInForce(ctx context.Context) error {
	for _, s := range c.entries {
		for {
			st := s.State()
			offset := c.entries[0].State().Config.Offset
			if st.Config.Offset >= offset && len(st.Engines) == devEngines && s.InForce(offset) == devEntries {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func printDevHelp(out io.Writer, first, second string) {
	_, _ = fmt.Fprintf(out, `dogwoodmill dev is ready: entries at http://%[1]s and http://%[2]s

Ask for a streamed answer:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Which motifs suit a lion seal?"}]}'

Look up a motif, and place an order that runs at most once:
  curl http://%[1]s/v1/services/registry/motifs/lion -H 'Authorization: Bearer %[3]s'
  curl http://%[2]s/v1/services/orderdesk/orders -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: '$(%[5]s) -d '{"die":"lion","size":"30mm"}'

Look as an operator:
  curl http://%[1]s/apis/dogwoodmill/v1/upstreams -H 'Authorization: Bearer %[4]s'
  curl http://%[2]s/debug/state -H 'Authorization: Bearer %[4]s'

Ctrl-C ends it.
`, first, second, devGuildKey, devToken, uuidCommand)
}

// uuidCommand prints a UUIDv7 with common shell tools only.
const uuidCommand = `printf '%012x' $(date +%s%3N) | sed 's/^\(.\{8\}\)\(.\{4\}\)$/\1-\2/'; printf -- '-7%03x-8%03x-%012x' $((RANDOM%4096)) $((RANDOM%4096)) $((RANDOM*RANDOM*RANDOM))`
