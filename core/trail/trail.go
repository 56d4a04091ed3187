// Package trail traces a request through the logs of the hosts, and reports its
// outcome and the reason for it.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package.
const (
	// Unreadable: a log could not be read.
	Unreadable Kind = "unreadable"
	// Unknown: no log line has the request ID.
	Unknown Kind = "unknown"
	// Incomplete: the logs don't contain the end of the request.
	Incomplete Kind = "incomplete"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextWindow is the time before and after a request's events in which events
	// of its hosts and servers are included in the report.
	contextWindow = 5 * time.Second
)

// Line is a log line that holds an event.
type Line struct {
	Host      string    `json:"host"`
	Name      string    `json:"event_name"`
	Time      time.Time `json:"time"`
	RequestID string    `json:"request_id"`
	Server    string    `json:"server"`
	// Fields are all fields of the line.
	Fields map[string]any `json:"-"`
}

// Read returns the events in a log. It skips lines that are not events, and in each
// line any text before the first brace, such as the timestamp of a log collector. It
// fails with Unreadable.
func Read(log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		text := scanner.Bytes()[start:]
		var line Line
		if json.Unmarshal(text, &line) != nil || line.Name == "" || json.Unmarshal(text, &line.Fields) != nil {
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap("trail.read", Unreadable, err)
	}
	return lines, nil
}

// Report describes a request as recorded in the logs.
type Report struct {
	ID string
	// Lines are the events of the request, ordered by time.
	Lines []Line
	// Context holds events of its hosts and servers at about the same time.
	Context []Line
	// Outcome describes the outcome of the request and its reason.
	Outcome string
}

// Explain collects the report on a request. It fails with Unknown, or with
// Incomplete; in the latter case, the report holds what was found.
func Explain(lines []Line, id string) (Report, error) {
	report := Report{ID: id}
	servers, hosts := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.RequestID != id {
			continue
		}
		report.Lines = append(report.Lines, line)
		hosts[line.Host] = true
		if line.Server != "" {
			servers[line.Server] = true
		}
	}
	if len(report.Lines) == 0 {
		return report, fault.New("trail.tell", Unknown, "no log line has the request ID "+id)
	}
	sortByTime(report.Lines)
	from, until := report.Lines[0].Time.Add(-contextWindow), report.Lines[len(report.Lines)-1].Time.Add(contextWindow)
	for _, line := range lines {
		inWindow := !line.Time.Before(from) && !line.Time.After(until)
		if line.RequestID == "" && inWindow && hosts[line.Host] && (line.Server == "" && affectsRequests(line.Name) || servers[line.Server]) {
			report.Context = append(report.Context, line)
		}
	}
	sortByTime(report.Context)
	verdict, ended := outcomeOf(report.Lines)
	report.Outcome = verdict
	if !ended {
		return report, fault.New("trail.tell", Incomplete, "the logs don't contain the end of request "+id+"; the host may have been killed, or lines were dropped")
	}
	return report, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// affectsRequests reports whether an event of a host can be the reason for the
// outcome of its requests.
func affectsRequests(name string) bool {
	return slices.Contains([]string{
		"host_cut_off", "host_regained", "store_lost", "store_regained", "proof_lost", "proof_regained", "table_adopted", "table_rejected", "history_gone",
		"gateway_started", "gateway_draining", "gateway_stopped", "lines_dropped", "outcomes_suppressed", "quarantine_started", "quarantine_ended",
	}, name)
}

// outcomeOf describes the outcome of a request, and reports whether the lines contain
// its end.
func outcomeOf(lines []Line) (string, bool) {
	for _, line := range slices.Backward(lines) {
		switch line.Name {
		case "request_turned_away":
			return answeredByHost(line, lines), true
		case "request_ended":
			return answeredByServer(line), true
		case "answer_broken":
			return fmt.Sprintf("The response was cut off after %v events: %s.", line.Fields["events"], lastFailedAttempt(lines)), true
		case "request_cut":
			// The outcome of a response that was cut off tells more.
			if line.Fields["reason"] != "request_broken" {
				return fmt.Sprintf("The host closed the client's connection before the client had its answer, after %v ms: %v.", line.Fields["after_ms"], line.Fields["reason"]), true
			}
		case "caller_left":
			return fmt.Sprintf("The client disconnected after %v ms; the request was cancelled.", line.Fields["after_ms"]), true
		}
	}
	return "The logs don't contain the end of the request.", false
}

// answeredByHost describes a request that the host answered itself.
func answeredByHost(line Line, lines []Line) string {
	status := line.Fields["status"]
	switch line.Fields["reason"] {
	case "overload":
		return fmt.Sprintf("Refused with %v because of overload: the best of %v servers, %s, had a predicted wait of %v ms, the objective is %v ms. The request was not run.",
			status, line.Fields["over"], line.Server, line.Fields["first_ms"], line.Fields["objective_ms"])
	case "table_unconfirmed":
		return fmt.Sprintf("Refused with %v: the configuration was last confirmed %v ms before, too long ago to trust its keys.", status, line.Fields["proof_age_ms"])
	}
	if attempt := lastFailedAttempt(lines); attempt != "" {
		return fmt.Sprintf("Answered %v (%v): %s.", status, line.Fields["reason"], attempt)
	}
	return fmt.Sprintf("Answered %v by the host itself: %v.", status, line.Fields["reason"])
}

// lastFailedAttempt describes the last failed attempt, or returns an empty string if
// there is none.
func lastFailedAttempt(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		if line.Name == "attempt_ended" {
			text := fmt.Sprintf("server %s, result %v after %v ms, request state %v", line.Server, line.Fields["result"], line.Fields["after_ms"], line.Fields["state"])
			if reason, ok := line.Fields["error"].(string); ok {
				text += ", error: " + reason
			}
			return text
		}
	}
	return ""
}

// answeredByServer describes a request that was answered with the response of a
// backend server, and any latency objectives that it missed.
func answeredByServer(line Line) string {
	var late []string
	for _, check := range []struct{ measured, objective, format string }{
		{"first_ms", "objective_ms", "the first event came after %v ms, the objective is %v ms"},
		{"gap_ms", "gap_objective_ms", "the longest gap between events was %v ms, the objective is %v ms"},
	} {
		measured, _ := line.Fields[check.measured].(float64)
		objective, _ := line.Fields[check.objective].(float64)
		if objective > 0 && measured > objective {
			late = append(late, fmt.Sprintf(check.format, measured, objective))
		}
	}
	text := fmt.Sprintf("Answered %v by server %s in %v ms", line.Fields["status"], line.Server, line.Fields["total_ms"])
	if len(late) > 0 {
		return text + ", late: " + strings.Join(late, "; ") + "."
	}
	return text + "."
}

// Write prints the report in readable form.
func (report Report) Write(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n\n", report.ID, report.Outcome)
	writeLines(&text, report.Lines)
	if len(report.Context) > 0 {
		text.WriteString("\nat the same time:\n\n")
		writeLines(&text, report.Context)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func writeLines(text *strings.Builder, lines []Line) {
	for _, line := range lines {
		fmt.Fprintf(text, "%s %s %s%s\n", line.Time.Format("15:04:05.000"), line.Host, line.Name, formatFields(line))
	}
}

// formatFields formats the fields of a line, except those that every line has.
func formatFields(line Line) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		if !slices.Contains([]string{"event", "event_name", "host", "level", "msg", "subsystem", "time", "request_id"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}
