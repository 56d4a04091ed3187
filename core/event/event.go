// Package event is the catalogue of numbered log events and the logger that
// writes them.
package event

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event in logs; it never changes or moves.
	Number int
	// Name is the event's name in snake case.
	Name string
	// Level is the log level it is written at.
	Level logrus.Level
	// Subsystem groups events; debug events show only when it is switched on.
	Subsystem string
	// Text explains the event to operators.
	Text string
}

// All lists every event of the catalogue, in the order of the numbers.
func All() []Event {
	all := slices.Concat(EntryEvents(), CellEvents(), MemberEvents(), HeadsEvents(), LedgerEvents(), OrderEvents(), GatewayEvents())
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Logger writes events of one host.
type Logger struct {
	log        *logrus.Logger
	host       string
	subsystems map[string]bool
	limiter    limiter
}

// New returns a logger that writes JSON lines. Debug events are written for the
// named subsystems only.
func New(out io.Writer, host string, level logrus.Level, subsystems []string) *Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.SetLevel(level)
	enabled := make(map[string]bool, len(subsystems))
	for _, subsystem := range subsystems {
		enabled[subsystem] = true
	}
	return &Logger{log: log, host: host, subsystems: enabled, limiter: limiter{windows: make(map[string]*window)}}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, "", logrus.PanicLevel, nil)
}

// SetLevel changes the level of a running logger.
func (logger *Logger) SetLevel(level logrus.Level) { logger.log.SetLevel(level) }

// Limit bounds the lines of each event in a second. What is above is counted and
// returned by TakeSuppressed.
func (logger *Logger) Limit(perSecond int) {
	logger.limiter.mutex.Lock()
	defer logger.limiter.mutex.Unlock()
	logger.limiter.most = perSecond
}

// TakeSuppressed returns how many lines of which events were left out since the
// last call.
func (logger *Logger) TakeSuppressed() map[string]int { return logger.limiter.take() }

// Enabled reports whether an event would be written. Callers check it before
// they build costly fields.
func (logger *Logger) Enabled(event Event) bool {
	if event.Level >= logrus.DebugLevel && logger.subsystems[event.Subsystem] {
		return true
	}
	return logger.log.IsLevelEnabled(event.Level)
}

// Log writes one event. The event's name is in the field event_name: callers
// log the name of a host or a server in the field name.
func (logger *Logger) Log(event Event, fields logrus.Fields) {
	if !logger.Enabled(event) || !logger.limiter.allow(event.Name, time.Now()) {
		return
	}
	entry := logger.log.WithFields(fields).WithFields(logrus.Fields{
		"event": event.Number, "event_name": event.Name, "subsystem": event.Subsystem, "host": logger.host,
	})
	level := event.Level
	if !logger.log.IsLevelEnabled(level) {
		// A subsystem switched on shows its debug events at the info level.
		level = logrus.InfoLevel
	}
	entry.Log(level, event.Text)
}
