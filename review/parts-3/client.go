package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const frontName = "ficu95.example"

// sent is a request of a consumer with what came of it.
type sent struct {
	id     string
	host   string
	at     time.Time
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

var (
	requestNumber atomic.Int64
	idPrefix      = fmt.Sprintf("%x", time.Now().UnixNano()&0xffffff)
)

// send sends a request on a connection of its own.
func send(record *record, to, method, path, key string, timeout time.Duration, body string, header http.Header) sent {
	call := sent{id: fmt.Sprintf("%s-%04d", idPrefix, requestNumber.Add(1)), host: to, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = frontName
	request.Header.Set(wire("request_id"), call.id)
	request.Header.Set(wire("deadline_ms"), fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		request.Header.Set(wire("api_key"), key)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	record.note("%s sent to %s: %s %s key %q", call.id, to, method, path, key)
	response, err := transport.RoundTrip(request)
	if err != nil {
		call.err = err
	} else {
		call.status, call.header = response.StatusCode, response.Header
		var data []byte
		data, call.err = io.ReadAll(response.Body)
		call.body = string(data)
		_ = response.Body.Close()
	}
	call.took = time.Since(call.at)
	record.note("%s answered after %d ms: status %d, %d bytes, signature %q, error %v", call.id, call.took.Milliseconds(), call.status, len(call.body), call.header.Get(wire("engine_signature")), call.err)
	return call
}
