package room

import "time"

// server is the state of a server.
type server struct {
	id, service string
	// inFlight is the number of this host's requests there.
	inFlight int
	// number is the number of refusals within a second that the server bears; 0: it is not brittle.
	number int
	// slots is the number of requests that it works on at once; 0: unknown.
	slots int
	// observedAt is when the newest answer was received that said whether it is brittle, by any host. Own
	// is set if this host received it.
	observedAt time.Time
	own        bool
	changedAt  time.Time
	reportedAt time.Time
	// base is the limit at cutAt, from which on it rises. Refused is set if the limit was cut then.
	base    float64
	cutAt   time.Time
	refused bool
	// blockedUntil is the end of the time without requests after a refusal.
	blockedUntil time.Time
	// The server has said nothing and is taken for brittle from assumedAt until assumedUntil.
	assumedAt, assumedUntil time.Time
}

// cut reduces the limit, and sends the server nothing for so long that it has to turn away at most one
// request less than it bears within a second.
func (server *server) cut(base float64, now time.Time) {
	server.base, server.cutAt, server.refused, server.changedAt = base, now, true, now
	server.blockedUntil = now.Add(time.Second / time.Duration(max(1, server.number-1)))
}

// isBrittle reports whether the server says that it is brittle, or is taken for it.
func (server *server) isBrittle(now time.Time) bool {
	return server.saysBrittle(now) || now.Before(server.assumedUntil)
}

// saysBrittle reports whether the newest answer says that the server is brittle.
func (server *server) saysBrittle(now time.Time) bool {
	return server.number > 0 && now.Sub(server.observedAt) < quietTimeout
}

// limit returns the number of requests that all hosts together may have in flight at the server.
func (server *server) limit(now time.Time) float64 {
	raised := server.base + float64(max(0, now.Sub(server.cutAt))/raiseInterval)
	if server.slots > 0 {
		return min(raised, float64(server.slots))
	}
	return raised
}
