// Package world runs stand-ins of everything around the entries on loopback:
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
	host       = "127.0.0.1"
	weightRate = 1e9 // bytes a second
	weightWait = time.Minute
)

// World is the stand-ins and their addresses.
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

// Hosts returns the network as a host sees it. The hosts are named like the
// engines, "desk", "registry" and "platform".
type Hosts func(host string) *netio.Network

// SameHost returns the hosts of a world that runs on one machine.
func SameHost(network *netio.Network) Hosts {
	return func(string) *netio.Network { return network }
}

// Start starts an engine for each configuration and the rest.
func Start(hosts Hosts, engines []engine.Config, listLag time.Duration) (*World, error) {
	w := &World{
		Desk:     orderdesk.NewDesk(),
		Registry: registry.New(),
		Store:    store.New(),
		VMs:      vmlist.New(listLag),
		Weights:  weightstore.New(weightRate, weightWait),
	}
	var errList []error
	serve := func(host string, srv *http.Server) string {
		addr, err := w.serve(hosts(host), srv)
		errList = append(errList, err)
		return addr
	}
	for _, cfg := range engines {
		e := engine.New(cfg)
		w.Engines = append(w.Engines, e)
		w.engines = append(w.engines, serve(cfg.Name, e.Server()))
	}
	w.desk = serve("desk", plain(w.Desk.Handler()))
	w.registry = serve("registry", plain(w.Registry.Handler()))
	w.store = serve("platform", plain(w.Store.Handler()))
	w.vms = serve("platform", plain(w.VMs.Handler()))
	w.weights = serve("platform", plain(w.Weights.Handler()))
	if err := errors.Join(errList...); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// LogURL returns the URL of the platform's store.
func (w *World) LogURL() string { return "http://" + w.store }

// VMListURL returns the URL of the VM list.
func (w *World) VMListURL() string { return "http://" + w.vms }

// WeightStoreURL returns the URL of the weight store.
func (w *World) WeightStoreURL() string { return "http://" + w.weights }

// EngineAddr returns host:port of an engine.
func (w *World) EngineAddr(i int) string { return w.engines[i] }

// Vars returns the addresses by the names ENGINE_1 …, DESK and REGISTRY.
func (w *World) Vars() map[string]string {
	vars := map[string]string{"DESK": w.desk, "REGISTRY": w.registry}
	for i, addr := range w.engines {
		vars[fmt.Sprintf("ENGINE_%d", i+1)] = addr
	}
	return vars
}

// Close ends everything.
func (w *World) Close() {
	for _, srv := range w.servers {
		_ = srv.Close() // nothing is kept
	}
	for _, e := range w.Engines {
		e.Close()
	}
}

func plain(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
}

func (w *World) serve(network *netio.Network, srv *http.Server) (string, error) {
	ln, err := network.Listen(host + ":0")
	if err != nil {
		return "", err
	}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(ln) }() // ends when the server is closed
	return ln.Addr().String(), nil
}
