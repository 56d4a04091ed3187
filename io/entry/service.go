package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/core/spec"
	"primrosegw/io/linger"
	"primrosegw/io/meter"
	"primrosegw/io/plain"
)

// Services calls plain services.
type Services interface {
	Do(ctx context.Context, target spec.Service, call plain.Call) (plain.Answer, error)
}

// serviceCall is one call of a plain service after its checks.
type serviceCall struct {
	id          string
	workspace   spec.Workspace
	class       spec.Class
	service     spec.Service
	call        plain.Call
	idempotency string
	arrived     time.Time
}

// serveService forwards a call to a plain service by its path.
func (entry *Entry) serveService(writer http.ResponseWriter, request *http.Request) {
	serviceCall, found := entry.parseService(writer, request)
	if found != nil {
		entry.refuse(writer, request, *found)
		return
	}
	writer.Header().Set(HeaderRequestID, serviceCall.id)
	permit, err := entry.options.Limiter.Acquire(serviceCall.workspace.Name)
	if err != nil {
		entry.refuse(writer, request, limited(err))
		return
	}
	defer permit.Release()
	deadline := serviceCall.arrived.Add(time.Duration(serviceCall.class.DeadlineMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	entry.runService(ctx, writer, request, serviceCall)
}

// parseService checks a call of a plain service.
func (entry *Entry) parseService(writer http.ResponseWriter, request *http.Request) (serviceCall, *problem) {
	workspace, found := entry.authenticate(request)
	if found != nil {
		return serviceCall{}, found
	}
	service, ok := entry.options.Directory.Service(request.PathValue("name"))
	if !ok {
		return serviceCall{}, &problem{
			status: http.StatusNotFound, kind: "service_not_found", param: "name", run: cell.NotRun,
			message: "found " + request.PathValue("name") + ", which the document does not declare",
		}
	}
	class, ok := entry.options.Directory.Class(service.Class)
	if !ok || !slices.Contains(workspace.Classes, service.Class) {
		return serviceCall{}, &problem{
			status: http.StatusForbidden, kind: "permission_error", param: "name", run: cell.NotRun,
			message: "the workspace has no access to class " + service.Class,
		}
	}
	key := request.Header.Get(HeaderIdempotency)
	repeatable := slices.Contains(service.RepeatableMethods, request.Method)
	if found := checkIdempotency(key, repeatable); found != nil {
		return serviceCall{}, found
	}
	id, found := requestID(request)
	if found != nil {
		return serviceCall{}, found
	}
	body, found := entry.readBody(writer, request)
	if found != nil {
		return serviceCall{}, found
	}
	header := request.Header.Clone()
	header.Set(HeaderRequestID, id)
	return serviceCall{
		id: id, workspace: workspace, class: class, service: service, idempotency: key, arrived: time.Now(),
		call: plain.Call{
			Method: request.Method, Path: servicePath(request.PathValue("path")),
			Query: request.URL.RawQuery, Header: header, Body: body,
		},
	}, nil
}

// servicePath returns a decoded path in the form in which it is sent on: without
// parent directories, and escaped so that no part of it becomes a query.
func servicePath(decoded string) string {
	cleaned := strings.TrimPrefix(path.Clean("/"+decoded), "/")
	return (&url.URL{Path: cleaned}).EscapedPath()
}

// runService runs a call of a plain service, once at most if it has an idempotency
// key and its method may not be repeated.
func (entry *Entry) runService(ctx context.Context, writer http.ResponseWriter, request *http.Request, serviceCall serviceCall) {
	var answer plain.Answer
	run := func(ctx context.Context) (ledger.Outcome, cell.RunStatus, error) {
		var err error
		answer, err = entry.options.Services.Do(ctx, serviceCall.service, serviceCall.call)
		entry.logService(serviceCall, answer, err)
		return recordedService(answer), ranService(err), err
	}
	replay := func(outcome ledger.Outcome) error {
		if outcome.Trimmed {
			return fault.New("entry.replay", Large, "the call ran, but its answer was too large to keep")
		}
		answer = plain.Answer{Status: outcome.Status, Body: outcome.Body, Header: make(http.Header)}
		for name, value := range outcome.Headers {
			answer.Header.Set(name, value)
		}
		answer.Header.Set(HeaderReplayed, "true")
		return nil
	}
	var ran cell.RunStatus
	var err error
	if serviceCall.idempotency == "" || slices.Contains(serviceCall.service.RepeatableMethods, serviceCall.call.Method) {
		_, ran, err = run(ctx)
	} else {
		ran, err = entry.once(ctx, serviceCall.key(), run, replay)
	}
	entry.answerService(writer, request, serviceCall, answer, ran, err)
}

// key names a call in the ledger. The path and the method belong to it, so that
// a key used for another call is found out.
func (serviceCall serviceCall) key() ledger.Key {
	digest := sha256.New()
	for _, part := range []string{serviceCall.service.Name, serviceCall.call.Method, serviceCall.call.Path, serviceCall.call.Query} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(serviceCall.call.Body)
	return ledger.Key{
		Workspace: serviceCall.workspace.Name, IdempotencyKey: serviceCall.idempotency, BodyHash: [32]byte(digest.Sum(nil)),
	}
}

func recordedService(answer plain.Answer) ledger.Outcome {
	outcome := ledger.Outcome{Status: answer.Status, Body: answer.Body, Headers: make(map[string]string)}
	for name := range answer.Header {
		outcome.Headers[name] = answer.Header.Get(name)
	}
	return outcome
}

// ranService says whether a call of a plain service was run.
func ranService(err error) cell.RunStatus {
	switch {
	case err == nil, fault.Is(err, plain.Oversized):
		return cell.Ran
	case fault.Is(err, plain.Refused):
		return cell.NotRun
	default:
		return cell.RunUnknown
	}
}

func (entry *Entry) answerService(writer http.ResponseWriter, request *http.Request, serviceCall serviceCall, answer plain.Answer, ran cell.RunStatus, err error) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(entry.options.Limits.WriteTimeout))
	status := answer.Status
	if err != nil {
		problem := describe(cell.Outcome{Run: ran}, err)
		status = problem.status
		problem.write(writer)
	} else {
		writeAnswer(writer, request, serviceCall.id, answer)
	}
	entry.options.Meter.RecordRequest(meter.RequestResult{
		Class: serviceCall.class.Name, Status: status, Run: string(ran), Attempts: answer.Tries,
		FirstToken: time.Since(serviceCall.arrived),
	})
	logged := logrus.Fields{
		"request_id": serviceCall.id, "workspace": serviceCall.workspace.Name, "class": serviceCall.class.Name,
		"service": serviceCall.service.Name, "status": status, "run": ran, "attempts": answer.Tries,
	}
	if err != nil {
		logged["error"] = err.Error()
	}
	entry.options.Logger.Log(event.RequestDone(), logged)
}

// writeAnswer writes an answer of a plain service. The connection of one that ends with it is reset unless all of
// the answer is written.
func writeAnswer(writer http.ResponseWriter, request *http.Request, id string, answer plain.Answer) {
	for name, values := range answer.Header {
		writer.Header()[name] = values
	}
	writer.Header().Set(HeaderRequestID, id)
	var resetting *linger.Resetting
	if answer.Header.Get("Transfer-Encoding") != "" {
		resetting = linger.Reset(request)
	} else if len(answer.Body) > 0 && !(hasTrailers(answer) && request.ProtoAtLeast(1, 1)) {
		// A caller on HTTP/1.0 gets no chunks: only the length shows it an answer that is cut.
		writer.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	writer.WriteHeader(answer.Status)
	if _, err := writer.Write(answer.Body); err == nil {
		resetting.CloseInOrder(writer)
	}
}

// hasTrailers reports whether an answer has trailers, which need chunks.
func hasTrailers(answer plain.Answer) bool {
	for name := range answer.Header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

func (entry *Entry) logService(serviceCall serviceCall, answer plain.Answer, err error) {
	reason := "next_in_turn"
	if answer.Tries > 1 {
		reason = "earlier_address_failed"
	}
	fields := logrus.Fields{
		"request_id": serviceCall.id, "service": serviceCall.service.Name, "chosen": answer.URL,
		"over": serviceCall.service.URLs, "reason": reason, "tries": answer.Tries,
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	entry.options.Logger.Log(event.ServiceChosen(), fields)
}
