// Package cutter is the stand-in of a network device that ends connections. It answers
// requests with given bytes, of which it lets a number through.
package cutter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Way is how a device ends a connection.
type Way string

// The ways of a device.
const (
	// Close closes both directions in order.
	Close Way = "close"
	// Reset resets the connection.
	Reset Way = "reset"
	// Half closes the direction of the answer only; the other one stays open.
	Half Way = "half"
	// Silent passes nothing on any more, and closes in order after SilentFor.
	Silent Way = "silent"
)

// Ways returns all ways.
func Ways() []Way { return []Way{Close, Reset, Half, Silent} }

// SilentFor is how long a silent device keeps a connection.
const SilentFor = 50 * time.Millisecond

// Device is a device on a loopback address.
type Device struct {
	listener net.Listener
	// answer returns the whole answer to a request.
	answer   func(request *http.Request) []byte
	way      Way
	cut      atomic.Int64
	requests atomic.Int64
}

// New starts a device that answers each request with the bytes that answer returns. It fails if
// no port is free.
func New(way Way, answer func(request *http.Request) []byte) (*Device, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	device := &Device{listener: listener, answer: answer, way: way}
	go device.accept()
	return device, nil
}

// URL returns the address of the device.
func (device *Device) URL() string { return "http://" + device.listener.Addr().String() }

// CutAfter sets how many bytes of each following answer pass; a longer answer ends there.
func (device *Device) CutAfter(count int) { device.cut.Store(int64(count)) }

// Requests returns the number of requests that arrived as a whole.
func (device *Device) Requests() int64 { return device.requests.Load() }

// Close stops the device. Its connections end with their clients or within a second.
func (device *Device) Close() error { return device.listener.Close() }

func (device *Device) accept() {
	for {
		conn, err := device.listener.Accept()
		if err != nil {
			return
		}
		go device.serve(conn.(*net.TCPConn))
	}
}

// serve answers one request and ends the connection.
func (device *Device) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	device.requests.Add(1)
	answer := device.answer(request)
	answer = answer[:min(int64(len(answer)), device.cut.Load())]
	if _, err := conn.Write(answer); err != nil {
		return
	}
	switch device.way {
	case Reset:
		// A reset may overtake bytes that the peer has not read yet, as it does on a real path.
		_ = conn.SetLinger(0)
	case Half:
		_ = conn.CloseWrite()
		wait(conn, time.Second)
	case Silent:
		wait(conn, SilentFor)
	}
}

// wait waits until the peer ends the connection or a time has passed.
func wait(conn *net.TCPConn, span time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(span))
	_, _ = io.Copy(io.Discard, conn)
}

// Framing is how an answer marks the end of its body.
type Framing string

// The framings of an answer.
const (
	// Length gives the number of bytes ahead.
	Length Framing = "length"
	// Chunks ends with an empty chunk.
	Chunks Framing = "chunks"
	// Open ends with the connection.
	Open Framing = "open"
)

// Framings returns all framings.
func Framings() []Framing { return []Framing{Length, Chunks, Open} }

// Answer returns an answer in the format of HTTP/1.1 with a status such as "200 OK", and the
// number of its bytes up to the end of the body's last byte.
func Answer(framing Framing, status, body string) ([]byte, int) {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
	switch framing {
	case Length:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	case Chunks:
		// Two chunks, so that a cut may come between them.
		half := len(body) / 2
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if half > 0 {
			head += fmt.Sprintf("%x\r\n%s\r\n", half, body[:half])
		}
		head += fmt.Sprintf("%x\r\n", len(body)-half)
		return []byte(head + body[half:] + "\r\n0\r\n\r\n"), len(head) + len(body) - half
	case Open:
		head += "Connection: close\r\n\r\n"
	}
	return []byte(head + body), len(head) + len(body)
}
