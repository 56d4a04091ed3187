package front

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/poison"
	"primrosegw/io/pipe"
)

// fingerprint identifies the request when it comes again.
func (call *call) fingerprint() uint64 {
	if call.print == 0 {
		call.print = poison.Fingerprint(call.request.Method, call.request.RequestURI, call.work.Workspace, call.body)
	}
	return call.print
}

// suspect reports whether the request has crashed so many servers that it is not
// run again.
func (call *call) suspect() bool {
	witness := call.front.options.Witness
	return witness.Known() && witness.Verdict(call.fingerprint()) == poison.Refuse
}

// clear notes that the request ran to its end and crashed no server.
func (call *call) clear() {
	if witness := call.front.options.Witness; witness.Known() {
		witness.Ended(call.fingerprint(), time.Now())
	}
}

// down notes that a server took no connection. Only a refused one shows that the
// server's process is gone; the others may be the network's doing.
func (front *Front) down(server fleet.Server, err error, now time.Time) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if suspects := front.options.Witness.Down(server.ID, now); suspects > 0 {
		front.options.Logger.Log(event.ServerCrashed(), logrus.Fields{"server": server.ID, "suspects": suspects})
	}
}

// check asks a server that broke off an answer for a connection, which is kept
// for the next request. A crash is noticed at once this way, and no request waits
// for a server that is gone.
func (front *Front) check(server fleet.Server, limit int) {
	conn, err := front.options.Pool.Get(context.Background(), connectionKey(server), server.Address, limit)
	if err == nil {
		conn.Keep()
		return
	}
	if fault.Is(err, pipe.Unreachable) {
		front.unreachable(server, err)
	}
}

// unreachable notes that a server took no connection.
func (front *Front) unreachable(server fleet.Server, err error) {
	now := time.Now()
	front.options.Fleet.RecordUnreachable(server.ID, now)
	front.suspended(server, err, now)
	front.down(server, err, now)
}
