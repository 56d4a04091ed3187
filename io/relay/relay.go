// Package relay opens connections to backend servers through another host, for a host that is cut
// off from them. The helping host dials the server and copies bytes both ways; it reads and decides
// nothing. Both hosts prove that they know the hosts' shared secret before it dials.
package relay

import (
	"time"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// Unauthorized: one of the hosts has no secret, or not the secret of the other one.
	Unauthorized Kind = "unauthorized"
	// Refused: the helping host takes no more tunnels, is leaving, or may be cut off itself.
	Refused Kind = "refused"
	// UnknownServer: the helping host knows no such usable process of a backend server.
	UnknownServer Kind = "unknown_server"
	// Unreachable: the helping host can't reach the backend server either.
	Unreachable Kind = "unreachable"
	// Lost: the helping host did not answer in time, or broke off.
	Lost Kind = "lost"
	// Malformed: a message can't be encoded or decoded, or is too long.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Opened is the result of a tunnel that was opened; the results of others are kinds.
const Opened Kind = "opened"

// Target names a process of a backend server.
type Target struct {
	ServerID string
	// Started is the start time of the process.
	Started time.Time
}
