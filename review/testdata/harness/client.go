package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newID returns the ID of a consumer attempt.
func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// consumer is a connection of a consumer to a host.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
	// id is that of the last request.
	id string
}

// connect opens a connection; a consumer allows one second for it.
func connect(address string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (consumer *consumer) Close() { _ = consumer.conn.Close() }

// request is one consumer attempt.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	body                  string
	headers               []string
}

// Send sends a request.
func (consumer *consumer) Send(request request) error {
	var text strings.Builder
	fmt.Fprintf(&text, wire("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n{request id}: %s\r\n{deadline ms}: %d\r\n"), request.method, request.path, request.id, request.deadline.Milliseconds())
	if request.key != "" {
		fmt.Fprintf(&text, wire("{api key}: %s\r\n"), request.key)
	}
	for _, header := range request.headers {
		text.WriteString(header + "\r\n")
	}
	if request.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.body))
	}
	text.WriteString("\r\n" + request.body)
	consumer.id = request.id
	record("sent: %s %s, request %s, to %s", request.method, request.path, request.id, consumer.conn.RemoteAddr())
	_, err := io.WriteString(consumer.conn, text.String())
	return err
}

// Head reads the head of the answer.
func (consumer *consumer) Head(method string) (*http.Response, error) {
	response, err := http.ReadResponse(consumer.reader, &http.Request{Method: method})
	if err != nil {
		record("answered: request %s: no answer: %v", consumer.id, err)
		return nil, err
	}
	record("answered: request %s: %d", consumer.id, response.StatusCode)
	return response, nil
}

// event is one event of a stream.
type event struct {
	id   int
	data string
}

// readEvents reads the events of a stream until it ends. It reports whether the stream ended as a
// complete one.
func readEvents(body io.Reader, got func(event)) bool {
	reader := bufio.NewReader(body)
	var current event
	seen := false
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" {
			return !seen
		}
		if err != nil {
			return false
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && seen:
			got(current)
			current, seen = event{}, false
		case strings.HasPrefix(line, "id:"):
			current.id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
			seen = true
		case strings.HasPrefix(line, "data:"):
			current.data = strings.TrimSpace(line[5:])
			seen = true
		}
	}
}

// do sends one request on a new connection and reads the whole answer. The status is 0 if the
// connection ended without one.
func do(address string, request request) (status int, body string) {
	consumer, err := connect(address)
	if err != nil {
		return 0, err.Error()
	}
	defer consumer.Close()
	_ = consumer.conn.SetDeadline(time.Now().Add(request.deadline + 2*time.Second))
	if err := consumer.Send(request); err != nil {
		return 0, err.Error()
	}
	response, err := consumer.Head(request.method)
	if err != nil {
		return 0, err.Error()
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}
