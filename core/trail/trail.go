// Package trail follows one request through the logs of hosts and tells what
// became of it and why.
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

// Kind is the sort of a trail error.
type Kind string

// The kinds of trail errors.
const (
	// Unreadable: a log can't be read.
	Unreadable Kind = "unreadable"
	// Unknown: no log has a line with the request's id.
	Unknown Kind = "unknown"
	// Incomplete: the logs have no line with the request's end.
	Incomplete Kind = "incomplete"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// longestLine bounds a line of a log.
	longestLine = 1 << 20
	// around is how far from a request's lines an event of its host or servers is
	// still told.
	around = 5 * time.Second
)

// Line is one event of a log.
type Line struct {
	Host      string    `json:"host"`
	Name      string    `json:"event_name"`
	Time      time.Time `json:"time"`
	RequestID string    `json:"request_id"`
	Server    string    `json:"server"`
	// Fields are all fields as they were written.
	Fields map[string]any `json:"-"`
}

// Read returns the events of a log. What stands before the first brace of a
// line, a time stamp of a collector say, and lines that are no events are passed
// over. It fails with Unreadable.
func Read(log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), longestLine)
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

// Story is what the logs say of a request.
type Story struct {
	ID string
	// Lines are the request's own events, in order.
	Lines []Line
	// Context are events of its host and servers at that time.
	Context []Line
	// Verdict says what became of the request and why, in one sentence.
	Verdict string
}

// Tell collects the story of a request. It fails with Unknown, or with
// Incomplete and the story so far.
func Tell(lines []Line, id string) (Story, error) {
	story := Story{ID: id}
	servers, hosts := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.RequestID != id {
			continue
		}
		story.Lines = append(story.Lines, line)
		hosts[line.Host] = true
		if line.Server != "" {
			servers[line.Server] = true
		}
	}
	if len(story.Lines) == 0 {
		return story, fault.New("trail.tell", Unknown, "no line has the request id "+id)
	}
	order(story.Lines)
	first, last := story.Lines[0].Time.Add(-around), story.Lines[len(story.Lines)-1].Time.Add(around)
	for _, line := range lines {
		near := !line.Time.Before(first) && !line.Time.After(last)
		if line.RequestID == "" && near && hosts[line.Host] && (line.Server == "" && telling(line.Name) || servers[line.Server]) {
			story.Context = append(story.Context, line)
		}
	}
	order(story.Context)
	verdict, ended := judge(story.Lines)
	story.Verdict = verdict
	if !ended {
		return story, fault.New("trail.tell", Incomplete, "the logs have no end of request "+id+"; the host may have been killed, or lines were dropped")
	}
	return story, nil
}

func order(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

// telling reports whether an event of a host may explain what became of its
// requests.
func telling(name string) bool {
	return slices.Contains([]string{
		"store_lost", "store_regained", "proof_lost", "proof_regained", "table_adopted", "table_rejected", "history_gone",
		"gateway_started", "gateway_draining", "gateway_stopped", "lines_dropped",
	}, name)
}

// judge says what became of a request, and whether its end is among the lines.
func judge(lines []Line) (string, bool) {
	for _, line := range slices.Backward(lines) {
		switch line.Name {
		case "request_turned_away":
			return turnedAway(line, lines), true
		case "request_ended":
			return ended(line), true
		case "answer_broken":
			return fmt.Sprintf("The answer broke off after %v events: %s.", line.Fields["events"], cause(lines)), true
		case "caller_left":
			return fmt.Sprintf("The caller left after %v ms; the work was cancelled.", line.Fields["after_ms"]), true
		}
	}
	return "The request has no end in these logs.", false
}

func turnedAway(line Line, lines []Line) string {
	status := line.Fields["status"]
	switch line.Fields["reason"] {
	case "overload":
		return fmt.Sprintf("Refused with %v at overload: the best of %v servers, %s, was predicted to begin after %v ms, the objective is %v ms. It has not run.",
			status, line.Fields["over"], line.Server, line.Fields["first_ms"], line.Fields["objective_ms"])
	case "table_unconfirmed":
		return fmt.Sprintf("Refused with %v: the configuration was last confirmed %v ms before, too long for its key to be trusted.", status, line.Fields["proof_age_ms"])
	}
	if why := cause(lines); why != "" {
		return fmt.Sprintf("Answered %v (%v): %s.", status, line.Fields["reason"], why)
	}
	return fmt.Sprintf("Answered %v by the host itself: %v.", status, line.Fields["reason"])
}

// cause names the last attempt that failed.
func cause(lines []Line) string {
	for _, line := range slices.Backward(lines) {
		if line.Name == "attempt_ended" {
			text := fmt.Sprintf("server %s, result %v after %v ms, the request is %v", line.Server, line.Fields["result"], line.Fields["after_ms"], line.Fields["state"])
			if reason, ok := line.Fields["error"].(string); ok {
				text += ", " + reason
			}
			return text
		}
	}
	return ""
}

func ended(line Line) string {
	var late []string
	for _, one := range []struct{ measured, objective, what string }{
		{"first_ms", "objective_ms", "the first event came after %v ms, the objective is %v ms"},
		{"gap_ms", "gap_objective_ms", "the longest pause was %v ms, the objective is %v ms"},
	} {
		measured, _ := line.Fields[one.measured].(float64)
		objective, _ := line.Fields[one.objective].(float64)
		if objective > 0 && measured > objective {
			late = append(late, fmt.Sprintf(one.what, measured, objective))
		}
	}
	text := fmt.Sprintf("Answered %v by server %s in %v ms", line.Fields["status"], line.Server, line.Fields["total_ms"])
	if len(late) > 0 {
		return text + ", late: " + strings.Join(late, "; ") + "."
	}
	return text + "."
}

// Write prints a story for a person.
func (story Story) Write(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n\n", story.ID, story.Verdict)
	writeLines(&text, story.Lines)
	if len(story.Context) > 0 {
		text.WriteString("\nat the same time:\n\n")
		writeLines(&text, story.Context)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func writeLines(text *strings.Builder, lines []Line) {
	for _, line := range lines {
		fmt.Fprintf(text, "%s %s %s%s\n", line.Time.Format("15:04:05.000"), line.Host, line.Name, fields(line))
	}
}

// fields prints what a line says beyond what all lines have.
func fields(line Line) string {
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
