package logs

import (
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
)

// Counter counts lines that are missing.
type Counter interface {
	AddToCounter(name, tag, tagValue string, delta int64)
}

// ReportSuppressed logs and counts the lines that the limit of a logger has suppressed since the last call. Of
// lines on outcomes it also reports those that the output has dropped, which OnDropped counts.
func ReportSuppressed(logger *event.Logger, counter Counter) {
	for name, lines := range logger.TakeSuppressed() {
		logger.Log(event.LinesSuppressed(), logrus.Fields{"of_event": name, "lines": lines})
		counter.AddToCounter("log_lines_dropped", "reason", "limit", int64(lines))
	}
	for _, missing := range logger.TakeSuppressedOutcomes() {
		logger.Log(event.OutcomesSuppressed(), logrus.Fields{
			"of_event": missing.Event, "cause": missing.Cause, "second": missing.Second.Format(time.RFC3339), "lines": missing.Lines,
		})
		if missing.Cause == event.ByLimit {
			counter.AddToCounter("log_lines_dropped", "reason", "limit", int64(missing.Lines))
		}
	}
}
