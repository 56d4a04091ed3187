// Package entry serves callers over HTTP.
package entry

import (
	"context"
	"net/http"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/limit"
	"primrosegw/core/spec"
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
	BodyBytes    int64
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
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

// Handler returns the callers' HTTP interface.
func (entry *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", entry.serveHosts)
	mux.HandleFunc("GET /v1/models", entry.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", func(writer http.ResponseWriter, request *http.Request) {
		entry.serveGenerate(writer, request, true)
	})
	mux.HandleFunc("POST /v1/completions", func(writer http.ResponseWriter, request *http.Request) {
		entry.serveGenerate(writer, request, false)
	})
	mux.HandleFunc("/v1/services/{name}/{path...}", entry.serveService)
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("GET /readyz", entry.serveReady)
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		entry.refuse(writer, request, problem{
			status: http.StatusNotFound, kind: "not_found",
			message: "no such path: " + request.Method + " " + request.URL.Path, run: cell.NotRun,
		})
	})
	return mux
}

func (entry *Entry) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !entry.options.Directory.Ready() {
		writeJSON(writer, http.StatusServiceUnavailable, map[string]string{"status": "not_ready"})
		return
	}
	writeJSON(writer, http.StatusOK, map[string]string{"status": "ready"})
}

// serveHosts needs no key: callers ask it before they have chosen a host.
func (entry *Entry) serveHosts(writer http.ResponseWriter, _ *http.Request) {
	hosts, ttl := entry.options.Hosts.Entries()
	writeJSON(writer, http.StatusOK, struct {
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
	writeJSON(writer, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", models})
}
