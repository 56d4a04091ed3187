package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/health"
	"primrosegw/core/order"
	"primrosegw/core/spec"
	"primrosegw/io/engine"
)

const (
	// loadInterval is how often a cell's owner reads the load reports of its
	// engines. With the lag of the reports a leaving engine gets nothing new
	// within 3 s.
	loadInterval = time.Second
	// stateEvery and eventsEvery are the load reports for each reading of what an
	// engine has loaded, and of its cache events.
	stateEvery  = 2
	eventsEvery = 3
)

// engines are the backend servers whose reports this host reads: those of the
// cells that it owns.
type engines struct {
	daemon *Daemon

	mutex   sync.Mutex
	readers map[string]context.CancelFunc
	// loaded is what each engine was last seen to have loaded. An engine without
	// an entry is taken to have what the document prefers.
	loaded map[string][]order.Loaded
	group  sync.WaitGroup
}

func newEngines(daemon *Daemon) *engines {
	return &engines{daemon: daemon, readers: make(map[string]context.CancelFunc), loaded: make(map[string][]order.Loaded)}
}

// follow starts and ends readers until the context ends, as documents and owners
// change.
func (engines *engines) follow(ctx context.Context) {
	for pause(ctx, loadInterval) {
		engines.update(ctx)
	}
	engines.group.Wait()
}

func (engines *engines) update(ctx context.Context) {
	wanted := make(map[string]bool)
	for name, plan := range engines.daemon.directory.current.Load().cells {
		if !engines.daemon.owns(name) {
			continue
		}
		for _, server := range plan.Servers {
			wanted[server.Name] = true
			engines.start(ctx, name, server)
		}
	}
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	for name, stop := range engines.readers {
		if !wanted[name] {
			stop()
			delete(engines.readers, name)
			delete(engines.loaded, name)
		}
	}
}

// start starts a reader of one engine unless there is one.
func (engines *engines) start(ctx context.Context, cell string, server spec.BackendServer) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	if _, found := engines.readers[server.Name]; found {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	engines.readers[server.Name] = stop
	reader := &reader{engines: engines, cell: cell, server: server, control: engine.NewControl(server.Address, engines.daemon.controls)}
	random := rand.New(rand.NewPCG(engines.daemon.random.Uint64(), 0))
	engines.group.Go(func() {
		reader.control.Poll(ctx, loadInterval, random, func(load health.Load, err error) { reader.read(ctx, load, err) })
	})
}

// keep notes what an engine has loaded, and reports whether that is news.
func (engines *engines) keep(server string, loaded []order.Loaded) bool {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	before, found := engines.loaded[server]
	engines.loaded[server] = loaded
	return !found || !slices.Equal(before, loaded)
}

// version returns the version of a pool that an engine gets traffic with: the
// first one in the document that it has loaded. It reports false for an engine
// that has none of them.
func (engines *engines) version(server string, pool spec.Pool) (string, bool) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	loaded, known := engines.loaded[server]
	if !known {
		return pool.Versions[0].Name, true
	}
	for _, version := range pool.Versions {
		if slices.Contains(loaded, order.Loaded{Model: pool.Model, Version: version.Name}) {
			return version.Name, true
		}
	}
	return "", false
}

// reader reads the reports of one engine. Its fields belong to the goroutine of
// its poll.
type reader struct {
	engines  *engines
	cell     string
	server   spec.BackendServer
	control  *engine.Control
	reports  int
	sequence uint64
}

// read takes one load report, and reads the other reports when they are due.
func (reader *reader) read(ctx context.Context, load health.Load, err error) {
	daemon := reader.engines.daemon
	if err != nil {
		// A cell sees by its own calls that an engine does not answer.
		return
	}
	open, found := daemon.cells.find(reader.cell)
	if found && reader.server.ReportsLoad {
		open.ReportLoad(reader.server.Name, load)
	}
	if reader.reports%stateEvery == 0 {
		reader.readState(ctx)
	}
	if found && reader.reports%eventsEvery == 0 {
		reader.readEvents(ctx, open)
	}
	reader.reports++
}

func (reader *reader) readState(ctx context.Context) {
	state, err := reader.control.State(ctx)
	if err == nil && reader.engines.keep(reader.server.Name, state.Loaded) {
		reader.engines.daemon.refresh()
	}
}

func (reader *reader) readEvents(ctx context.Context, open *cell.Cell) {
	events, err := reader.control.CacheEvents(ctx, reader.sequence)
	if err != nil {
		return
	}
	var stored, dropped []uint64
	for _, event := range events {
		reader.sequence = max(reader.sequence, event.Sequence)
		if event.Kind == "stored" {
			stored = append(stored, event.Hashes...)
		} else {
			dropped = append(dropped, event.Hashes...)
		}
	}
	open.ApplyCacheEvents(reader.server.Name, stored, dropped)
}
