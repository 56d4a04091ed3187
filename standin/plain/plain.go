// Package plain is the stand-in of a plain service whose calls must not be
// repeated: it counts the runs of each.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fault"
	"primrosegw/standin/framing"
)

// Kind is the sort of an error of this package.
type Kind string

// Invalid is the kind of a fault request that is not understood.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxBody bounds the body of a call, in bytes.
const maxBody = 8 << 20

// Options sets the speed and the faults of a Service.
type Options struct {
	// Delay is the time from the run of a call to its reply.
	Delay time.Duration
	// Faults are used up by the next POST calls, one each.
	Faults []string
	// Framing is how many replies have a length, chunks or neither; default: a third each.
	Framing framing.Shares
	// Seed decides how each reply is framed.
	Seed uint64
}

// The faults of a call.
const (
	// LoseReply runs the call and breaks the connection.
	LoseReply = "lose_reply"
	// FailBefore answers 503 and does not run the call.
	FailBefore = "fail_before"
	// BreakBefore breaks the connection and does not run the call.
	BreakBefore = "break_before"
	// None runs the call as usual.
	None = "none"
)

// Run is a record of the calls with one idempotency key and one body.
type Run struct {
	Key string `json:"key"`
	// Path is the path of the first call.
	Path string `json:"path"`
	// BodySHA256 is the hash of the body in hexadecimal digits.
	BodySHA256 string `json:"body_sha256"`
	Count      int    `json:"count"`
}

// Service is the plain service.
type Service struct {
	framings *framing.Source

	mutex  sync.Mutex
	delay  time.Duration
	faults []string
	runs   map[[2]string]Run
}

// New returns a service.
func New(options Options) *Service {
	return &Service{
		delay: options.Delay, faults: slices.Clone(options.Faults), runs: map[[2]string]Run{},
		framings: framing.NewSource(options.Framing, options.Seed),
	}
}

// SetDelay changes the time from the run of a call to its reply.
func (service *Service) SetDelay(delay time.Duration) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.delay = delay
}

// Inject appends faults for the next POST calls. The error names an unknown
// fault.
func (service *Service) Inject(faults ...string) error {
	for _, name := range faults {
		if !slices.Contains([]string{LoseReply, FailBefore, BreakBefore, None}, name) {
			return fault.Field("plain.Inject", Invalid, "faults", "unknown fault "+name)
		}
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = append(service.faults, faults...)
	return nil
}

// Runs returns the records ordered by key and body hash.
func (service *Service) Runs() []Run {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	runs := slices.Collect(maps.Values(service.runs))
	slices.SortFunc(runs, func(a, b Run) int {
		return slices.Compare([]string{a.Key, a.BodySHA256}, []string{b.Key, b.BodySHA256})
	})
	return runs
}

// Handler serves GET /runs, PUT /faults and every other path as the service's
// own. POST calls are recorded, other methods are not.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", service.serveRuns)
	mux.HandleFunc("PUT /faults", service.serveFaults)
	mux.HandleFunc("/", service.serveCall)
	return mux
}

// serveRuns answers with the records.
func (service *Service) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	runs := service.Runs()
	if runs == nil {
		runs = []Run{}
	}
	reply(writer, http.StatusOK, runs)
}

// serveFaults takes {"delay_ms":n,"faults":[...]}.
func (service *Service) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		DelayMs *int64   `json:"delay_ms"`
		Faults  []string `json:"faults"`
	}
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := service.Inject(order.Faults...); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if order.DelayMs != nil {
		service.SetDelay(time.Duration(*order.DelayMs) * time.Millisecond)
	}
	writer.WriteHeader(http.StatusNoContent)
}

// serveCall runs a call of the service.
func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Method != http.MethodPost {
		service.wait(request)
		service.replyFramed(writer, map[string]string{"path": request.URL.Path})
		return
	}
	injected := service.nextFault()
	switch injected {
	case FailBefore:
		http.Error(writer, "not run", http.StatusServiceUnavailable)
		return
	case BreakBefore:
		panic(http.ErrAbortHandler)
	}
	run := service.record(request, data)
	service.wait(request)
	if injected == LoseReply {
		panic(http.ErrAbortHandler)
	}
	service.replyFramed(writer, run)
}

// nextFault takes the fault of this call off the list.
func (service *Service) nextFault() string {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if len(service.faults) == 0 {
		return None
	}
	next := service.faults[0]
	service.faults = service.faults[1:]
	return next
}

// record counts a run. The run takes effect here, before the reply.
func (service *Service) record(request *http.Request, data []byte) Run {
	sum := sha256.Sum256(data)
	key, hash := request.Header.Get("Idempotency-Key"), hex.EncodeToString(sum[:])
	service.mutex.Lock()
	defer service.mutex.Unlock()
	run, known := service.runs[[2]string{key, hash}]
	if !known {
		run = Run{Key: key, Path: request.URL.Path, BodySHA256: hash}
	}
	run.Count++
	service.runs[[2]string{key, hash}] = run
	return run
}

// wait lasts for the delay, or until the caller goes away.
func (service *Service) wait(request *http.Request) {
	service.mutex.Lock()
	delay := service.delay
	service.mutex.Unlock()
	if delay == 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}

// replyFramed writes the reply of a call, with the framing that is drawn for it.
func (service *Service) replyFramed(writer http.ResponseWriter, value any) {
	data, _ := json.Marshal(value)
	writer.Header().Set("Content-Type", "application/json")
	if service.framings.Draw().WriteHead(writer, http.StatusOK, len(data)) == nil {
		_, _ = writer.Write(data)
	}
}

// reply writes JSON.
func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
