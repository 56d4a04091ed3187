package daemon

import (
	"net/http"
	"time"

	"primrosegw/core/spec"
	"primrosegw/io/admin"
	"primrosegw/io/keep"
)

// Operator implements admin.System. The document's operators may call. While no
// document is in force, before the first one or after a recall that left none,
// those of the host's settings may: somebody has to be able to promote one.
func (daemon *Daemon) Operator(key string) (spec.Operator, bool) {
	if view := daemon.directory.current.Load(); view.inForce() {
		return view.Operator(key)
	}
	return spec.NewIndex(spec.Document{Operators: daemon.settings.Operators}).Operator(key)
}

// Generation implements admin.System.
func (daemon *Daemon) Generation() uint64 {
	generation, _ := daemon.applied()
	return generation
}

// Hosts implements admin.System.
func (daemon *Daemon) Hosts() []admin.HostState {
	generation, _ := daemon.applied()
	confirmed := make(map[string]bool)
	reached, _ := daemon.spread.Confirmed(generation)
	for _, name := range reached {
		confirmed[name] = true
	}
	known := daemon.members.Hosts()
	states := make([]admin.HostState, 0, len(known))
	for _, member := range known {
		state := admin.HostState{
			Name: member.Name, FailureDomain: member.FailureDomain, State: member.State,
			EntryAddress: member.EntryAddress,
		}
		state.Confirmed = confirmed[member.Name]
		states = append(states, state)
	}
	return states
}

// Confirmed implements admin.System.
func (daemon *Daemon) Confirmed(generation uint64) admin.Confirmed {
	confirmed, waiting := daemon.spread.Confirmed(generation)
	return admin.Confirmed{
		Generation: generation, Confirmed: confirmed, Waiting: waiting, Unreached: daemon.spread.Unreached(generation),
	}
}

func (daemon *Daemon) adminServer() *http.Server {
	operators := admin.New(admin.Options{
		Heads: daemon.heads, System: daemon, Meter: daemon.meter, Logger: daemon.logger,
		Environment: daemon.settings.Environment,
	})
	limits := daemon.settings.Limits
	return &http.Server{
		Handler:           keep.Handler(operators.Handler(), keep.Options{Limit: func(*http.Request) time.Duration { return idleTimeout }}),
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.BodyTimeoutMs) * time.Millisecond,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
}
