package event

import "github.com/sirupsen/logrus"

// LedgerEvents returns the events of the ledger.
func LedgerEvents() []Event {
	return []Event{
		LedgerWritten(),
		LedgerConflict(),
		LedgerUncertain(),
		LedgerUnavailable(),
		LedgerFull(),
		LedgerFaulty(),
	}
}

// LedgerWritten reports that a batch of records was written to a ledger
// partition.
func LedgerWritten() Event {
	return Event{4000, "ledger_written", logrus.DebugLevel, "ledger", "A batch of records was written to a ledger partition."}
}

// LedgerConflict reports that another host wrote to the ledger partition; its
// records are loaded and the batch is evaluated again.
func LedgerConflict() Event {
	return Event{4001, "ledger_conflict", logrus.WarnLevel, "ledger", "Another host wrote to the ledger partition; its records are loaded and the batch is evaluated again."}
}

// LedgerUncertain reports that the response to a write to a ledger partition
// was lost; the records are read back.
func LedgerUncertain() Event {
	return Event{4002, "ledger_uncertain", logrus.WarnLevel, "ledger", "The response to a write to a ledger partition was lost; the records are read back."}
}

// LedgerUnavailable reports that the key-value service does not respond; calls
// that must not be repeated wait for it.
func LedgerUnavailable() Event {
	return Event{4003, "ledger_unavailable", logrus.WarnLevel, "ledger", "The key-value service does not respond; calls that must not be repeated wait for it."}
}

// LedgerFull reports that a ledger partition is full; new calls that must not
// be repeated are not run.
func LedgerFull() Event {
	return Event{4004, "ledger_full", logrus.ErrorLevel, "ledger", "A ledger partition is full; new calls that must not be repeated are not run."}
}

// LedgerFaulty reports that the value of a ledger partition cannot be decoded;
// its calls are not run.
func LedgerFaulty() Event {
	return Event{4005, "ledger_faulty", logrus.ErrorLevel, "ledger", "The value of a ledger partition cannot be decoded; its calls are not run."}
}
