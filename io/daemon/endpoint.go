package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"primrosegw/io/entry"
	"primrosegw/io/leave"
)

// endpoint is a listen address with its server.
type endpoint struct {
	server   *http.Server
	conns    *leave.Conns
	listener net.Listener
}

// newEndpoint returns an endpoint that does not serve yet.
func newEndpoint(server *http.Server, listener net.Listener) endpoint {
	conns := leave.New("")
	server.ConnState = conns.Track
	server.Handler = conns.Handler(server.Handler)
	return endpoint{server: server, conns: conns, listener: conns.Listen(listener)}
}

// endpoints returns the listen addresses of callers and operators.
func (daemon *Daemon) endpoints() []endpoint {
	callers := newEndpoint(daemon.entryServer(), daemon.entryListener)
	callers.listener = entry.GiveFirstHeadsTheirTime(callers.listener, idleTimeout, daemon.keys.Entry())
	endpoints := []endpoint{callers}
	if daemon.adminListener != nil {
		endpoints = append(endpoints, newEndpoint(daemon.adminServer(), daemon.adminListener))
	}
	return endpoints
}

// shut stops accepting and waits for the requests in flight.
func shut(endpoints []endpoint) {
	var group sync.WaitGroup
	for _, endpoint := range endpoints {
		group.Go(func() {
			_ = endpoint.conns.Leave(context.Background())
			// What is left are connections of HTTP/2.
			_ = endpoint.server.Shutdown(context.Background())
		})
	}
	group.Wait()
}
