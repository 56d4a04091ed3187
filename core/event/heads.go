package event

import "github.com/sirupsen/logrus"

// HeadsSubsystem is the subsystem of events about documents and their heads.
const HeadsSubsystem = "heads"

// HeadsTried reports that a document was set as the trial head.
func HeadsTried() Event {
	return Event{3100, "heads_tried", logrus.InfoLevel, HeadsSubsystem, "A document was set as the trial head."}
}

// HeadsJudged reports the verdict of a trial.
func HeadsJudged() Event {
	return Event{3101, "heads_judged", logrus.InfoLevel, HeadsSubsystem, "A trial has a verdict."}
}

// HeadsPromoted reports that a document was promoted to production.
func HeadsPromoted() Event {
	return Event{3102, "heads_promoted", logrus.InfoLevel, HeadsSubsystem, "A document was promoted."}
}

// HeadsRecalled reports that a lot was recalled.
func HeadsRecalled() Event {
	return Event{3103, "heads_recalled", logrus.WarnLevel, HeadsSubsystem, "A lot was recalled."}
}

// HeadsReinstated reports that heads which a restored store lacked were written again.
func HeadsReinstated() Event {
	return Event{3107, "heads_reinstated", logrus.WarnLevel, HeadsSubsystem, "Heads that a restored store lacked were written again."}
}

// HeadsRefused reports that a change of the heads was refused, and was not
// made.
func HeadsRefused() Event {
	return Event{3104, "heads_refused", logrus.WarnLevel, HeadsSubsystem, "A change of the heads was refused."}
}

// HeadsSettled reports that a write whose response was lost was resolved by
// reading the value back.
func HeadsSettled() Event {
	return Event{3105, "heads_settled", logrus.WarnLevel, HeadsSubsystem, "A write whose response was lost was resolved by reading the value back."}
}

// HeadsUnsettled reports that it is unknown whether a write took effect.
func HeadsUnsettled() Event {
	return Event{3106, "heads_unsettled", logrus.ErrorLevel, HeadsSubsystem, "It is unknown whether a write took effect."}
}

// SpreadApplied reports that a generation was applied on this host.
func SpreadApplied() Event {
	return Event{3110, "spread_applied", logrus.InfoLevel, HeadsSubsystem, "A generation was applied on this host."}
}

// SpreadRepaired reports that a host that is behind was sent the state that it
// lacks.
func SpreadRepaired() Event {
	return Event{3111, "spread_repaired", logrus.DebugLevel, HeadsSubsystem, "A host that is behind was sent the state that it lacks."}
}

// SpreadRejected reports that a received generation was rejected: its document
// does not match the digest, cannot be read or cannot be applied.
func SpreadRejected() Event {
	return Event{3112, "spread_rejected", logrus.ErrorLevel, HeadsSubsystem, "A received generation was rejected: its document does not match the digest, cannot be read or cannot be applied."}
}

// SpreadIsolated reports that this host is cut off from all peers and from the
// key-value service, and accepts no new work.
func SpreadIsolated() Event {
	return Event{3113, "spread_isolated", logrus.ErrorLevel, HeadsSubsystem, "This host is cut off from all peers and from the key-value service, and accepts no new work."}
}

// HeadsEvents returns the events about documents, their heads and their distribution
// to the hosts.
func HeadsEvents() []Event {
	return []Event{
		HeadsTried(), HeadsJudged(), HeadsPromoted(), HeadsRecalled(), HeadsReinstated(), HeadsRefused(), HeadsSettled(),
		HeadsUnsettled(), SpreadApplied(), SpreadRepaired(), SpreadRejected(), SpreadIsolated(),
	}
}
