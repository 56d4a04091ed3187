package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// maxBody bounds the body of a request, in bytes.
const maxBody = 8 << 20

// Handler serves the engine's HTTP surface.
func (model *Model) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", model.complete)
	mux.HandleFunc("POST /v1/completions", model.complete)
	mux.HandleFunc("GET /control/load", model.serveUp(func(*http.Request) any { return model.Load() }))
	mux.HandleFunc("GET /control/state", model.serveUp(func(*http.Request) any { return model.State() }))
	mux.HandleFunc("GET /control/cache_events", model.serveUp(model.serveEvents))
	mux.HandleFunc("POST /control/orders", model.serveOrder)
	mux.HandleFunc("POST /control/faults", model.serveFault)
	mux.HandleFunc("GET /control/runs", model.serveRuns)
	return mux
}

// serveUp answers with JSON, or with 503 while the engine is down.
func (model *Model) serveUp(answer func(*http.Request) any) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if model.isDown() {
			reply(writer, http.StatusServiceUnavailable, failure("engine_down", "engine is down"))
			return
		}
		reply(writer, http.StatusOK, answer(request))
	}
}

// isDown reports whether the engine has crashed.
func (model *Model) isDown() bool {
	model.mutex.Lock()
	defer model.mutex.Unlock()
	return model.down
}

// serveEvents answers with the cache events past the parameter "after".
func (model *Model) serveEvents(request *http.Request) any {
	sequence, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	return map[string]any{"events": model.CacheEvents(sequence)}
}

// serveOrder carries out an order.
func (model *Model) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if err := decode(request, &order); err != nil {
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
		return
	}
	if model.isDown() {
		reply(writer, http.StatusServiceUnavailable, failure("engine_down", "engine is down"))
		return
	}
	err := model.Order(order)
	switch {
	case fault.Is(err, Stale):
		reply(writer, http.StatusConflict, failure("stale_fence", err.Error()))
	case err != nil:
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
	default:
		reply(writer, http.StatusOK, model.State())
	}
}

// Fault is an injected fault.
type Fault struct {
	// Fault is "slow", "freeze", "crash", "restart" or "leave".
	Fault string `json:"fault"`
	// Factor is the slowdown of "slow"; 1 is full speed.
	Factor float64 `json:"factor"`
	// On switches "freeze" on or off.
	On bool `json:"on"`
}

// serveFault injects a fault.
func (model *Model) serveFault(writer http.ResponseWriter, request *http.Request) {
	var injected Fault
	if err := decode(request, &injected); err != nil {
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
		return
	}
	switch injected.Fault {
	case "slow":
		model.Slow(max(injected.Factor, 0.01))
	case "freeze":
		model.Freeze(injected.On)
	case "crash":
		model.Crash()
	case "restart":
		model.Restart()
	case "leave":
		model.Leave()
	default:
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", "fault: unknown name"))
		return
	}
	reply(writer, http.StatusOK, model.Stats())
}

// serveRuns answers with the counts of started runs and the engine's totals.
func (model *Model) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	requests, keys := model.Runs()
	reply(writer, http.StatusOK, map[string]any{"requests": requests, "keys": keys, "stats": model.Stats()})
}

// complete serves both completion endpoints.
func (model *Model) complete(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
		return
	}
	var body body
	if err := json.Unmarshal(data, &body); err != nil {
		reply(writer, http.StatusBadRequest, failure("invalid_request_error", err.Error()))
		return
	}
	call := cell.Call{
		Request: cell.Request{
			ID: body.RequestID, Model: body.Model, Priority: body.Priority, Body: data,
			Chat: request.URL.Path == "/v1/chat/completions",
		},
		ResumeTokens: body.Resume.Tokens, ResumeText: body.Resume.Text, Version: body.Version,
	}
	task, _ := parseTask(data, 0)
	stream := &stream{writer: writer, call: call, task: task, body: body, framing: model.framings.Draw()}
	err = model.generate(request.Context(), call, request.Header.Get("Idempotency-Key"), stream.emit)
	stream.end(err)
}

// reply writes JSON.
func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// decode reads strict JSON.
func decode(request *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBody))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// failure is an error in the published form.
func failure(kind, message string) any {
	return map[string]any{"error": map[string]any{"type": kind, "message": message}}
}
