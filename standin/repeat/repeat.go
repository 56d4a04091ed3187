// Package repeat is the stand-in of a faulty server, which answers the first request of each
// connection and writes that answer once more when it runs a further request of it.
package repeat

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is a faulty server on a loopback address.
type Server struct {
	listener net.Listener
	answer   string
	repeated atomic.Int64
}

// New starts a server that writes an answer, in the format of HTTP/1.1, to each request. It fails
// if no port is free.
func New(answer string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{listener: listener, answer: answer}
	go server.accept()
	return server, nil
}

// URL returns the address of the server.
func (server *Server) URL() string { return "http://" + server.listener.Addr().String() }

// Repeated returns the number of requests that got the answer to an earlier one.
func (server *Server) Repeated() int64 { return server.repeated.Load() }

// Close stops the server. Its connections end with their clients.
func (server *Server) Close() error { return server.listener.Close() }

func (server *Server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		go server.serve(conn)
	}
}

// serve handles the requests of a connection until it ends.
func (server *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !first {
			server.repeated.Add(1)
		}
		if _, err := io.WriteString(conn, server.answer); err != nil {
			return
		}
	}
}
