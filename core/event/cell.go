package event

import "github.com/sirupsen/logrus"

// CellEvents returns the events of a cell's scheduler, one for each kind of decision.
func CellEvents() []Event {
	return []Event{
		CellDispatched(),
		CellShed(),
		CellPreempted(),
		CellHedged(),
		CellHedgeWon(),
		CellResumed(),
		CellUnknown(),
		CellRefused(),
		CellStalled(),
		CellCrashed(),
		CellPoison(),
		CellSuspect(),
		CellWithdrawn(),
		CellFrameDropped(),
		CellAnswerBroken(),
		CellProbed(),
		CellServers(),
		CellClosed(),
	}
}

// CellDispatched reports that a queued call was assigned a slot of a backend
// server, the best of those listed by weight, load and prefix affinity.
func CellDispatched() Event {
	return Event{2000, "cell_dispatched", logrus.InfoLevel, "cell", "A queued call was assigned a slot of a backend server, the best of those listed by weight, load and prefix affinity."}
}

// CellShed reports that a call was shed before dispatch: its estimated wait
// exceeds its target, or the queue is full and it has the lowest tier.
func CellShed() Event {
	return Event{2001, "cell_shed", logrus.InfoLevel, "cell", "A call was shed before dispatch: its estimated wait exceeds its target, or the queue is full and it has the lowest tier."}
}

// CellPreempted reports that a running call of a lower tier was preempted,
// because the first token of a queued call of a higher tier was at risk. It is
// resumed later.
func CellPreempted() Event {
	return Event{2002, "cell_preempted", logrus.InfoLevel, "cell", "A running call of a lower tier was preempted, because the first token of a queued call of a higher tier was at risk. It is resumed later."}
}

// CellHedged reports that a second attempt was started on another backend
// server, because the first token takes longer than usual in the cell.
func CellHedged() Event {
	return Event{2003, "cell_hedged", logrus.InfoLevel, "cell", "A second attempt was started on another backend server, because the first token takes longer than usual in the cell."}
}

// CellHedgeWon reports that one of two attempts produced the first token; the
// other was cancelled.
func CellHedgeWon() Event {
	return Event{2004, "cell_hedge_won", logrus.DebugLevel, "cell", "One of two attempts produced the first token; the other was cancelled."}
}

// CellResumed reports that an attempt ended before the response was complete;
// the call continues on another backend server after the tokens that its client
// already has.
func CellResumed() Event {
	return Event{2005, "cell_resumed", logrus.InfoLevel, "cell", "An attempt ended before the response was complete; the call continues on another backend server after the tokens that its client already has."}
}

// CellUnknown reports that a call was lost after dispatch and must not be run
// again; its client is told that it may have run.
func CellUnknown() Event {
	return Event{2006, "cell_unknown", logrus.WarnLevel, "cell", "A call was lost after dispatch and must not be run again; its client is told that it may have run."}
}

// CellRefused reports that a backend server did not run a call; the call is
// sent to another one.
func CellRefused() Event {
	return Event{2007, "cell_refused", logrus.InfoLevel, "cell", "A backend server did not run a call; the call is sent to another one."}
}

// CellStalled reports that a backend server made no progress on a call within
// the stall limit; the attempt was cancelled.
func CellStalled() Event {
	return Event{2008, "cell_stalled", logrus.WarnLevel, "cell", "A backend server made no progress on a call within the stall limit; the attempt was cancelled."}
}

// CellCrashed reports that a backend server crashed while it ran a call; the
// call is now a suspect.
func CellCrashed() Event {
	return Event{2009, "cell_crashed", logrus.WarnLevel, "cell", "A backend server crashed while it ran a call; the call is now a suspect."}
}

// CellPoison reports that a call was refused, because its request is assumed to
// have crashed two backend servers.
func CellPoison() Event {
	return Event{2010, "cell_poison", logrus.ErrorLevel, "cell", "A call was refused, because its request is assumed to have crashed two backend servers."}
}

// CellSuspect reports that a suspect was assigned a backend server that runs
// nothing else.
func CellSuspect() Event {
	return Event{2011, "cell_suspect", logrus.InfoLevel, "cell", "A suspect was assigned a backend server that runs nothing else."}
}

// CellWithdrawn reports that a running copy of a request that became a suspect
// was cancelled; it will run alone later.
func CellWithdrawn() Event {
	return Event{2012, "cell_withdrawn", logrus.InfoLevel, "cell", "A running copy of a request that became a suspect was cancelled; it will run alone later."}
}

// CellFrameDropped reports that a chunk of a response was dropped: it belongs
// to another request or attempt, or was already delivered.
func CellFrameDropped() Event {
	return Event{2013, "cell_frame_dropped", logrus.DebugLevel, "cell", "A chunk of a response was dropped: it belongs to another request or attempt, or was already delivered."}
}

// CellAnswerBroken reports that an attempt sent a chunk that does not continue
// the response; the attempt was cancelled.
func CellAnswerBroken() Event {
	return Event{2014, "cell_answer_broken", logrus.WarnLevel, "cell", "An attempt sent a chunk that does not continue the response; the attempt was cancelled."}
}

// CellProbed reports that a queued call was sent to a backend server with a
// reduced weight, to find out whether the server has recovered.
func CellProbed() Event {
	return Event{2015, "cell_probed", logrus.InfoLevel, "cell", "A queued call was sent to a backend server with a reduced weight, to find out whether the server has recovered."}
}

// CellServers reports that the list of the cell's backend servers changed.
func CellServers() Event {
	return Event{2016, "cell_servers", logrus.InfoLevel, "cell", "The list of the cell's backend servers changed."}
}

// CellClosed reports that the cell was closed; queued calls were handed back,
// dispatched calls continue.
func CellClosed() Event {
	return Event{2017, "cell_closed", logrus.InfoLevel, "cell", "The cell was closed; queued calls were handed back, dispatched calls continue."}
}
