package fleet

import "primrosegw/core/table"

// RankCount is the number of urgency ranks.
const RankCount = table.LastRank + 1

// RequestLoad is the load that one request adds to a server.
type RequestLoad struct {
	// Rank is the urgency of the request, 0 being the most urgent.
	Rank int
	// PrefillTokens is the number of prompt tokens that the server has to process,
	// which excludes cached ones.
	PrefillTokens int
	// DecodeHeavy is set if the request generates many tokens and has a short
	// prompt.
	DecodeHeavy bool
}

// InFlight sums up requests that have not ended at a server.
type InFlight struct {
	// PrefillTokens is the number of prompt tokens still to be processed, by rank.
	PrefillTokens [RankCount]int `cbor:"2,keyasint"`
	// Running is the number of requests.
	Running int `cbor:"3,keyasint,omitempty"`
	// DecodeHeavy is the number of decode-heavy requests among them.
	DecodeHeavy int `cbor:"4,keyasint,omitempty"`
}

// PrefillAhead returns the prompt tokens that are processed before those of a new
// request of the rank.
func (flight *InFlight) PrefillAhead(rank int) int {
	tokens := 0
	for _, pending := range flight.PrefillTokens[:rank+1] {
		tokens += pending
	}
	return tokens
}

// TotalPrefill returns the pending prompt tokens of all ranks.
func (flight *InFlight) TotalPrefill() int { return flight.PrefillAhead(RankCount - 1) }

// addRequest adds count requests of one kind; a negative count removes them.
func (flight *InFlight) addRequest(request RequestLoad, count int) {
	flight.Running = max(0, flight.Running+count)
	if request.DecodeHeavy {
		flight.DecodeHeavy = max(0, flight.DecodeHeavy+count)
	}
	flight.PrefillTokens[request.Rank] += request.PrefillTokens
}

// removePrefill subtracts the prompt tokens of a request whose prefill ended.
func (flight *InFlight) removePrefill(request RequestLoad) {
	flight.PrefillTokens[request.Rank] = max(0, flight.PrefillTokens[request.Rank]-request.PrefillTokens)
}

// addScaled adds the requests of another host; a factor of -1 subtracts them.
func (flight *InFlight) addScaled(other InFlight, factor int) {
	for rank, tokens := range other.PrefillTokens {
		flight.PrefillTokens[rank] += factor * tokens
	}
	flight.Running += factor * other.Running
	flight.DecodeHeavy += factor * other.DecodeHeavy
}
