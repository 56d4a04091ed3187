package daemon

import (
	"context"
	"math/rand/v2"
	"strings"

	"primrosegw/core/cell"
	"primrosegw/core/host"
	"primrosegw/core/route"
	"primrosegw/core/spec"
	"primrosegw/io/engine"
	"primrosegw/io/link"
)

// handlers serve the messages of other hosts. They wait until all parts of this
// host are made, as the link listens before that to learn its address.
func (daemon *Daemon) handlers() map[string]link.Handler {
	waiting := make(map[string]link.Handler)
	for name, handler := range daemon.messages() {
		waiting[name] = func(ctx context.Context, stream *link.Stream) {
			select {
			case <-daemon.built:
				handler(ctx, stream)
			case <-ctx.Done():
			}
		}
	}
	return waiting
}

// messages are the handlers by message.
func (daemon *Daemon) messages() map[string]link.Handler {
	return map[string]link.Handler{
		messageForward: func(ctx context.Context, stream *link.Stream) {
			daemon.forwards.Add(1)
			defer daemon.forwards.Done()
			daemon.serveForward(ctx, stream)
		},
		messageProbe:       daemon.serveProbe,
		messageMember:      daemon.serveMember,
		messageSpread:      daemon.serveSpread,
		messageLedger:      daemon.serveLedger,
		messageClaim:       daemon.serveClaim,
		messageSuspects:    daemon.serveSuspects,
		messageRecords:     daemon.serveRecords,
		messageEvidence:    daemon.serveEvidence,
		messageQuarantines: daemon.serveQuarantines,
	}
}

func (daemon *Daemon) serveProbe(_ context.Context, stream *link.Stream) {
	var question probe
	if stream.Read(&question) == nil {
		_ = stream.Write(daemon.cells.summary(question.Cell))
	}
}

// pick chooses among candidates with this host's random source.
func (daemon *Daemon) pick(request cell.Request, candidates []route.Candidate) (route.Decision, error) {
	return daemon.chooser.Choose(request, daemon.self.FailureDomain, candidates, rand.New(daemon.random))
}

// owner returns the host that owns a cell. Hosts of the cell's failure domain
// come first; the domain is the second part of the cell's name.
func (daemon *Daemon) owner(name string) (host.Host, bool) {
	domain := ""
	if parts := strings.Split(name, "/"); len(parts) > 1 {
		domain = parts[1]
	}
	return host.Owner(name, domain, daemon.members.Alive())
}

// ownersOf returns the hosts that may own a cell: those of its failure domain,
// or all when the domain has none.
func (daemon *Daemon) ownersOf(plan plan) []host.Host {
	alive := daemon.members.Alive()
	var local []host.Host
	for _, member := range alive {
		if member.FailureDomain == plan.FailureDomain {
			local = append(local, member)
		}
	}
	if len(local) > 0 {
		return local
	}
	return alive
}

// buildCell makes the cell that this host was asked to run.
func (daemon *Daemon) buildCell(name string) (*cell.Cell, bool) {
	servers, ok := daemon.serversOf(name)
	if !ok {
		return nil, false
	}
	view := daemon.directory.current.Load()
	limits := view.Document.Limits
	return cell.New(cell.Options{
		Name: name, Servers: servers, Logger: daemon.logger, Capacity: limits.QueuedPerCell,
		MinimumShares: view.shares(), RetryShare: limits.RetryShare, HedgeShare: limits.HedgeShare,
		Suspects: daemon.suspects, Crashes: daemon.crashes, Claims: &claims{daemon: daemon}, Announce: daemon.announce,
		Random: rand.New(rand.NewPCG(daemon.random.Uint64(), daemon.random.Uint64())),
	}), true
}

// serversOf returns the servers of a cell that may get work: those that the
// document lists, with a version outside all recalled lots.
func (daemon *Daemon) serversOf(name string) ([]cell.Server, bool) {
	plan, ok := daemon.directory.current.Load().cells[name]
	if !ok {
		return nil, false
	}
	servers := make([]cell.Server, 0, len(plan.Servers))
	for _, listed := range plan.Servers {
		version, loaded := daemon.reports.version(listed.Name, plan.Pool)
		servers = append(servers, cell.Server{
			Name: listed.Name, Slots: listed.Slots, Leaving: listed.Leaving || !loaded, Version: version,
			Address: listed.Address, Backend: daemon.backend(listed),
		})
	}
	return servers, true
}

func (daemon *Daemon) backend(listed spec.BackendServer) cell.Backend {
	return engine.New(listed.Address, daemon.engines)
}
