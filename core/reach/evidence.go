package reach

import "time"

// NeverMs is the age in milliseconds of what has not happened.
const NeverMs = -1

// Evidence tells a path that is cut from servers that are only silent.
type Evidence struct {
	// IsReachedElsewhere: another host has reached the process, or for a host that is cut off any server, since
	// this one last did. Without it there is only silence.
	IsReachedElsewhere bool
	// TunnelAgeMs is how long ago another host last reached a server for this one, RefutedAgeMs how long ago the
	// last direct dial in the background began that got no byte, and ByteAgeMs how long ago the last byte of any
	// server arrived on a direct connection.
	TunnelAgeMs, RefutedAgeMs, ByteAgeMs int64
}

// EvidenceOf returns what is known at a time of the path to a process.
func (paths *Paths) EvidenceOf(process string, now time.Time) Evidence {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	evidence := Evidence{
		TunnelAgeMs: ageMs(paths.lastTunnel, now), RefutedAgeMs: ageMs(later(paths.refuted.dialAt, paths.refuted.questionAt), now), ByteAgeMs: ageMs(paths.lastByte, now),
		IsReachedElsewhere: !paths.cutOffSince.IsZero() && !paths.tunnelSince.IsZero(),
	}
	if found := paths.paths[process]; found != nil && !found.downSince.IsZero() {
		evidence.IsReachedElsewhere = true
	}
	return evidence
}

// ageMs returns how long ago something happened, NeverMs if it has not.
func ageMs(at, now time.Time) int64 {
	if at.IsZero() {
		return NeverMs
	}
	return now.Sub(at).Milliseconds()
}
