package daemon

import (
	"net/http"
	"time"

	"primrosegw/core/spec"
	"primrosegw/io/admin"
)

// Operator implements admin.System. The document's operators may call; before
// a document is in force, those of the host's settings.
func (daemon *Daemon) Operator(key string) (spec.Operator, bool) {
	if view := daemon.directory.current.Load(); view != nil {
		return find(view.operators, key)
	}
	operators := make(map[string]spec.Operator)
	for _, operator := range daemon.settings.Operators {
		for _, held := range operator.Keys {
			operators[held.SHA256] = operator
		}
	}
	return find(operators, key)
}

// Generation implements admin.System.
func (daemon *Daemon) Generation() uint64 {
	generation, _ := daemon.applied()
	return generation
}

// Hosts implements admin.System.
func (daemon *Daemon) Hosts() []admin.HostState {
	known := daemon.members.Hosts()
	states := make([]admin.HostState, 0, len(known))
	for _, member := range known {
		state := admin.HostState{
			Name: member.Name, FailureDomain: member.FailureDomain, State: member.State,
			EntryAddress: member.EntryAddress, Generation: daemon.generationOf(member.Name),
		}
		states = append(states, state)
	}
	return states
}

func (daemon *Daemon) adminServer() *http.Server {
	operators := admin.New(admin.Options{
		Heads: daemon.heads, System: daemon, Meter: daemon.meter, Logger: daemon.logger,
		Environment: daemon.settings.Environment,
	})
	limits := daemon.settings.Limits
	return &http.Server{
		Handler:           operators.Handler(),
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.BodyTimeoutMs) * time.Millisecond,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
}
