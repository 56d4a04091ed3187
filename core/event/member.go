package event

import "github.com/sirupsen/logrus"

// Members is the subsystem of membership events.
const Members = "member"

// MemberStarted returns the event of a host that starts to look for others.
func MemberStarted() Event {
	return Event{3000, "member_started", logrus.InfoLevel, Members, "Membership started from seeds."}
}

// MemberJoined returns the event of a host or incarnation seen for the first time.
func MemberJoined() Event {
	return Event{3001, "member_joined", logrus.InfoLevel, Members, "A host joined."}
}

// MemberSuspected returns the event of a host that answers neither directly
// nor through others.
func MemberSuspected() Event {
	return Event{3002, "member_suspected", logrus.WarnLevel, Members, "A host is suspected."}
}

// MemberDied returns the event of a suspicion that nobody refuted in time.
func MemberDied() Event {
	return Event{3003, "member_died", logrus.WarnLevel, Members, "A host is taken for dead."}
}

// MemberLeaving returns the event of a host that leaves in order.
func MemberLeaving() Event {
	return Event{3004, "member_leaving", logrus.InfoLevel, Members, "A host is leaving."}
}

// MemberRefuted returns the event of this host raising its incarnation.
func MemberRefuted() Event {
	return Event{3005, "member_refuted", logrus.WarnLevel, Members, "This host refuted a report about itself."}
}

// MemberPaused returns the event of this host noticing that it did not run.
func MemberPaused() Event {
	return Event{3006, "member_paused", logrus.WarnLevel, Members, "This host was paused."}
}

// MemberSynced returns the event of a membership digest that differs.
func MemberSynced() Event {
	return Event{3007, "member_synced", logrus.DebugLevel, Members, "Membership digests differ, records asked for."}
}

// MemberFull returns the event of a record dropped for lack of room.
func MemberFull() Event {
	return Event{3008, "member_full", logrus.ErrorLevel, Members, "The membership table is full."}
}

// MemberEvents returns all events of the membership.
func MemberEvents() []Event {
	return []Event{
		MemberStarted(), MemberJoined(), MemberSuspected(), MemberDied(), MemberLeaving(),
		MemberRefuted(), MemberPaused(), MemberSynced(), MemberFull(),
	}
}
