// Package event defines the catalogue of numbered log events, and the logger that
// writes them.
package event

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is an entry of the catalogue.
type Event struct {
	// Number identifies the event in logs. It never changes and is never reused.
	Number int
	// Name is the event's name in snake case.
	Name string
	// Level is the level at which the event is logged.
	Level logrus.Level
	// Subsystem groups events. Debug events can be enabled by subsystem.
	Subsystem string
	// Text is the log message, which explains the event to operators.
	Text string
}

// All returns all events of the catalogue, sorted by number.
func All() []Event {
	all := slices.Concat(EntryEvents(), CellEvents(), MemberEvents(), HeadsEvents(), LedgerEvents(), OrderEvents(), GatewayEvents())
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Logger writes the events of a host.
type Logger struct {
	log *logrus.Logger
	// outcomes writes the events that end requests, by name. Nil: log does.
	outcomes   map[string]*logrus.Logger
	host       string
	subsystems map[string]bool
	limiter    limiter
}

// New returns a logger that writes JSON lines. For the given subsystems, it also
// writes debug events if the level is above debug.
func New(out io.Writer, host string, level logrus.Level, subsystems []string) *Logger {
	log := newLog(out, level)
	enabled := make(map[string]bool, len(subsystems))
	for _, subsystem := range subsystems {
		enabled[subsystem] = true
	}
	return &Logger{log: log, host: host, subsystems: enabled, limiter: limiter{windows: make(map[string]*window), outcomes: make(map[SuppressedOutcomes]int)}}
}

func newLog(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.SetLevel(level)
	return log
}

// Discard returns a logger that discards all events.
func Discard() *Logger {
	return New(io.Discard, "", logrus.PanicLevel, nil)
}

// SetLevel changes the log level. It can be called while the logger is in use.
func (logger *Logger) SetLevel(level logrus.Level) {
	logger.log.SetLevel(level)
	for _, log := range logger.outcomes {
		log.SetLevel(level)
	}
}

// SetLineLimit sets the maximum number of lines per second for each event. Events that end
// requests get outcomeFactor times as many. Lines above it are suppressed and counted;
// see TakeSuppressed and TakeSuppressedOutcomes.
func (logger *Logger) SetLineLimit(perSecond int) {
	logger.limiter.mutex.Lock()
	defer logger.limiter.mutex.Unlock()
	logger.limiter.maxLines = perSecond
}

// TakeSuppressed returns the number of suppressed lines by event name, except those on
// outcomes, and resets the counts.
func (logger *Logger) TakeSuppressed() map[string]int { return logger.limiter.takeSuppressed() }

// Enabled reports whether an event would be written, regardless of the line limit.
// Callers check it before they compute expensive fields.
func (logger *Logger) Enabled(event Event) bool {
	if event.Level >= logrus.DebugLevel && logger.subsystems[event.Subsystem] {
		return true
	}
	return logger.log.IsLevelEnabled(event.Level)
}

// Log writes an event. The field for the event's name is event_name, because callers
// use the field name for the names of hosts and servers.
func (logger *Logger) Log(event Event, fields logrus.Fields) {
	if !logger.Enabled(event) || !logger.limiter.allow(event, time.Now()) {
		return
	}
	entry := logger.logOf(event).WithFields(fields).WithFields(logrus.Fields{
		"event": event.Number, "event_name": event.Name, "subsystem": event.Subsystem, "host": logger.host,
	})
	level := event.Level
	if !logger.log.IsLevelEnabled(level) {
		// The debug events of an enabled subsystem are logged at info level.
		level = logrus.InfoLevel
	}
	entry.Log(level, event.Text)
}
