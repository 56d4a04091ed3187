// Package demo runs a whole environment in one process on loopback: entry
// hosts, model engines and stand-ins of the platform. The demo command and the
// tests of the whole path use it.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/spec"
	"primrosegw/io/config"
	"primrosegw/io/daemon"
	"primrosegw/io/etcd"
	"primrosegw/io/keys"
	"primrosegw/standin/engine"
	"primrosegw/standin/framing"
	"primrosegw/standin/hosts"
	"primrosegw/standin/kv"
	"primrosegw/standin/plain"
)

// Kind is the sort of a demo error.
type Kind string

// The kinds of demo errors.
const (
	// Unstarted: a part of the environment did not start.
	Unstarted Kind = "unstarted"
	// Unready: the hosts were not ready in time.
	Unready Kind = "unready"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// loopback is the only address that the demo listens on.
	loopback = "127.0.0.1:0"
	// readyTimeout is far above the bound of 7 s for a document to be in force.
	readyTimeout = 30 * time.Second
	readyPoll    = 20 * time.Millisecond
	// CallerKey is the bearer key of the demo's workspaces, by workspace name.
	CallerKey = "demo-key-"
	// OperatorKey is the bearer key of the demo's operator.
	OperatorKey = "demo-operator-key"
)

// Options size an environment.
type Options struct {
	// Hosts is the number of entry hosts.
	Hosts int
	// FailureDomains are spread over hosts and engines in turn.
	FailureDomains []string
	// Engines is the number of engines for each pool.
	Engines map[string]int
	Slots   int
	// Engine sets the speed and the flaws of all engines.
	Engine engine.Options
	// DrainMs is the drain time of the hosts.
	DrainMs int
	// Log receives the hosts' log lines; nil: nothing is written.
	Log   io.Writer
	Level logrus.Level
	// Subsystems write their debug events whatever the level is.
	Subsystems []string
	// Keys gives a host its TLS material; nil: the world's own authority does.
	Keys func(host string) (*keys.Keys, error)
	// Authority signs the hosts' certificates toward callers, in PEM form; nil:
	// callers and operators are served without TLS.
	Authority []byte
	// Packets replaces the UDP socket of a host's links; nil: the socket itself.
	Packets func(host string, socket net.PacketConn) net.PacketConn
	Seed    uint64
}

// World is a running environment.
type World struct {
	Options  Options
	Document spec.Document
	KV       *kv.Service
	HostList *hosts.List
	Archive  *plain.Service
	// Models are the engines by name.
	Models  map[string]*engine.Model
	Nodes   []*Node
	KVURL   string
	ListURL string

	authority *keys.Authority
	servers   []*http.Server
	group     sync.WaitGroup
}

// Node is one entry host of the environment.
type Node struct {
	Daemon *daemon.Daemon
	// TLS says that callers and operators are served with TLS.
	TLS   bool
	Drain chan struct{}
	Abort chan struct{}
	// Done is closed after the host has left; Err is valid from then on.
	Done chan struct{}
	Err  error
}

// New starts an environment with its document in force.
func New(ctx context.Context, options Options) (*World, error) {
	world := &World{Options: options, Models: make(map[string]*engine.Model)}
	err := world.start()
	if err == nil {
		err = world.promote(ctx)
	}
	if err == nil {
		err = world.ready(ctx)
	}
	if err != nil {
		world.Close()
		return nil, err
	}
	return world, nil
}

func (world *World) start() error {
	var err error
	world.authority, err = keys.NewAuthority("primrosegw demo")
	if err != nil {
		return err
	}
	world.KV = kv.New(kv.Options{})
	if world.KVURL, err = world.listen(world.KV.Handler()); err != nil {
		return err
	}
	world.HostList = hosts.New(hosts.Options{})
	listURL, err := world.listen(world.HostList.Handler())
	if err != nil {
		return err
	}
	world.ListURL = listURL + "/hosts"
	// Hosts take an answer that only its connection ends for broken, as the document does not trust
	// the service to end them so.
	world.Archive = plain.New(plain.Options{Framing: framing.Shares{Length: 1, Chunks: 1}, Seed: world.Options.Seed})
	archive, err := world.listen(world.Archive.Handler())
	if err != nil {
		return err
	}
	world.Document = world.document(archive)
	if err := world.startEngines(); err != nil {
		return err
	}
	for index := range world.Options.Hosts {
		if _, err := world.AddHost(index); err != nil {
			return err
		}
	}
	return nil
}

// listen serves a stand-in on a port of its own and returns its address.
func (world *World) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fault.Wrap("demo.listen", Unstarted, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	world.servers = append(world.servers, server)
	world.group.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), nil
}

func (world *World) startEngines() error {
	for _, pool := range world.Document.Pools {
		for index := range world.Options.Engines[pool.Name] {
			options := world.Options.Engine
			options.Name = fmt.Sprintf("%s-%d", pool.Name, index)
			options.Model = pool.Model
			options.Version = pool.Versions[0].Name
			options.Slots = world.Options.Slots
			options.Payloads = true
			options.Seed = world.Options.Seed + uint64(index)
			model := engine.New(options)
			address, err := world.listen(model.Handler())
			if err != nil {
				return err
			}
			world.Models[options.Name] = model
			world.Document.BackendServers = append(world.Document.BackendServers, spec.BackendServer{
				Name: options.Name, Address: address, FailureDomain: world.domain(index), Pool: pool.Name,
				Slots: options.Slots, ChecksFence: options.ChecksFence, ReportsLoad: true,
			})
		}
	}
	return nil
}

func (world *World) domain(index int) string {
	return world.Options.FailureDomains[index%len(world.Options.FailureDomains)]
}

// Material issues TLS material for a host name.
func (world *World) Material(name string) (*keys.Keys, error) {
	pair, err := world.authority.Issue(name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return nil, err
	}
	return keys.Of(world.authority.PEM(), pair)
}

// AddHost starts one more entry host.
func (world *World) AddHost(index int) (*Node, error) {
	name := fmt.Sprintf("host-%d", index)
	issue := world.Options.Keys
	if issue == nil {
		issue = world.Material
	}
	material, err := issue(name)
	if err != nil {
		return nil, err
	}
	log := world.Options.Log
	if log == nil {
		log = io.Discard
	}
	service, err := etcd.New(etcd.Options{Endpoints: []string{world.KVURL}, CallsPerSecond: config.DefaultCallsPerSecond})
	if err != nil {
		return nil, fault.Wrap("demo.add_host", Unstarted, err)
	}
	host, err := daemon.New(daemon.Options{
		Settings: world.settings(name, index), Keys: material, Store: service,
		Logger:  event.New(log, name, world.Options.Level, world.Options.Subsystems),
		Random:  rand.New(rand.NewPCG(world.Options.Seed, uint64(index))),
		Packets: world.packets(name),
	})
	if err != nil {
		return nil, err
	}
	node := &Node{Daemon: host, TLS: material.Entry(), Drain: make(chan struct{}), Abort: make(chan struct{}), Done: make(chan struct{})}
	world.Nodes = append(world.Nodes, node)
	world.group.Go(func() {
		node.Err = host.Run(context.Background(), daemon.Signals{Drain: node.Drain, Abort: node.Abort})
		close(node.Done)
	})
	return node, nil
}

// packets returns what replaces the socket of a host, nil if nothing does.
func (world *World) packets(name string) func(net.PacketConn) net.PacketConn {
	if world.Options.Packets == nil {
		return nil
	}
	return func(socket net.PacketConn) net.PacketConn { return world.Options.Packets(name, socket) }
}

func (world *World) settings(name string, index int) config.Settings {
	settings := config.Settings{
		Environment: world.Document.Environment,
		Host: config.Host{
			Name: name, Region: world.Document.Regions[0].Name, FailureDomain: world.domain(index),
			LinkAddress: loopback, EntryAddress: loopback, AdminAddress: loopback,
		},
		KeyValue:  config.KeyValue{Endpoints: []string{world.KVURL}},
		HostList:  config.HostList{URL: world.ListURL},
		Limits:    config.Limits{DrainMs: world.Options.DrainMs},
		Operators: []spec.Operator{{Name: "demo", Keys: []spec.Key{{Name: "demo", SHA256: hash(OperatorKey)}}}},
	}
	for _, node := range world.Nodes {
		known := node.Daemon.Host()
		settings.Seeds = append(settings.Seeds, config.Host{
			Name: known.Name, Region: known.Region, FailureDomain: known.FailureDomain,
			LinkAddress: known.LinkAddress, EntryAddress: known.EntryAddress,
		})
	}
	return settings.Filled()
}

// ready waits until every host has the document and sees all the others.
func (world *World) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range world.Nodes {
		for !node.Daemon.Ready() || len(node.Daemon.Alive()) < len(world.Nodes) {
			select {
			case <-ctx.Done():
				return fault.New("demo.ready", Unready, node.Daemon.Host().Name+" is not ready")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// URL returns the callers' address of a host.
func (node *Node) URL() string { return node.scheme() + node.Daemon.Host().EntryAddress }

// AdminURL returns the operators' address of a host.
func (node *Node) AdminURL() string { return node.scheme() + node.Daemon.AdminAddress() }

func (node *Node) scheme() string {
	if node.TLS {
		return "https://"
	}
	return "http://"
}

// Close ends all hosts and stand-ins at once.
func (world *World) Close() {
	for _, node := range world.Nodes {
		select {
		case <-node.Abort:
		default:
			close(node.Abort)
		}
	}
	for _, node := range world.Nodes {
		<-node.Done
	}
	for _, server := range world.servers {
		_ = server.Close()
	}
	world.group.Wait()
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
