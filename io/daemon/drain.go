package daemon

import (
	"context"
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
func (daemon *Daemon) drain(ctx context.Context, signals Signals, endpoints []endpoint) error {
	daemon.logger.Log(event.HostDraining(), logrus.Fields{"drain_ms": daemon.drainTime().Milliseconds()})
	daemon.members.Leave()
	for _, endpoint := range endpoints {
		endpoint.conns.Announce()
	}
	quiet := time.NewTimer(daemon.drainTime())
	defer quiet.Stop()
	select {
	case <-quiet.C:
	case <-signals.Abort:
		return daemon.abort(endpoints)
	case <-ctx.Done():
		return daemon.abort(endpoints)
	}
	finished := make(chan struct{})
	go func() {
		shut(endpoints)
		daemon.forwards.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-signals.Abort:
		return daemon.abort(endpoints)
	case <-ctx.Done():
		return daemon.abort(endpoints)
	}
}

// drainTime is how long a leaving host accepts calls: the time of its settings,
// and no less than callers may keep the list of hosts that names it.
func (daemon *Daemon) drainTime() time.Duration {
	_, ttl := daemon.Entries()
	return max(ttl, time.Duration(daemon.settings.Limits.DrainMs)*time.Millisecond)
}

// abort ends the host at once.
func (daemon *Daemon) abort(endpoints []endpoint) error {
	daemon.logger.Log(event.HostAborted(), logrus.Fields{})
	for _, endpoint := range endpoints {
		_ = endpoint.server.Close()
	}
	return fault.New("daemon.run", Aborted, "the host was ended before its requests were")
}
