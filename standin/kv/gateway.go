package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// requestLimit bounds the body of a request, in bytes: the largest value in
// base64 with room for the rest of a transaction.
const requestLimit = 4 << 20

// The messages below have the field names of the published gateway: 64-bit
// integers are strings, bytes are base64, and fields with zero values are left
// out.
type header struct {
	ClusterID uint64 `json:"cluster_id,string,omitempty"`
	Revision  int64  `json:"revision,string"`
}

type pair struct {
	Key      []byte `json:"key"`
	Created  int64  `json:"create_revision,string,omitempty"`
	Modified int64  `json:"mod_revision,string,omitempty"`
	Version  int64  `json:"version,string,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Lease    int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	End      []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type compare struct {
	Result   string `json:"result"`
	Target   string `json:"target"`
	Key      []byte `json:"key"`
	Created  int64  `json:"create_revision,string"`
	Modified int64  `json:"mod_revision,string"`
	Version  int64  `json:"version,string"`
	Value    []byte `json:"value"`
}

type operation struct {
	Range  *rangeRequest `json:"request_range"`
	Put    *putRequest   `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type reply struct {
	Header    header `json:"header"`
	Pairs     []pair `json:"kvs,omitempty"`
	Count     int64  `json:"count,string,omitempty"`
	Deleted   int64  `json:"deleted,string,omitempty"`
	Succeeded bool   `json:"succeeded,omitempty"`
	Responses []any  `json:"responses,omitempty"`
	ID        int64  `json:"ID,string,omitempty"`
	TTL       int64  `json:"TTL,string,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type result struct {
	Result reply `json:"result"`
}

// Handler serves the gateway. POST /control/faults and GET /control/calls are
// the stand-in's own, for runs with separate processes.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serve(service, "range", service.serveRange))
	mux.HandleFunc("POST /v3/kv/put", serve(service, "put", service.servePut))
	mux.HandleFunc("POST /v3/kv/deleterange", serve(service, "deleterange", service.serveDelete))
	mux.HandleFunc("POST /v3/kv/txn", serve(service, "txn", service.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", serve(service, "grant", service.serveGrant))
	mux.HandleFunc("POST /v3/lease/revoke", serve(service, "revoke", service.serveRevoke))
	mux.HandleFunc("POST /v3/lease/keepalive", serve(service, "", service.serveKeepAlive))
	mux.HandleFunc("POST /v3/watch", service.serveWatch)
	mux.HandleFunc("POST /control/faults", service.serveFaults)
	mux.HandleFunc("GET /control/calls", func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(service.Calls())
	})
	return mux
}

// serve wraps the decoding of a message, the faults and the encoding around an
// operation. A call without a kind counts itself.
func serve[M, R any](service *Service, kind string, operate func(context.Context, M) (R, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var message M
		body := http.MaxBytesReader(writer, request.Body, requestLimit)
		if err := json.NewDecoder(body).Decode(&message); err != nil {
			fail(writer, fault.Wrap("kv.decode", store.Refused, err))
			return
		}
		if kind != "" {
			if err := service.enter(request.Context(), kind); err != nil {
				fail(writer, err)
				return
			}
		}
		answer, err := operate(request.Context(), message)
		if err != nil {
			fail(writer, err)
			return
		}
		_ = json.NewEncoder(writer).Encode(answer)
	}
}

// fail writes an error as the gateway does. A lost reply aborts the connection.
func fail(writer http.ResponseWriter, err error) {
	status, code := http.StatusBadRequest, 3
	switch fault.KindOf[store.Kind](err) {
	case store.Uncertain:
		panic(http.ErrAbortHandler)
	case store.Unavailable:
		status, code = http.StatusServiceUnavailable, 14
	case store.Expired:
		status, code = http.StatusNotFound, 5
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]any{"error": err.Error(), "message": err.Error(), "code": code})
}

// header returns the header of a reply. The lock is held.
func (service *Service) header() header {
	return header{ClusterID: service.clusterID, Revision: service.model.revision}
}

// lockedHeader is header for a caller that does not hold the lock.
func (service *Service) lockedHeader() header {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.header()
}

func (service *Service) serveRange(_ context.Context, message rangeRequest) (reply, error) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.read(message), nil
}

// read answers a range. The lock is held.
func (service *Service) read(message rangeRequest) reply {
	answer := reply{Header: service.header()}
	for _, held := range service.model.span(string(message.Key), string(message.End)) {
		entry := held.Entry
		if message.KeysOnly {
			entry.Value = nil
		}
		answer.Pairs = append(answer.Pairs, pairOf(entry, held.version))
	}
	answer.Count = int64(len(answer.Pairs))
	return answer
}

func pairOf(entry store.Entry, version int64) pair {
	return pair{
		Key: []byte(entry.Key), Created: entry.Created, Modified: entry.Revision,
		Version: version, Value: entry.Value, Lease: entry.Lease,
	}
}

func (service *Service) servePut(_ context.Context, message putRequest) (reply, error) {
	answer, err := service.transact("put", txnRequest{Success: []operation{{Put: &message}}})
	return reply{Header: answer.Header}, err
}

func (service *Service) serveDelete(_ context.Context, message rangeRequest) (reply, error) {
	answer, err := service.transact("deleterange", txnRequest{Success: []operation{{Delete: &message}}})
	return reply{Header: answer.Header}, err
}

func (service *Service) serveTxn(_ context.Context, message txnRequest) (reply, error) {
	return service.transact("txn", message)
}

// transact runs a transaction: all its writes have one revision.
func (service *Service) transact(kind string, message txnRequest) (reply, error) {
	answer := reply{}
	err := service.write(kind, func() error {
		holds, err := service.holds(message.Compare)
		if err != nil {
			return err
		}
		operations := message.Success
		if !holds {
			operations = message.Failure
		}
		if err := service.allows(operations); err != nil {
			return err
		}
		answer.Succeeded = holds
		revision := service.model.revision + 1
		for _, operation := range operations {
			answer.Responses = append(answer.Responses, service.apply(revision, operation))
		}
		answer.Header = service.header()
		return nil
	})
	return answer, err
}

// holds reports whether all comparisons hold.
func (service *Service) holds(comparisons []compare) (bool, error) {
	for _, compare := range comparisons {
		held, present := service.model.records[string(compare.Key)]
		if !present {
			held = &record{}
		}
		if compare.Target == "VALUE" && compare.Result == "EQUAL" {
			if !present || !bytes.Equal(held.Value, compare.Value) {
				return false, nil
			}
			continue
		}
		targets := map[string][2]int64{
			"MOD": {held.Revision, compare.Modified}, "CREATE": {held.Created, compare.Created},
			"VERSION": {held.version, compare.Version},
		}
		sides, known := targets[compare.Target]
		if !known || (compare.Result != "EQUAL" && compare.Result != "") {
			return false, fault.Field("kv.txn", store.Refused, "compare", "the stand-in knows EQUAL on MOD, CREATE, VERSION, VALUE")
		}
		if sides[0] != sides[1] {
			return false, nil
		}
	}
	return true, nil
}

// allows checks the sizes and leases of the puts of a transaction.
func (service *Service) allows(operations []operation) error {
	for _, operation := range operations {
		if operation.Put == nil {
			continue
		}
		if len(operation.Put.Value) > store.MaximumValueBytes {
			return fault.New("kv.txn", store.Refused, "etcdserver: request is too large")
		}
		if lease := operation.Put.Lease; lease != 0 && service.model.leases[lease] == nil {
			return fault.New("kv.txn", store.Expired, "etcdserver: requested lease not found")
		}
	}
	return nil
}

// apply runs one operation of a transaction.
func (service *Service) apply(revision int64, operation operation) any {
	switch {
	case operation.Put != nil:
		put := operation.Put
		service.model.put(revision, string(put.Key), put.Value, put.Lease)
		return map[string]reply{"response_put": {Header: service.header()}}
	case operation.Delete != nil:
		var deleted int64
		for _, held := range service.model.span(string(operation.Delete.Key), string(operation.Delete.End)) {
			service.model.remove(revision, held.Key)
			deleted++
		}
		return map[string]reply{"response_delete_range": {Header: service.header(), Deleted: deleted}}
	case operation.Range != nil:
		return map[string]reply{"response_range": service.read(*operation.Range)}
	}
	return struct{}{}
}

func (service *Service) serveGrant(_ context.Context, message leaseRequest) (reply, error) {
	answer := reply{TTL: max(message.TTL, 1)}
	err := service.write("grant", func() error {
		if service.model.leases[message.ID] != nil {
			return fault.New("kv.grant", store.Refused, "etcdserver: lease already exists")
		}
		answer.ID = service.grant(message.ID, time.Duration(answer.TTL)*time.Second)
		answer.Header = service.header()
		return nil
	})
	return answer, err
}

func (service *Service) serveRevoke(ctx context.Context, message leaseRequest) (reply, error) {
	err := service.write("revoke", func() error {
		if service.model.leases[message.ID] == nil {
			return fault.New("kv.revoke", store.Expired, "etcdserver: requested lease not found")
		}
		service.model.end(message.ID)
		return nil
	})
	return reply{}, errors.Join(err, ctx.Err())
}

// serveKeepAlive answers without a TTL when the lease does not exist, as the
// published service does.
func (service *Service) serveKeepAlive(ctx context.Context, message leaseRequest) (result, error) {
	ttl, err := service.KeepAlive(ctx, message.ID)
	if fault.Is(err, store.Expired) {
		return result{Result: reply{Header: service.lockedHeader(), ID: message.ID}}, nil
	}
	return result{Result: reply{Header: service.lockedHeader(), ID: message.ID, TTL: int64(ttl / time.Second)}}, err
}

func (service *Service) serveFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, requestLimit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		fail(writer, fault.Wrap("kv.faults", store.Refused, err))
		return
	}
	service.SetFaults(faults)
}
