// Package daemon assembles an entry host from its parts.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/ledger"
	"primrosegw/core/limit"
	"primrosegw/core/member"
	"primrosegw/core/poison"
	"primrosegw/core/route"
	"primrosegw/core/spec"
	"primrosegw/core/spread"
	"primrosegw/core/store"
	"primrosegw/io/config"
	"primrosegw/io/engine"
	"primrosegw/io/entry"
	"primrosegw/io/keys"
	"primrosegw/io/link"
	"primrosegw/io/meter"
	"primrosegw/io/plain"
	"primrosegw/io/socket"
)

// Kind is the sort of a daemon error.
type Kind string

// The kinds of daemon errors.
const (
	// Unbound: an address could not be listened on.
	Unbound Kind = "unbound"
	// Aborted: the host was ended with requests in flight.
	Aborted Kind = "aborted"
	// Unusable: a document in force elsewhere did not pass the checks here.
	Unusable Kind = "unusable"
	// Unlisted: the platform's list of hosts could not be read.
	Unlisted Kind = "unlisted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// idleTimeout is how long a caller's connection is kept between requests. It is
// above the default time to live of entry addresses, so that callers at work
// keep their connections.
const idleTimeout = time.Minute

// Options are the dependencies of a Daemon.
type Options struct {
	Settings config.Settings
	Keys     *keys.Keys
	Logger   *event.Logger
	// Store is the platform's key-value service.
	Store store.Store
	// Random is the source of random choices, seeded by the caller.
	Random *rand.Rand
	// Packets replaces the UDP socket of the links, as to lose packets in
	// tests; nil: the socket itself.
	Packets func(net.PacketConn) net.PacketConn
}

// Daemon is one entry host.
type Daemon struct {
	settings  config.Settings
	keys      *keys.Keys
	logger    *event.Logger
	meter     *meter.Meter
	self      host.Host
	directory directory
	cells     *cells
	loads     *loads
	affinity  *affinity
	// engines is the client for calls of engines, and controls that for their reports and orders.
	engines  *http.Client
	controls *http.Client
	store    store.Store
	random   *lockedRandom

	chooser *route.Router
	limiter *limit.Limiter

	// built is closed when all parts are made.
	built    chan struct{}
	link     *link.Link
	members  *member.Member
	ledger   *once
	services *plain.Service
	heads    *heads.Client
	recent   recent
	suspects *poison.Registry
	crashes  *poison.CrashDetector
	reports  *engines
	// forwards counts the requests that other hosts sent here.
	forwards sync.WaitGroup
	spread   *spread.Distributor
	watcher  *spread.Watcher

	entryListener net.Listener
	adminListener net.Listener
}

// New returns a host that listens on its addresses; Run serves them. It fails
// with Unbound.
func New(options Options) (*Daemon, error) {
	settings := options.Settings
	daemon := &Daemon{
		settings: settings,
		keys:     options.Keys,
		logger:   options.Logger,
		meter:    meter.New(),
		self:     describe(settings.Host),
		loads:    newLoads(),
		affinity: newAffinity(),
		built:    make(chan struct{}),
		engines:  engine.NewClient(),
		controls: engine.NewControlClient(),
		store:    options.Store,
		random:   &lockedRandom{random: options.Random},
		chooser:  route.New(route.Options{}),
		limiter:  limit.New(limit.Options{}),
		suspects: poison.New(poison.Options{}),
	}
	daemon.cells = newCells(daemon.buildCell)
	daemon.crashes = poison.NewCrashDetector(poison.DetectorOptions{Logger: options.Logger, OnQuarantine: daemon.reviewCells})
	daemon.reports = newEngines(daemon)
	daemon.directory.current.Store(newView(0, spec.Document{}))
	if err := daemon.listen(options.Packets); err != nil {
		daemon.close()
		return nil, err
	}
	if err := daemon.build(); err != nil {
		daemon.close()
		return nil, fault.Wrap("daemon.new", Unbound, err)
	}
	close(daemon.built)
	return daemon, nil
}

// build makes the parts that need this host's addresses.
func (daemon *Daemon) build() error {
	var err error
	if daemon.members, err = member.New(daemon.memberOptions()); err != nil {
		return err
	}
	local, err := ledger.New(ledger.Options{
		Store: daemon.store, Environment: daemon.settings.Environment, Logger: daemon.logger,
	})
	if err != nil {
		return err
	}
	daemon.ledger = &once{daemon: daemon, local: local}
	daemon.heads, err = heads.New(heads.Options{
		Store: daemon.store, Environment: daemon.settings.Environment, Log: daemon.logger,
		Random: rand.New(daemon.random),
	})
	if err != nil {
		return err
	}
	daemon.services = plain.New(plain.Options{Random: rand.New(daemon.random)})
	return daemon.buildSpread()
}

func describe(settings config.Host) host.Host {
	return host.Host{
		Name: settings.Name, Region: settings.Region, FailureDomain: settings.FailureDomain,
		LinkAddress: settings.LinkAddress, EntryAddress: settings.EntryAddress, State: host.Alive,
	}
}

// listen opens all addresses. Ports given as 0 are chosen by the system, and
// the host tells others the chosen ones.
func (daemon *Daemon) listen(packets func(net.PacketConn) net.PacketConn) error {
	const op = "daemon.listen"
	var err error
	daemon.entryListener, err = socket.Accepted().Listen(context.Background(), "tcp", daemon.self.EntryAddress, nil)
	if err != nil {
		return &Error{Op: op, Kind: Unbound, Field: "host.entry_address", Err: err}
	}
	daemon.self.EntryAddress = daemon.entryListener.Addr().String()
	if address := daemon.settings.Host.AdminAddress; address != "" {
		daemon.adminListener, err = socket.Accepted().Listen(context.Background(), "tcp", address, nil)
		if err != nil {
			return &Error{Op: op, Kind: Unbound, Field: "host.admin_address", Err: err}
		}
	}
	daemon.link, err = link.New(link.Options{
		Address: daemon.self.LinkAddress, TLS: daemon.keys.LinkConfig(), Handlers: daemon.handlers(),
		Packets: packets,
	})
	if err != nil {
		return &Error{Op: op, Kind: Unbound, Field: "host.link_address", Err: err}
	}
	daemon.self.LinkAddress = daemon.link.Address()
	return nil
}

func (daemon *Daemon) close() {
	if daemon.entryListener != nil {
		_ = daemon.entryListener.Close()
	}
	if daemon.adminListener != nil {
		_ = daemon.adminListener.Close()
	}
	if daemon.link != nil {
		daemon.link.Close()
	}
	if daemon.ledger != nil {
		daemon.ledger.local.Close()
	}
	daemon.meter.Close()
}

// Host returns this host with the addresses it listens on.
func (daemon *Daemon) Host() host.Host { return daemon.self }

// Ready reports whether a document is in force and the host takes work.
func (daemon *Daemon) Ready() bool { return daemon.directory.Ready() }

// Alive returns the hosts that this host sees alive.
func (daemon *Daemon) Alive() []host.Host { return daemon.members.Alive() }

// AdminAddress returns the operators' address, empty if there is none.
func (daemon *Daemon) AdminAddress() string {
	if daemon.adminListener == nil {
		return ""
	}
	return daemon.adminListener.Addr().String()
}

// Signals steer a running host.
type Signals struct {
	// Drain makes the host leave after its requests have ended.
	Drain <-chan struct{}
	// Abort makes it leave at once.
	Abort <-chan struct{}
}

// Run serves until the host has drained, the context ends or an address fails.
// It fails with Aborted when requests were cut off.
func (daemon *Daemon) Run(ctx context.Context, signals Signals) error {
	background, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, loop := range daemon.loops() {
		group.Go(func() { loop(background) })
	}
	endpoints := daemon.endpoints()
	failed := make(chan error, len(endpoints))
	for _, endpoint := range endpoints {
		group.Go(func() { failed <- daemon.serve(endpoint.server, endpoint.listener) })
	}
	daemon.directory.taking.Store(true)
	daemon.logger.Log(event.HostStarted(), logrus.Fields{
		"entry_address": daemon.self.EntryAddress, "link_address": daemon.self.LinkAddress,
		"admin_address": daemon.AdminAddress(), "failure_domain": daemon.self.FailureDomain,
	})
	err := daemon.wait(ctx, signals, endpoints, failed)
	stop()
	daemon.close()
	group.Wait()
	daemon.logger.Log(event.HostStopped(), logrus.Fields{})
	return err
}

func (daemon *Daemon) serve(server *http.Server, listener net.Listener) error {
	var err error
	if daemon.keys.Entry() {
		server.TLSConfig = daemon.keys.EntryConfig()
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fault.Wrap("daemon.serve", Unbound, err)
}

// wait blocks until the host is told to leave, then lets its requests end.
func (daemon *Daemon) wait(ctx context.Context, signals Signals, endpoints []endpoint, failed <-chan error) error {
	select {
	case err := <-failed:
		shut(endpoints)
		return err
	case <-ctx.Done():
		return daemon.abort(endpoints)
	case <-signals.Abort:
		return daemon.abort(endpoints)
	case <-signals.Drain:
		return daemon.drain(ctx, signals, endpoints)
	}
}

func (daemon *Daemon) entryServer() *http.Server {
	limits := daemon.settings.Limits
	callers := entry.New(entry.Options{
		Router:    daemon,
		Directory: &daemon.directory,
		Hosts:     daemon,
		Limiter:   daemon.limiter,
		Ledger:    daemon.ledger,
		Services:  daemon.services,
		Logger:    daemon.logger,
		Meter:     daemon.meter,
		Limits: entry.Limits{
			BodyBytes:     limits.BodyBytes,
			HeaderBytes:   limits.HeaderBytes,
			HeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
			BodyTimeout:   time.Duration(limits.BodyTimeoutMs) * time.Millisecond,
			WriteTimeout:  time.Duration(limits.WriteTimeoutMs) * time.Millisecond,
			IdleTimeout:   idleTimeout,
		},
	})
	return callers.Server()
}
