package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosegw/core/ending"
)

// calmPhase is the name of the time outside of all phases of the profile.
const calmPhase = "calm"

// Phase names a time of the run, such as that of a planned stop, a reload or a crash. The generator
// causes none of them.
type Phase struct {
	Name       string  `json:"name"`
	AtSeconds  float64 `json:"at_seconds"`
	ForSeconds float64 `json:"for_seconds"`
}

// ResponseCount counts the responses of a framing that ended in a phase.
type ResponseCount struct {
	Phase   string         `json:"phase"`
	Framing ending.Framing `json:"framing"`
	// Whole responses have their closing event. Cut ones broke off, also by an error event. Short ones
	// ended without it as if they were complete. Those that the caller gave up are not counted.
	Whole int `json:"whole"`
	Cut   int `json:"cut"`
	Short int `json:"short"`
}

// responseKey says which count a response belongs to.
type responseKey struct {
	phase   string
	framing ending.Framing
}

// phaseAt returns the name of the first phase at a time of the run.
func (profile Profile) phaseAt(at time.Duration) string {
	for _, phase := range profile.Phases {
		if since := at.Seconds() - phase.AtSeconds; since >= 0 && since < phase.ForSeconds {
			return phase.Name
		}
	}
	return calmPhase
}

// countResponse takes in how a response ended.
func (tally *tally) countResponse(sample sample) {
	if sample.framing == "" || sample.status == Expired {
		return
	}
	key := responseKey{tally.profile.phaseAt(sample.endedAt), sample.framing}
	if tally.responses[key] == nil {
		tally.responses[key] = &ResponseCount{Phase: key.phase, Framing: key.framing}
	}
	switch count := tally.responses[key]; {
	case sample.status == Complete:
		count.Whole++
	case sample.short:
		count.Short++
	default:
		count.Cut++
	}
}

// responseCounts returns the counts in the order of their names.
func (tally *tally) responseCounts() []ResponseCount {
	counts := make([]ResponseCount, 0, len(tally.responses))
	for _, key := range slices.SortedFunc(maps.Keys(tally.responses), func(a, b responseKey) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.framing, b.framing))
	}) {
		counts = append(counts, *tally.responses[key])
	}
	return counts
}
