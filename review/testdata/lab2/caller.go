package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one consumer attempt.
type request struct {
	gateway *gateway
	method  string
	path    string
	body    string
	// deadline is how long the consumer waits.
	deadline time.Duration
	// lastEventID and resumes are set by a consumer that takes a stream up.
	lastEventID, resumes string
	parts                string
	// onEvent is called with the ID of each event of a stream.
	onEvent func(id string)
}

// result is what a consumer has seen.
type result struct {
	id     string
	status int
	signed string
	body   []byte
	// isWhole: the answer ended as a complete one does. isUnframed: it had neither a length nor chunks.
	isWhole, isUnframed bool
	events              []string
	err                 error
}

// describe returns the result for the record.
func (result result) describe() string {
	text := fmt.Sprintf("status %d, signature %q, %d bytes, events %s", result.status, result.signed, len(result.body), strings.Join(result.events, ","))
	switch {
	case result.err != nil:
		return text + ", " + result.err.Error()
	case result.isWhole:
		return text + ", ended in order"
	}
	return text + ", broken off"
}

// newID returns the ID of a consumer attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one attempt on a new connection and waits for its end.
func (lab *lab) send(attempt request) result {
	outcome := result{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), attempt.deadline)
	defer cancel()
	transport := &http.Transport{
		DisableCompression: true, DisableKeepAlives: false,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", attempt.gateway.frontend())
		},
	}
	defer transport.CloseIdleConnections()
	sent, err := http.NewRequestWithContext(ctx, attempt.method, "http://"+hostHeader+attempt.path, strings.NewReader(attempt.body))
	if err != nil {
		outcome.err = err
		return outcome
	}
	lab.prepare(sent, attempt, outcome.id)
	lab.note("consumer %s sends %s %s to %s, last event %q of %q", outcome.id, attempt.method, attempt.path, attempt.gateway.name, attempt.lastEventID, attempt.resumes)
	response, err := transport.RoundTrip(sent)
	if err != nil {
		outcome.err = err
		lab.note("consumer %s gets %s", outcome.id, outcome.describe())
		return outcome
	}
	defer response.Body.Close()
	outcome.status, outcome.signed = response.StatusCode, response.Header.Get(wire("engine_signature"))
	outcome.isUnframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	outcome.read(response.Body, attempt.onEvent)
	lab.note("consumer %s gets %s", outcome.id, outcome.describe())
	return outcome
}

// prepare sets the headers of an attempt.
func (lab *lab) prepare(sent *http.Request, attempt request, id string) {
	header := sent.Header
	header.Set(wire("request_id"), id)
	header.Set(wire("deadline_ms"), strconv.FormatInt(attempt.deadline.Milliseconds(), 10))
	header.Set(wire("api_key"), tenantKey)
	header.Set("User-Agent", "")
	if attempt.parts != "" {
		header.Set("Model", "m")
		header.Set(wire("token_usage"), "100,60")
		header.Set(wire("prefix_hash"), attempt.parts)
	}
	if attempt.lastEventID != "" {
		header.Set(wire("last_event_id"), attempt.lastEventID)
		header.Set(wire("resumes"), attempt.resumes)
	}
}

// read reads the body to its end, event by event if it is a stream.
func (result *result) read(body io.Reader, onEvent func(id string)) {
	buffer, taken := make([]byte, 4096), 0
	for {
		count, err := body.Read(buffer)
		result.body = append(result.body, buffer[:count]...)
		for onEvent != nil {
			end := bytes.Index(result.body[taken:], []byte("\n\n"))
			if end < 0 {
				break
			}
			id, _, _ := strings.Cut(strings.TrimPrefix(string(result.body[taken:taken+end]), "id: "), "\n")
			taken += end + 2
			result.events = append(result.events, id)
			onEvent(id)
		}
		if errors.Is(err, io.EOF) {
			result.isWhole = true
			return
		}
		if err != nil {
			result.err = err
			return
		}
	}
}
