package cli

import (
	"context"
	_ "embed" // for the objects of dev
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

// What dev sets up.
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
	devListLag     = 2 * time.Second
	devRetention   = 24 * time.Hour
	devReadyWait   = 10 * time.Second
)

//go:embed dev.yaml
var devObjects string

// devWorld is everything that dev runs in the process.
type devWorld struct {
	*world.World
	network *netio.Network
	entries []*server.Server
}

// Run runs everything until a signal.
func (o *DevOptions) Run(env *environment) error {
	w, err := startDev(netio.TCP(), o.Port, devEngineConfigs(), env.log)
	if err != nil {
		return err
	}
	defer w.Close()
	go w.announce(env)
	return serveUntilSignal(w.entries...)
}

func devEngineConfigs() []engine.Config {
	var out []engine.Config
	for i := range devEngines {
		out = append(out, engine.Default(fmt.Sprintf("engine-%d", i+1), devModel))
	}
	return out
}

func startDev(network *netio.Network, port int, engines []engine.Config, logger *log.Logger) (*devWorld, error) {
	standins, err := world.Start(world.SameHost(network), engines, devListLag)
	if err != nil {
		return nil, err
	}
	w := &devWorld{World: standins, network: network}
	for i := range devEntries {
		if err := w.startEntry(i, port+i, logger); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

func (w *devWorld) startEntry(i, port int, logger *log.Logger) error {
	var seeds []string
	for _, e := range w.entries {
		seeds = append(seeds, e.PeerAddr())
	}
	s, err := server.New(server.Config{
		Network:        w.network,
		VM:             fmt.Sprintf("entry-%d", i+1),
		FailureDomain:  devDomain,
		Listen:         fmt.Sprintf("%s:%d", devHost, port),
		PeerListen:     devHost + ":0",
		PeerKey:        devPeerKey,
		Seeds:          seeds,
		LogURL:         w.LogURL(),
		LogRetention:   devRetention,
		VMListURL:      w.VMListURL(),
		WeightStoreURL: w.WeightStoreURL(),
		OperatorToken:  devToken,
		MaxBodyBytes:   devMaxBody,
		Drain:          devDrain,
	}, logger)
	if err != nil {
		return fmt.Errorf("port %d can't be used (--port moves it): %w", port, err)
	}
	w.entries = append(w.entries, s)
	w.VMs.Put(vmlist.VM{Name: s.VM(), Address: s.PeerAddr(), FailureDomain: devDomain, State: vmlist.StateLive})
	return nil
}

// announce applies the objects and prints how to use what runs.
func (w *devWorld) announce(env *environment) {
	ctx, cancel := context.WithTimeout(context.Background(), devReadyWait)
	defer cancel()
	if err := w.apply(ctx); err != nil {
		env.log.Error("The objects of dev could not be applied.", "err", err)
		return
	}
	printDevHelp(env.stdout, w.entries[0].Addr(), w.entries[1].Addr())
}

func (w *devWorld) apply(ctx context.Context) error {
	vars := w.Vars()
	vars["GUILD_KEY"], vars["LOOMWIRE_KEY"] = resource.HashKey(devGuildKey), resource.HashKey(devLoomwireKey)
	objects, err := client.Decode([]byte(os.Expand(devObjects, func(name string) string { return vars[name] })))
	if err != nil {
		return err
	}
	c := client.New(w.network, "http://"+w.entries[0].Addr(), devToken)
	for _, o := range objects {
		if _, err := c.Put(ctx, o); err != nil {
			return err
		}
	}
	return w.awaitInForce(ctx)
}

// awaitInForce waits until both entries have the objects, have seen the engines and
// know each other and that the objects are in force.
func (w *devWorld) awaitInForce(ctx context.Context) error {
	for _, s := range w.entries {
		for {
			st := s.State()
			offset := w.entries[0].State().Config.Offset
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

// uuidCommand prints a UUIDv7 with what a shell has.
const uuidCommand = `printf '%012x' $(date +%s%3N) | sed 's/^\(.\{8\}\)\(.\{4\}\)$/\1-\2/'; printf -- '-7%03x-8%03x-%012x' $((RANDOM%4096)) $((RANDOM%4096)) $((RANDOM*RANDOM*RANDOM))`
