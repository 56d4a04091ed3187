package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
)

/*
drain lets a host leave without cutting off a request:

 1. The host tells the others that it is leaving. From then on no host lists it,
    and its cells move to other owners.
 2. It goes on serving for the drain time, as callers keep a list of addresses
    for its time to live.
 3. It accepts no more connections and waits until every request has ended,
    those that other hosts sent it included.
*/
func (daemon *Daemon) drain(ctx context.Context, signals Signals, servers []*http.Server) error {
	daemon.logger.Log(event.HostDraining(), logrus.Fields{"drain_ms": daemon.drainTime().Milliseconds()})
	daemon.members.Leave()
	quiet := time.NewTimer(daemon.drainTime())
	defer quiet.Stop()
	select {
	case <-quiet.C:
	case <-signals.Abort:
		return daemon.abort(servers)
	case <-ctx.Done():
		return daemon.abort(servers)
	}
	finished := make(chan struct{})
	go func() {
		daemon.shut(servers)
		daemon.forwards.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-signals.Abort:
		return daemon.abort(servers)
	case <-ctx.Done():
		return daemon.abort(servers)
	}
}

// drainTime is how long a leaving host accepts calls: the time of its settings,
// and no less than callers may keep the list of hosts that names it.
func (daemon *Daemon) drainTime() time.Duration {
	_, ttl := daemon.Entries()
	return max(ttl, time.Duration(daemon.settings.Limits.DrainMs)*time.Millisecond)
}

// shut stops accepting and waits for the requests in flight.
func (daemon *Daemon) shut(servers []*http.Server) {
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() { _ = server.Shutdown(context.Background()) })
	}
	group.Wait()
}

// abort ends the host at once.
func (daemon *Daemon) abort(servers []*http.Server) error {
	daemon.logger.Log(event.HostAborted(), logrus.Fields{})
	for _, server := range servers {
		_ = server.Close()
	}
	return fault.New("daemon.run", Aborted, "the host was ended before its requests were")
}
