package fleet

import "primrosegw/core/table"

// Ranks is the number of ranks of urgency.
const Ranks = table.LastRank + 1

// Share is what one request adds to the work of a server.
type Share struct {
	// Rank is the request's urgency.
	Rank int
	// Unread is the prompt tokens that the server has to read.
	Unread int
	// Talk: the request generates much and reads little.
	Talk bool
}

// InFlight is the requests that have not ended at a server.
type InFlight struct {
	// Reading is the prompt tokens that the server has still to read, by rank.
	Reading [Ranks]int `cbor:"2,keyasint"`
	// Running is the number of requests.
	Running int `cbor:"3,keyasint,omitempty"`
	// Talking is the number of those that generate much.
	Talking int `cbor:"4,keyasint,omitempty"`
}

// ReadingFor is the prompt tokens that are read before those of a new request
// of a rank.
func (flight *InFlight) ReadingFor(rank int) int {
	tokens := 0
	for _, reading := range flight.Reading[:rank+1] {
		tokens += reading
	}
	return tokens
}

// ReadingAll is the prompt tokens of all ranks.
func (flight *InFlight) ReadingAll() int { return flight.ReadingFor(Ranks - 1) }

func (flight *InFlight) add(share Share, count int) {
	flight.Running = max(0, flight.Running+count)
	if share.Talk {
		flight.Talking = max(0, flight.Talking+count)
	}
	flight.Reading[share.Rank] += share.Unread
}

func (flight *InFlight) read(share Share) {
	flight.Reading[share.Rank] = max(0, flight.Reading[share.Rank]-share.Unread)
}

// sum adds the requests of another host, or takes them out with a factor of -1.
func (flight *InFlight) sum(other InFlight, factor int) {
	for rank, tokens := range other.Reading {
		flight.Reading[rank] += factor * tokens
	}
	flight.Running += factor * other.Running
	flight.Talking += factor * other.Talking
}
