package pick

import (
	"time"

	"primrosegw/core/fleet"
)

// framingCandidates returns the candidates that have lately framed their responses. If there are none,
// it returns those of which it is not known, as one of them may, or else all.
func (options Options) framingCandidates(candidates []fleet.Member, now time.Time) []fleet.Member {
	if !options.PreferFraming {
		return candidates
	}
	var framing, unknown []fleet.Member
	for index := range candidates {
		switch member := &candidates[index]; {
		case member.FramesResponses(now):
			framing = append(framing, *member)
		case !member.LeavesUnframed(now):
			unknown = append(unknown, *member)
		}
	}
	switch {
	case len(framing) > 0:
		return framing
	case len(unknown) > 0:
		return unknown
	}
	return candidates
}

// anyFrames reports whether a candidate has lately framed its responses. If none has, unproven ends
// don't count in the choice: they would only move requests among servers that serve none of them.
func anyFrames(candidates []fleet.Member, now time.Time) bool {
	for index := range candidates {
		if candidates[index].FramesResponses(now) {
			return true
		}
	}
	return false
}
