package fleet

import "time"

const (
	// unprovenMemory is how long after its last unproven end a server is less preferred.
	unprovenMemory = 2 * time.Second
	// unprovenRateAlpha is the weight of the newest response in the moving average of unproven ends.
	unprovenRateAlpha = 0.3
	// framedMemory is how long after a response a server counts as one that frames, or as one that
	// does not.
	framedMemory = time.Minute
	// maxFramingUnprovenRate is the rate of unproven ends from which on it does not.
	maxFramingUnprovenRate = 0.5
)

// framingRecord is what the ends of a process's responses have shown: whether they have a length or
// chunks. It is no part of the failures, and starts anew with the next process.
type framingRecord struct {
	unprovenRate float64
	unprovenAt   time.Time
	framedAt     time.Time
}

// RecordUnproven records that nothing showed whether a response of a server was whole.
func (fleet *Fleet) RecordUnproven(server Server, now time.Time) {
	fleet.updateFraming(server, func(member *Member) {
		member.framing.unprovenRate = member.UnprovenRate(now)*(1-unprovenRateAlpha) + unprovenRateAlpha
		member.framing.unprovenAt = now
	})
}

// RecordFramed records a whole response of a server with a length or chunks.
func (fleet *Fleet) RecordFramed(server Server, now time.Time) {
	fleet.updateFraming(server, func(member *Member) {
		member.framing.unprovenRate *= 1 - unprovenRateAlpha
		member.framing.framedAt = now
	})
}

// updateFraming is updateProcess for a server that has not changed its address either: processes of
// unknown age differ in nothing else.
func (fleet *Fleet) updateFraming(server Server, change func(*Member)) {
	fleet.updateProcess(server, func(member *Member) {
		if member.Address == server.Address {
			change(member)
		}
	})
}

// UnprovenRate returns the share of responses whose ends have lately proven nothing. It falls to 0
// within unprovenMemory, so that a server without requests is tried again.
func (member *Member) UnprovenRate(now time.Time) float64 {
	age := now.Sub(member.framing.unprovenAt)
	if member.framing.unprovenAt.IsZero() || age >= unprovenMemory {
		return 0
	}
	return member.framing.unprovenRate * (1 - float64(age)/float64(unprovenMemory))
}

// FramesResponses reports whether the server has lately framed its responses.
func (member *Member) FramesResponses(now time.Time) bool {
	framedAt := member.framing.framedAt
	return !framedAt.IsZero() && now.Sub(framedAt) < framedMemory && member.UnprovenRate(now) < maxFramingUnprovenRate
}

// LeavesUnframed reports whether a response of the server has lately ended without proof, and it does
// not count as one that frames.
func (member *Member) LeavesUnframed(now time.Time) bool {
	unprovenAt := member.framing.unprovenAt
	return !unprovenAt.IsZero() && now.Sub(unprovenAt) < framedMemory && !member.FramesResponses(now)
}
