package front

import (
	"net/http"
	"time"

	"primrosegw/core/ending"
	"primrosegw/core/fleet"
	"primrosegw/core/work"
	"primrosegw/io/pipe"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// ID is the caller's id for this attempt. The backend server returns it in the
	// response.
	ID string
	// Key is the caller's API key.
	Key string
	// Timeout is how long the caller waits for the response; 0: not given.
	Timeout time.Duration
	// PromptTokens and OutputTokens are the sizes of a model request.
	PromptTokens int
	OutputTokens int
	Parts        []work.Part
	// LastEventID is the id of the event after which a stream resumes; empty: the
	// stream starts from the beginning.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream; empty: not given.
	Resumes string
}

// ForwardInfo is the information that a host adds to the caller's headers for a
// backend server.
type ForwardInfo struct {
	Server    fleet.Server
	Workspace string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// LastEventID is the id of the event after which a stream resumes; empty: the
	// one in the caller's headers applies.
	LastEventID string
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to.
	ID string
	// Signed: the response carries the server's signature.
	Signed bool
	// NotRun: the server states that it did not run the request.
	NotRun bool
	// Load is the load that the server reports; nil: not reported.
	Load *fleet.Load
	// RateLimit is the number of requests per second that the server accepts from all hosts
	// together; 0: it names none.
	RateLimit float64
	// Brittle is the number of requests that the server can turn away within a second for want of room; with
	// one more it falls over. 0: it does not say that it is brittle.
	Brittle int
	// NoRoom: the server turned the request away for want of room.
	NoRoom bool
	// Leaving: the server says that it is leaving.
	Leaving bool
	// RetryAfter is the time for which a server that turned the request away wants none of this
	// host; 0: it names none.
	RetryAfter time.Duration
	// Instance is the ID of the server that responds, empty if it does not say so.
	Instance string
}

// ServerReport is what a server says of itself.
type ServerReport struct {
	// Started is when its process started; zero: it does not say so.
	Started time.Time
	// Runs are the requests that ran there a moment before.
	Runs []ServerRun
}

// ServerRun is a request that runs at a server.
type ServerRun struct {
	RequestID string
	// Events is the number of events that the run has made.
	Events int
}

// eventsOf returns the number of events that the run of a request has made, or ending.NotListed if
// the report does not have it.
func (report ServerReport) eventsOf(requestID string) int {
	for _, run := range report.Runs {
		if run.RequestID == requestID {
			return run.Events
		}
	}
	return ending.NotListed
}

// HeaderCodec reads and writes the headers of the platform's protocol.
type HeaderCodec interface {
	ParseRequest(header http.Header) (RequestInfo, error)
	// ForwardHeader returns the headers of the request to a backend server.
	ForwardHeader(caller http.Header, info ForwardInfo) http.Header
	ParseResponse(status int, header http.Header) ResponseInfo
	// ReportRequest returns a request that asks a server about itself. ParseReport decodes its response.
	ReportRequest(server fleet.Server) pipe.Request
	ParseReport(body []byte) ServerReport
	// HealthRequest returns a request for the health path of a server. The response may say which
	// server it is: ResponseInfo.Instance.
	HealthRequest(server fleet.Server, path string) pipe.Request
	// SetRetryAfter sets the header that tells callers when to retry.
	SetRetryAfter(header http.Header, after time.Duration)
}
