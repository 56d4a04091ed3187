package event

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// EndsRequest reports whether a line of the event says how a request ended, or how many such lines are missing.
func (event Event) EndsRequest() bool {
	switch event.Number {
	case RequestEnded().Number, RequestTurnedAway().Number, CallerLeft().Number, AnswerBroken().Number, RequestCut().Number,
		RequestDone().Number, RequestRefused().Number, CallerGone().Number,
		LinesDropped().Number, LinesSuppressed().Number, OutcomesSuppressed().Number:
		return true
	}
	return false
}

// Cause says why lines on outcomes are missing.
type Cause string

const (
	// ByLimit says that there were more than the limit of a second.
	ByLimit Cause = "limit"
	// ByOutput says that the output did not take them in time.
	ByOutput Cause = "output"
)

// SuppressedOutcomes are the missing lines of one event that ends requests.
type SuppressedOutcomes struct {
	Event string
	Cause Cause
	// Second is the start of the second in which the lines would have been written.
	Second time.Time
	Lines  int
}

// addOutcome counts a missing line. The caller holds the mutex.
func (limiter *limiter) addOutcome(event string, cause Cause, now time.Time) {
	limiter.outcomes[SuppressedOutcomes{Event: event, Cause: cause, Second: now.UTC().Truncate(time.Second)}]++
}

// TakeSuppressedOutcomes returns the missing lines on outcomes, in order of time, and resets the counts.
func (logger *Logger) TakeSuppressedOutcomes() []SuppressedOutcomes {
	logger.limiter.mutex.Lock()
	defer logger.limiter.mutex.Unlock()
	var taken []SuppressedOutcomes
	for missing, lines := range logger.limiter.outcomes {
		missing.Lines = lines
		taken = append(taken, missing)
	}
	clear(logger.limiter.outcomes)
	slices.SortFunc(taken, func(a, b SuppressedOutcomes) int {
		return cmp.Or(a.Second.Compare(b.Second), cmp.Compare(a.Event, b.Event), cmp.Compare(a.Cause, b.Cause))
	})
	return taken
}

// SetOutcomeOutput makes the events that end requests be written to outputs of their own, which call onDropped
// for each line that they drop. It must be called before the logger is used.
func (logger *Logger) SetOutcomeOutput(open func(onDropped func()) io.Writer) {
	logger.outcomes = make(map[string]*logrus.Logger)
	for _, event := range All() {
		if event.EndsRequest() {
			logger.outcomes[event.Name] = newLog(open(func() { logger.recordDropped(event.Name) }), logger.log.GetLevel())
		}
	}
}

// recordDropped counts a line that the output has dropped.
func (logger *Logger) recordDropped(event string) {
	logger.limiter.mutex.Lock()
	defer logger.limiter.mutex.Unlock()
	logger.limiter.addOutcome(event, ByOutput, time.Now())
}

// logOf returns what writes an event.
func (logger *Logger) logOf(event Event) *logrus.Logger {
	if log := logger.outcomes[event.Name]; log != nil {
		return log
	}
	return logger.log
}
