package event

import "github.com/sirupsen/logrus"

// Heads is the subsystem of events about documents and their heads.
const Heads = "heads"

// HeadsTried returns the event of a document set as the trial head.
func HeadsTried() Event {
	return Event{3100, "heads_tried", logrus.InfoLevel, Heads, "A document is in trial."}
}

// HeadsJudged returns the event of a trial's verdict.
func HeadsJudged() Event {
	return Event{3101, "heads_judged", logrus.InfoLevel, Heads, "A trial has a verdict."}
}

// HeadsPromoted returns the event of a document promoted to production.
func HeadsPromoted() Event {
	return Event{3102, "heads_promoted", logrus.InfoLevel, Heads, "A document was promoted."}
}

// HeadsRecalled returns the event of a recalled lot.
func HeadsRecalled() Event {
	return Event{3103, "heads_recalled", logrus.WarnLevel, Heads, "A lot was recalled."}
}

// HeadsRefused returns the event of a change that was not made.
func HeadsRefused() Event {
	return Event{3104, "heads_refused", logrus.WarnLevel, Heads, "A change of the heads was refused."}
}

// HeadsSettled returns the event of a lost reply settled by reading back.
func HeadsSettled() Event {
	return Event{3105, "heads_settled", logrus.WarnLevel, Heads, "A lost reply was settled by reading back."}
}

// HeadsUnsettled returns the event of a write whose effect stays unknown.
func HeadsUnsettled() Event {
	return Event{3106, "heads_unsettled", logrus.ErrorLevel, Heads, "It is not known whether a write took effect."}
}

// SpreadApplied returns the event of a generation put in force on this host.
func SpreadApplied() Event {
	return Event{3110, "spread_applied", logrus.InfoLevel, Heads, "A generation is in force on this host."}
}

// SpreadRepaired returns the event of a repair sent to a host that is behind.
func SpreadRepaired() Event {
	return Event{3111, "spread_repaired", logrus.DebugLevel, Heads, "A host that is behind was sent what it lacks."}
}

// SpreadRejected returns the event of a repair whose document does not match
// its digest or cannot be read.
func SpreadRejected() Event {
	return Event{3112, "spread_rejected", logrus.ErrorLevel, Heads, "A received generation was rejected."}
}

// SpreadIsolated returns the event of a host cut off from all peers and the
// key-value service.
func SpreadIsolated() Event {
	return Event{3113, "spread_isolated", logrus.ErrorLevel, Heads, "This host is cut off and takes no new work."}
}

// HeadsEvents returns all events of documents and their spread.
func HeadsEvents() []Event {
	return []Event{
		HeadsTried(), HeadsJudged(), HeadsPromoted(), HeadsRecalled(), HeadsRefused(), HeadsSettled(),
		HeadsUnsettled(), SpreadApplied(), SpreadRepaired(), SpreadRejected(), SpreadIsolated(),
	}
}
