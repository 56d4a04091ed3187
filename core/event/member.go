package event

import "github.com/sirupsen/logrus"

// MemberSubsystem is the subsystem of membership events.
const MemberSubsystem = "member"

// MemberStarted reports that membership started from the seeds.
func MemberStarted() Event {
	return Event{3000, "member_started", logrus.InfoLevel, MemberSubsystem, "Membership started from the seeds."}
}

// MemberJoined reports that a host, or a new incarnation of a host, was seen
// for the first time.
func MemberJoined() Event {
	return Event{3001, "member_joined", logrus.InfoLevel, MemberSubsystem, "A host, or a new incarnation of a host, was seen for the first time."}
}

// MemberSuspected reports that a host is suspected: it responds neither
// directly nor through other hosts.
func MemberSuspected() Event {
	return Event{3002, "member_suspected", logrus.WarnLevel, MemberSubsystem, "A host is suspected: it responds neither directly nor through other hosts."}
}

// MemberDied reports that a host is considered dead: the suspicion was not
// refuted in time.
func MemberDied() Event {
	return Event{3003, "member_died", logrus.WarnLevel, MemberSubsystem, "A host is considered dead: the suspicion was not refuted in time."}
}

// MemberLeaving reports that a host is shutting down gracefully.
func MemberLeaving() Event {
	return Event{3004, "member_leaving", logrus.InfoLevel, MemberSubsystem, "A host is shutting down gracefully."}
}

// MemberRefuted reports that this host refuted a report about itself by raising
// its incarnation.
func MemberRefuted() Event {
	return Event{3005, "member_refuted", logrus.WarnLevel, MemberSubsystem, "This host refuted a report about itself by raising its incarnation."}
}

// MemberPaused reports that this host noticed that its process had been paused.
func MemberPaused() Event {
	return Event{3006, "member_paused", logrus.WarnLevel, MemberSubsystem, "This host noticed that its process had been paused."}
}

// MemberSynced reports that membership digests differ; the records were
// requested.
func MemberSynced() Event {
	return Event{3007, "member_synced", logrus.DebugLevel, MemberSubsystem, "Membership digests differ; the records were requested."}
}

// MemberFull reports that a membership record was dropped, because the table is
// full.
func MemberFull() Event {
	return Event{3008, "member_full", logrus.ErrorLevel, MemberSubsystem, "A membership record was dropped, because the table is full."}
}

// MemberEvents returns the membership events.
func MemberEvents() []Event {
	return []Event{
		MemberStarted(), MemberJoined(), MemberSuspected(), MemberDied(), MemberLeaving(),
		MemberRefuted(), MemberPaused(), MemberSynced(), MemberFull(),
	}
}
