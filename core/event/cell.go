package event

import "github.com/sirupsen/logrus"

// CellEvents lists the events of the scheduler of a cell: one for each of its decisions.
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
		CellFrame(),
		CellBroken(),
		CellProbed(),
		CellServers(),
		CellClosed(),
	}
}

// CellDispatched reports that a queued call was given a slot of a backend server.
func CellDispatched() Event {
	return Event{2000, "cell_dispatched", logrus.InfoLevel, "cell", "A queued call was given a slot of a backend server: the one with the best weight, load and prefix affinity of those listed."}
}

// CellShed reports that a call was turned away before dispatch.
func CellShed() Event {
	return Event{2001, "cell_shed", logrus.InfoLevel, "cell", "A call was turned away before dispatch: its estimated wait passes its target, or the queue is full and it has the lowest tier."}
}

// CellPreempted reports that a running call of a lower tier gives up its slot, because the first token of a queued call of a higher tier was at risk. It resumes later.
func CellPreempted() Event {
	return Event{2002, "cell_preempted", logrus.InfoLevel, "cell", "A running call of a lower tier gives up its slot, because the first token of a queued call of a higher tier was at risk. It resumes later."}
}

// CellHedged reports that a second attempt was started on another backend server, because the first token is later than the cell's usual wait.
func CellHedged() Event {
	return Event{2003, "cell_hedged", logrus.InfoLevel, "cell", "A second attempt was started on another backend server, because the first token is later than the cell's usual wait."}
}

// CellHedgeWon reports that one of two attempts gave the first token.
func CellHedgeWon() Event {
	return Event{2004, "cell_hedge_won", logrus.DebugLevel, "cell", "One of two attempts gave the first token; the other was cancelled."}
}

// CellResumed reports that an attempt ended before the answer did.
func CellResumed() Event {
	return Event{2005, "cell_resumed", logrus.InfoLevel, "cell", "An attempt ended before the answer did; the call continues elsewhere from the tokens that its caller has."}
}

// CellUnknown reports that a call was lost after dispatch and may not be run again.
func CellUnknown() Event {
	return Event{2006, "cell_unknown", logrus.WarnLevel, "cell", "A call was lost after dispatch and may not be run again; its caller is told that it may have run."}
}

// CellRefused reports that a backend server did not run a call.
func CellRefused() Event {
	return Event{2007, "cell_refused", logrus.InfoLevel, "cell", "A backend server did not run a call; the call goes to another one."}
}

// CellStalled reports that a backend server made no progress on a call within the stall limit.
func CellStalled() Event {
	return Event{2008, "cell_stalled", logrus.WarnLevel, "cell", "A backend server made no progress on a call within the stall limit; the attempt was cancelled."}
}

// CellCrashed reports that a backend server died while it ran a call.
func CellCrashed() Event {
	return Event{2009, "cell_crashed", logrus.WarnLevel, "cell", "A backend server died while it ran a call; the call is a suspect now."}
}

// CellPoison reports that a call was refused, because its request is held to have crashed two backend servers.
func CellPoison() Event {
	return Event{2010, "cell_poison", logrus.ErrorLevel, "cell", "A call was refused, because its request is held to have crashed two backend servers."}
}

// CellSuspect reports that a suspect was given a backend server that runs nothing else.
func CellSuspect() Event {
	return Event{2011, "cell_suspect", logrus.InfoLevel, "cell", "A suspect was given a backend server that runs nothing else."}
}

// CellWithdrawn reports that a running copy of a request that became a suspect was cancelled.
func CellWithdrawn() Event {
	return Event{2012, "cell_withdrawn", logrus.InfoLevel, "cell", "A running copy of a request that became a suspect was cancelled; it runs alone later."}
}

// CellFrame reports that a piece of an answer was dropped.
func CellFrame() Event {
	return Event{2013, "cell_frame_dropped", logrus.DebugLevel, "cell", "A piece of an answer was dropped: it belongs to another request or attempt, or was delivered before."}
}

// CellBroken reports that an attempt sent a piece that does not continue the answer.
func CellBroken() Event {
	return Event{2014, "cell_answer_broken", logrus.WarnLevel, "cell", "An attempt sent a piece that does not continue the answer; the attempt was cancelled."}
}

// CellProbed reports that a queued call was given to a weighted-down backend server, to see whether it is well again.
func CellProbed() Event {
	return Event{2015, "cell_probed", logrus.InfoLevel, "cell", "A queued call was given to a weighted-down backend server, to see whether it is well again."}
}

// CellServers reports that the list of the cell's backend servers changed.
func CellServers() Event {
	return Event{2016, "cell_servers", logrus.InfoLevel, "cell", "The list of the cell's backend servers changed."}
}

// CellClosed reports that the cell was closed.
func CellClosed() Event {
	return Event{2017, "cell_closed", logrus.InfoLevel, "cell", "The cell was closed; queued calls were handed back, dispatched calls go on."}
}
