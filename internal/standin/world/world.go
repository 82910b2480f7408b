// Package world starts stand-ins of the services that entries use, on loopback:
// engines, an order desk, a registry and the platform.
package world

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/orderdesk"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/registry"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/store"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/vmlist"
	"github.com/dogwoodmill/dogwoodmill/internal/standin/weightstore"
)

const (
	host                 = "127.0.0.1"
	weightBytesPerSecond = 1e9         // bytes a second
	maxWeightWait        = time.Minute // longest wait for a read
)

// World holds the stand-ins and their addresses.
type World struct {
	Engines  []*engine.Engine
	Desk     *orderdesk.Desk
	Registry *registry.Registry
	Store    *store.Store
	VMs      *vmlist.List
	Weights  *weightstore.Store

	servers  []*http.Server
	engines  []string // addresses
	desk     string
	registry string
	store    string
	vms      string
	weights  string
}

// Hosts returns the network of a host. The hosts are the engines, by name, and "desk",
// "registry" and "platform".
type Hosts func(host string) *netio.Network

// SameHost returns Hosts that all share one network.
func SameHost(network *netio.Network) Hosts {
	return func(string) *netio.Network { return network }
}

// Start starts an engine for each configuration and the other stand-ins. The VM list
// shows changes after listLag.
func Start(hosts Hosts, engines []engine.Config, listLag time.Duration) (*World, error) {
	w := &World{
		Desk:     orderdesk.NewDesk(),
		Registry: registry.New(),
		Store:    store.New(),
		VMs:      vmlist.New(listLag),
		Weights:  weightstore.New(weightBytesPerSecond, maxWeightWait),
	}
	var errs []error
	serve := func(host string, srv *http.Server) string {
		addr, err := w.serve(hosts(host), srv)
		errs = append(errs, err)
		return addr
	}
	for _, cfg := range engines {
		e := engine.New(cfg)
		w.Engines = append(w.Engines, e)
		w.engines = append(w.engines, serve(cfg.Name, e.Server()))
	}
	w.desk = serve("desk", newServer(w.Desk.Handler()))
	w.registry = serve("registry", newServer(w.Registry.Handler()))
	w.store = serve("platform", newServer(w.Store.Handler()))
	w.vms = serve("platform", newServer(w.VMs.Handler()))
	w.weights = serve("platform", newServer(w.Weights.Handler()))
	if err := errors.Join(errs...); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// LogURL returns the URL of the platform's log store.
func (w *World) LogURL() string { return "http://" + w.store }

// VMListURL returns the URL of the VM list.
func (w *World) VMListURL() string { return "http://" + w.vms }

// WeightStoreURL returns the URL of the weight store.
func (w *World) WeightStoreURL() string { return "http://" + w.weights }

// EngineAddr returns the address (host:port) of the i-th engine.
func (w *World) EngineAddr(i int) string { return w.engines[i] }

// Vars returns the addresses under the names ENGINE_1, ENGINE_2, ..., DESK and REGISTRY.
func (w *World) Vars() map[string]string {
	vars := map[string]string{"DESK": w.desk, "REGISTRY": w.registry}
	for i, addr := range w.engines {
		vars[fmt.Sprintf("ENGINE_%d", i+1)] = addr
	}
	return vars
}

// Close stops all stand-ins.
func (w *World) Close() {
	for _, srv := range w.servers {
		_ = srv.Close() // no state needs to be saved
	}
	for _, e := range w.Engines {
		e.Close()
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
}

func (w *World) serve(network *netio.Network, srv *http.Server) (string, error) {
	ln, err := network.Listen(host + ":0")
	if err != nil {
		return "", err
	}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(ln) }() // returns when the server is closed
	return ln.Addr().String(), nil
}
