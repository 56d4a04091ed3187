package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/pick"
	"primrosegw/core/work"
)

const (
	// shareOfPatience is the part of the time left within which callers come
	// back when they are told to.
	shareOfPatience = 3
	// comeBackSoon is when a caller may try another host or server.
	comeBackSoon = 50 * time.Millisecond
)

// refusal is an answer of the host itself.
type refusal struct {
	status int
	// reason names the cause in the log and in the answer.
	reason string
	detail string
	// after is when the caller may come back; 0: soon.
	after time.Duration
	// choice is what an overload was found at; nil for other reasons.
	choice *pick.Choice
}

// unserved is the answer to a request that no backend server has answered.
// Only a request that is certain not to have run is answered 503.
func unserved(state work.State, late bool, reason string) refusal {
	switch {
	case state.NotRun():
		return refusal{status: http.StatusServiceUnavailable, reason: reason}
	case late:
		return refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return refusal{status: http.StatusBadGateway, reason: reason}
}

// refuse answers the caller itself.
func (call *call) refuse(refusal refusal) {
	now := time.Now()
	header := call.writer.Header()
	header.Set("Content-Type", "application/json")
	after := time.Duration(0)
	if refusal.status == http.StatusServiceUnavailable {
		after = call.comeBack(refusal.after, now)
		call.front.options.Wire.RetryAfter(header, after)
	}
	fields := logrus.Fields{
		"route": call.work.Route.Name, "workspace": call.work.Workspace, "status": refusal.status, "reason": refusal.reason,
		"state": call.state, "attempts": call.reached, "waited_ms": now.Sub(call.work.Received).Milliseconds(),
		"retry_after_ms": after.Milliseconds(), "table_version": call.version(), "proof_age_ms": call.proofAge(),
	}
	if refusal.choice != nil {
		fields["server"], fields["first_ms"] = refusal.choice.Member.ID, refusal.choice.FirstEvent.Milliseconds()
		fields["over"], fields["objective_ms"] = refusal.choice.Candidates, call.work.Route.Objective.Milliseconds()
	}
	call.log(event.RequestTurnedAway(), fields)
	call.end(refusal.reason, 0)
	body, err := json.Marshal(struct {
		Error  string     `json:"error"`
		Detail string     `json:"detail,omitempty"`
		State  work.State `json:"state"`
	}{refusal.reason, refusal.detail, call.state})
	if err != nil {
		body = []byte("{}")
	}
	call.writer.WriteHeader(refusal.status)
	// The caller may have gone; there is nobody to tell.
	_, _ = call.writer.Write(body)
}

// comeBack bounds the time after which a caller comes back by what it accepts.
func (call *call) comeBack(after time.Duration, now time.Time) time.Duration {
	if after <= 0 {
		after = comeBackSoon
	}
	if call.work.Deadline.IsZero() {
		return after
	}
	return max(0, min(after, call.work.Remaining(now)/shareOfPatience))
}

func (call *call) version() int64 {
	if call.table == nil {
		return 0
	}
	return call.table.Version
}

func (call *call) proofAge() int64 {
	age, _ := call.front.options.Proof.Age(call.front.options.Now())
	return age.Milliseconds()
}
