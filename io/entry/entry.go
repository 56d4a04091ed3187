// Package entry serves callers over HTTP.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/limit"
	"primrosegw/core/spec"
	"primrosegw/io/keep"
	"primrosegw/io/linger"
	"primrosegw/io/meter"
)

// Router sends requests to where they are run. The daemon implements it.
type Router interface {
	// Generate runs a request for text and hands its chunks to emit in order.
	// The outcome is meaningful with an error too: its Run says whether the
	// request was run.
	Generate(ctx context.Context, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error)
}

// Directory is the document in force as callers see it.
type Directory interface {
	// Workspace finds the workspace of a bearer key.
	Workspace(key string) (spec.Workspace, bool)
	Class(name string) (spec.Class, bool)
	Service(name string) (spec.Service, bool)
	// Models lists the names that requests may use as their model.
	Models() []string
	// Ready reports whether a document is in force and the host takes work.
	Ready() bool
}

// Address is one host that callers may use.
type Address struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Weight is the host's share of new callers.
	Weight int `json:"weight"`
}

// Hosts tells callers where to go.
type Hosts interface {
	// Entries lists live hosts that are not leaving, and for how long the list
	// may be kept.
	Entries() ([]Address, time.Duration)
}

// Limits bound what one caller may take.
type Limits struct {
	BodyBytes int64
	// HeaderBytes bounds the request line and all headers together.
	HeaderBytes   int
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Options are the dependencies of an Entry.
type Options struct {
	Router    Router
	Directory Directory
	Hosts     Hosts
	// Limiter applies the limits of workspaces.
	Limiter  *limit.Limiter
	Ledger   Ledger
	Services Services
	Logger   *event.Logger
	Meter    *meter.Meter
	Limits   Limits
}

// Entry serves callers.
type Entry struct {
	options Options
}

// New returns the callers' side of a host.
func New(options Options) *Entry { return &Entry{options: options} }

// headerSlack is how far the HTTP library's own bound of the headers is above
// HeaderBytes. The library refuses with a line of text; up to the slack, this
// package refuses with its usual JSON.
const headerSlack = 4

// Server returns the callers' HTTP server with all bounds set.
func (entry *Entry) Server() *http.Server {
	limits := entry.options.Limits
	var isStopping atomic.Bool
	server := &http.Server{
		Handler: keep.Handler(entry.Handler(), keep.Options{Limit: func(*http.Request) time.Duration {
			if isStopping.Load() {
				return 0
			}
			return limits.IdleTimeout
		}}),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    headerSlack * limits.HeaderBytes,
		ConnContext:       linger.ConnContext,
	}
	server.RegisterOnShutdown(func() { isStopping.Store(true) })
	return server
}

// Handler returns the callers' HTTP interface.
func (entry *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	entry.route(mux, http.MethodGet, "/v1/entry", entry.serveHosts)
	entry.route(mux, http.MethodGet, "/v1/models", entry.serveModels)
	entry.route(mux, http.MethodPost, "/v1/chat/completions", func(writer http.ResponseWriter, request *http.Request) {
		entry.serveGenerate(writer, request, true)
	})
	entry.route(mux, http.MethodPost, "/v1/completions", func(writer http.ResponseWriter, request *http.Request) {
		entry.serveGenerate(writer, request, false)
	})
	mux.HandleFunc("/v1/services/{name}/{path...}", entry.serveService)
	entry.route(mux, http.MethodGet, "/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		entry.reply(writer, http.StatusOK, map[string]string{"status": "ok"})
	})
	entry.route(mux, http.MethodGet, "/readyz", entry.serveReady)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		entry.refuse(writer, request, problem{
			status: http.StatusNotFound, kind: "not_found",
			message: "no such path: " + request.Method + " " + request.URL.Path, run: cell.NotRun,
		})
	})
	return entry.bound(mux)
}

// route serves one method of a path and refuses the others.
func (entry *Entry) route(mux *http.ServeMux, method, path string, handler http.HandlerFunc) {
	mux.HandleFunc(method+" "+path, handler)
	mux.HandleFunc(path, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Allow", method)
		entry.refuse(writer, request, problem{
			status: http.StatusMethodNotAllowed, kind: "method_not_allowed",
			message: "found " + request.Method + ", allowed: " + method, run: cell.NotRun,
		})
	})
}

// bound applies the bounds that hold for every request. A request with a body
// ends its connection unless the body is read whole: otherwise the HTTP library
// would wait for the rest of the body of a refused request.
func (entry *Entry) bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			deadline := time.Now().Add(entry.options.Limits.BodyTimeout)
			_ = http.NewResponseController(writer).SetReadDeadline(deadline)
			writer.Header().Set("Connection", "close")
		}
		if headerBytes(request) > entry.options.Limits.HeaderBytes {
			entry.refuse(writer, request, problem{
				status: http.StatusRequestHeaderFieldsTooLarge, kind: "invalid_request_error",
				message: "the headers are larger than the limit in bytes", param: "headers", run: cell.NotRun,
			})
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// headerBytes returns the size of the request's target and headers.
func headerBytes(request *http.Request) int {
	size := len(request.RequestURI)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !entry.options.Directory.Ready() {
		entry.reply(writer, http.StatusServiceUnavailable, map[string]string{"status": "not_ready"})
		return
	}
	entry.reply(writer, http.StatusOK, map[string]string{"status": "ready"})
}

// serveHosts needs no key: callers ask it before they have chosen a host.
func (entry *Entry) serveHosts(writer http.ResponseWriter, _ *http.Request) {
	hosts, ttl := entry.options.Hosts.Entries()
	if hosts == nil {
		hosts = []Address{}
	}
	entry.reply(writer, http.StatusOK, struct {
		Hosts      []Address `json:"hosts"`
		TTLSeconds int       `json:"ttl_seconds"`
	}{hosts, int(ttl.Seconds())})
}

func (entry *Entry) serveModels(writer http.ResponseWriter, request *http.Request) {
	if _, found := entry.authenticate(request); found != nil {
		entry.refuse(writer, request, *found)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := make([]model, 0)
	for _, name := range entry.options.Directory.Models() {
		models = append(models, model{ID: name, Object: "model", OwnedBy: "primrosegw"})
	}
	entry.reply(writer, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", models})
}
