package event

import "github.com/sirupsen/logrus"

// The numbers of the ledger's events.
const (
	LedgerWritten     = 4000
	LedgerConflict    = 4001
	LedgerUncertain   = 4002
	LedgerUnavailable = 4003
	LedgerFull        = 4004
	LedgerFaulty      = 4005
)

// Ledger returns the events of the ledger.
func Ledger() []Event {
	return []Event{
		{
			Number: LedgerWritten, Name: "ledger_written", Level: logrus.DebugLevel, Subsystem: "ledger",
			Text: "a batch of records is written to a ledger partition",
		},
		{
			Number: LedgerConflict, Name: "ledger_conflict", Level: logrus.WarnLevel, Subsystem: "ledger",
			Text: "another host wrote to the ledger partition; its records are loaded and the batch is decided again",
		},
		{
			Number: LedgerUncertain, Name: "ledger_uncertain", Level: logrus.WarnLevel, Subsystem: "ledger",
			Text: "the reply to a write to a ledger partition is lost; the records are read back",
		},
		{
			Number: LedgerUnavailable, Name: "ledger_unavailable", Level: logrus.WarnLevel, Subsystem: "ledger",
			Text: "the key-value service does not answer; calls that may not be repeated wait for it",
		},
		{
			Number: LedgerFull, Name: "ledger_full", Level: logrus.ErrorLevel, Subsystem: "ledger",
			Text: "a ledger partition is full; new calls that may not be repeated are not run",
		},
		{
			Number: LedgerFaulty, Name: "ledger_faulty", Level: logrus.ErrorLevel, Subsystem: "ledger",
			Text: "the value of a ledger partition cannot be decoded; its calls are not run",
		},
	}
}
