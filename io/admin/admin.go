// Package admin serves operators over HTTP: documents, the state of the hosts,
// health and metrics.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/spec"
	"primrosegw/io/meter"
)

const (
	// maximumDocumentBytes is the largest value of the key-value service.
	maximumDocumentBytes = 1 << 20
	// changeTimeout bounds one change, with the settling of a lost reply.
	changeTimeout = 15 * time.Second
)

// Heads changes the documents of the environment.
type Heads interface {
	Status(ctx context.Context) (heads.Heads, int64, error)
	Document(ctx context.Context, digest string) ([]byte, error)
	Trial(ctx context.Context, document heads.Document, operator, reason string) (heads.Result, error)
	Verdict(ctx context.Context, verdict heads.Verdict, operator, reason string) (heads.Result, error)
	Promote(ctx context.Context, digest, operator, reason string) (heads.Result, error)
	Recall(ctx context.Context, lot, operator, reason string) (heads.Result, error)
}

// System is the host as operators see it. The daemon implements it.
type System interface {
	// Operator finds the operator of a bearer key.
	Operator(key string) (spec.Operator, bool)
	// Try judges a document against the checks and recent decisions.
	Try(document spec.Document, digest string) heads.Verdict
	// Hosts lists all known hosts.
	Hosts() []HostState
	// Confirmed says which hosts have a generation in force. The hosts that are
	// not known to are asked; a later call knows more.
	Confirmed(generation uint64) Confirmed
	Generation() uint64
	Ready() bool
}

// HostState is one host as this host knows it.
type HostState struct {
	Name          string     `json:"name"`
	FailureDomain string     `json:"failure_domain"`
	State         host.State `json:"state"`
	// Confirmed says that the host has the generation in force of the host that
	// answers.
	Confirmed    bool   `json:"confirmed"`
	EntryAddress string `json:"entry_address"`
}

// Options are the dependencies of an Admin.
type Options struct {
	Heads       Heads
	System      System
	Meter       *meter.Meter
	Logger      *event.Logger
	Environment string
}

// Admin serves operators.
type Admin struct {
	options Options
	// mutex lets one change run at a time, as Heads asks for.
	mutex sync.Mutex
}

// New returns the operators' side of a host.
func New(options Options) *Admin { return &Admin{options: options} }

// Handler returns the operators' HTTP interface.
func (admin *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", admin.options.Meter.Handler())
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, http.StatusOK, map[string]string{"status": "ok"})
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !admin.options.System.Ready() {
			reply(writer, http.StatusServiceUnavailable, map[string]string{"status": "not_ready"})
			return
		}
		reply(writer, http.StatusOK, map[string]string{"status": "ready"})
	})
	mux.HandleFunc("GET /admin/status", admin.guard(admin.status))
	mux.HandleFunc("GET /admin/confirmed", admin.guard(admin.confirmed))
	mux.HandleFunc("POST /admin/trial", admin.guard(admin.trial))
	mux.HandleFunc("POST /admin/promote", admin.guard(admin.promote))
	mux.HandleFunc("POST /admin/recall", admin.guard(admin.recall))
	return mux
}

// Problem is an error as operators see it.
type Problem struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	// Faults are the faults of a document, one for each place.
	Faults []spec.Problem `json:"faults,omitempty"`
	// Winner is the change that came first.
	Winner *heads.Change `json:"winner,omitempty"`
	// Settlement says what became of a write whose reply was lost.
	Settlement heads.Settlement `json:"settlement,omitempty"`
}

// guard lets operators in and names them to the handler.
func (admin *Admin) guard(serve func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		key, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
		operator, ok := admin.options.System.Operator(key)
		if !ok {
			admin.options.Logger.Log(event.OperatorRefused(), logrus.Fields{
				"path": request.URL.Path, "address": request.RemoteAddr,
			})
			reply(writer, http.StatusUnauthorized, Problem{
				Kind: "authentication_error", Field: "Authorization", Message: "the Authorization header holds no key of an operator",
			})
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), changeTimeout)
		defer cancel()
		serve(writer, request.WithContext(ctx), operator.Name)
	}
}

// Status is the state of the environment as one host knows it.
type Status struct {
	Environment string `json:"environment"`
	// Generation is the one in force on the host that answers.
	Generation uint64 `json:"generation"`
	// Heads is null when the key-value service did not answer.
	Heads *heads.Heads `json:"heads"`
	// HeadsError says why Heads is null.
	HeadsError string      `json:"heads_error,omitempty"`
	Hosts      []HostState `json:"hosts"`
}

func (admin *Admin) status(writer http.ResponseWriter, request *http.Request, _ string) {
	status := Status{
		Environment: admin.options.Environment,
		Generation:  admin.options.System.Generation(),
		Hosts:       admin.options.System.Hosts(),
	}
	current, _, err := admin.options.Heads.Status(request.Context())
	if err == nil {
		status.Heads = &current
	} else {
		status.HeadsError = err.Error()
	}
	reply(writer, http.StatusOK, status)
}

// Confirmed says which live hosts have a generation in force.
type Confirmed struct {
	Generation uint64   `json:"generation"`
	Confirmed  []string `json:"confirmed"`
	Waiting    []string `json:"waiting"`
	// Unreached are hosts taken for dead that have not confirmed. One that still
	// runs, cut off, stops taking work after 60 s.
	Unreached []string `json:"unreached"`
}

func (admin *Admin) confirmed(writer http.ResponseWriter, request *http.Request, _ string) {
	generation, err := strconv.ParseUint(request.URL.Query().Get("generation"), 10, 64)
	if err != nil {
		reply(writer, http.StatusBadRequest, Problem{Kind: "invalid", Field: "generation", Message: "generation is not a number"})
		return
	}
	reply(writer, http.StatusOK, admin.options.System.Confirmed(generation))
}

// Changed answers a change that was made.
type Changed struct {
	Heads heads.Heads `json:"heads"`
	// Settlement says that the reply of the write was lost and read back.
	Settlement heads.Settlement `json:"settlement,omitempty"`
	Verdict    *heads.Verdict   `json:"verdict,omitempty"`
}

// trial checks a document, puts it in trial and records the verdict.
func (admin *Admin) trial(writer http.ResponseWriter, request *http.Request, operator string) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maximumDocumentBytes))
	if err != nil {
		reply(writer, http.StatusRequestEntityTooLarge, Problem{
			Kind: "invalid", Field: "body", Message: "the document is larger than 1 MB",
		})
		return
	}
	document, faults := spec.Parse(data)
	if len(faults) == 0 && document.Environment != admin.options.Environment {
		faults = append(faults, spec.Problem{
			Line: 1, Path: "environment", Found: document.Environment, Allowed: admin.options.Environment,
			Text: "the document is for another environment",
		})
	}
	if len(faults) > 0 {
		reply(writer, http.StatusUnprocessableEntity, Problem{
			Kind: "invalid_document", Message: "the document has faults", Faults: faults,
		})
		return
	}
	described := heads.NewDocument(document, data)
	reason := request.URL.Query().Get("reason")
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	result, err := admin.options.Heads.Trial(request.Context(), described, operator, reason)
	if err != nil {
		admin.fail(writer, result, err)
		return
	}
	verdict := admin.options.System.Try(document, described.Digest)
	result, err = admin.options.Heads.Verdict(request.Context(), verdict, operator, reason)
	if err != nil {
		admin.fail(writer, result, err)
		return
	}
	reply(writer, http.StatusOK, Changed{Heads: result.Heads, Settlement: result.Settlement, Verdict: &verdict})
}

// Order asks for a promotion or a recall.
type Order struct {
	Digest string `json:"digest,omitempty"`
	Lot    string `json:"lot,omitempty"`
	Reason string `json:"reason"`
}

func (admin *Admin) promote(writer http.ResponseWriter, request *http.Request, operator string) {
	order, ok := readOrder(writer, request)
	if !ok {
		return
	}
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	result, err := admin.options.Heads.Promote(request.Context(), order.Digest, operator, order.Reason)
	admin.answer(writer, result, err)
}

func (admin *Admin) recall(writer http.ResponseWriter, request *http.Request, operator string) {
	order, ok := readOrder(writer, request)
	if !ok {
		return
	}
	admin.mutex.Lock()
	defer admin.mutex.Unlock()
	result, err := admin.options.Heads.Recall(request.Context(), order.Lot, operator, order.Reason)
	admin.answer(writer, result, err)
}

func readOrder(writer http.ResponseWriter, request *http.Request) (Order, bool) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumDocumentBytes))
	decoder.DisallowUnknownFields()
	var order Order
	if err := decoder.Decode(&order); err != nil {
		reply(writer, http.StatusBadRequest, Problem{Kind: "invalid", Field: "body", Message: err.Error()})
		return Order{}, false
	}
	return order, true
}

func (admin *Admin) answer(writer http.ResponseWriter, result heads.Result, err error) {
	if err != nil {
		admin.fail(writer, result, err)
		return
	}
	reply(writer, http.StatusOK, Changed{Heads: result.Heads, Settlement: result.Settlement})
}

// fail tells an operator why a change was not made, or that it is not known.
func (admin *Admin) fail(writer http.ResponseWriter, result heads.Result, err error) {
	problem := Problem{Kind: string(fault.KindOf[heads.Kind](err)), Message: err.Error(), Settlement: result.Settlement}
	var failure *heads.Error
	if errors.As(err, &failure) {
		problem.Field = failure.Field
	}
	status := http.StatusConflict
	switch heads.Kind(problem.Kind) {
	case heads.Conflict:
		winner := result.ConflictingChange
		problem.Winner = &winner
	case heads.Unavailable, heads.Unsettled:
		status = http.StatusServiceUnavailable
	case heads.Invalid:
		status = http.StatusUnprocessableEntity
	case heads.Absent:
		status = http.StatusNotFound
	}
	reply(writer, status, problem)
}

func reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
