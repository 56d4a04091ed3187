package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the protocol shows it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	mutex    sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
	// changed is closed and replaced at each change, cut at each cut of the waiting watches.
	changed, cut chan struct{}
	server       *http.Server
	address      string
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	created := &store{
		revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 100,
		changed: make(chan struct{}), cut: make(chan struct{}), address: address,
	}
	if err := created.restart(); err != nil {
		return nil, err
	}
	go created.expireLeases()
	return created, nil
}

// restart starts to listen, with all that was stored before.
func (store *store) restart() error {
	listener, err := net.Listen("tcp4", store.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire("key_path"), store.serveKey)
	mux.HandleFunc("GET "+wire("range_path"), store.serveRange)
	mux.HandleFunc("GET "+wire("watch_path"), store.serveWatch)
	mux.HandleFunc("POST "+wire("txn_path"), store.serveTransaction)
	mux.HandleFunc("POST "+wire("lease_path"), store.serveLease)
	mux.HandleFunc("POST "+wire("keep_path")+"{id}", store.serveKeep)
	mux.HandleFunc("DELETE "+wire("lease_end_path")+"{id}", store.serveLeaseEnd)
	store.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := store.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop closes the listener and all connections.
func (store *store) stop() { _ = store.server.Close() }

// put writes a key and returns the time of the confirmation.
func (store *store) put(key string, value any) time.Time {
	encoded, _ := json.Marshal(value)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.write(key, encoded, 0)
	store.notify()
	return time.Now()
}

// remove removes a key and returns the time of the confirmation.
func (store *store) remove(key string) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.erase(key)
	store.notify()
	return time.Now()
}

// cutWatches cuts the connections of the watches that are waiting.
func (store *store) cutWatches() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	close(store.cut)
	store.cut = make(chan struct{})
}

// keys returns the keys with a prefix.
func (store *store) keys(prefix string) []string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var found []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	sort.Strings(found)
	return found
}

// write sets a key at the current revision. The mutex is held.
func (store *store) write(key string, value []byte, lease int64) {
	written := item{Key: key, Value: value, Revision: store.revision, Created: store.revision, Lease: lease}
	if known, found := store.items[key]; found {
		written.Created = known.Created
	}
	store.items[key] = written
	store.history = append(store.history, written)
}

// erase removes a key at the current revision. The mutex is held.
func (store *store) erase(key string) {
	if _, found := store.items[key]; found {
		delete(store.items, key)
		store.history = append(store.history, item{Key: key, Revision: store.revision, Removed: true})
	}
}

// notify wakes the watches. The mutex is held.
func (store *store) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// expireLeases ends leases that were not renewed.
func (store *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		store.mutex.Lock()
		for id, known := range store.leases {
			if time.Now().After(known.expires) {
				store.endLease(id)
			}
		}
		store.mutex.Unlock()
	}
}

// endLease ends a lease and removes its keys. The mutex is held.
func (store *store) endLease(id int64) {
	delete(store.leases, id)
	store.revision++
	for key, known := range store.items {
		if known.Lease == id {
			store.erase(key)
		}
	}
	store.notify()
}

// answer writes a JSON body.
func answer(writer http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

func (store *store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	found, exists := store.items[request.URL.Query().Get("key")]
	asOf := store.revision
	store.mutex.Unlock()
	if !exists {
		answer(writer, http.StatusNotFound, map[string]int64{wire("position"): asOf})
		return
	}
	answer(writer, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease, wire("position"): asOf,
	})
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	const page = 500
	entries, truncated := []item{}, false
	store.mutex.Lock()
	for key, known := range store.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			entries = append(entries, known)
		}
	}
	asOf := store.revision
	store.mutex.Unlock()
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	if len(entries) > page {
		entries, truncated = entries[:page], true
	}
	answer(writer, http.StatusOK, map[string]any{"entries": entries, "truncated": truncated, wire("position"): asOf})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		store.mutex.Lock()
		events := []item{}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		asOf, changed, cut := store.revision, store.changed, store.cut
		store.mutex.Unlock()
		if len(events) > 0 {
			answer(writer, http.StatusOK, map[string]any{"events": events, wire("position"): asOf})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		case <-timer.C:
			answer(writer, http.StatusOK, map[string]any{"events": events, wire("position"): asOf})
			return
		}
	}
}

// condition is a revision that a key must have for a change.
type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// transaction is the body of a change, without its conditions.
type transaction struct {
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (store *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var change transaction
	body, _ := io.ReadAll(request.Body)
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &change) != nil || json.Unmarshal(body, &fields) != nil {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	var conditions []condition
	_ = json.Unmarshal(fields[wire("expected")], &conditions)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	entries, holds := []item{}, true
	for _, expected := range conditions {
		known := store.items[expected.Key]
		holds = holds && known.Revision == expected.Revision
		if known.Key != "" {
			entries = append(entries, known)
		}
	}
	if !holds {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"entries": entries})
		return
	}
	for _, write := range change.Writes {
		if write.Lease != 0 && store.leases[write.Lease] == nil {
			answer(writer, http.StatusNotFound, nil)
			return
		}
	}
	store.revision++
	for _, write := range change.Writes {
		store.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range change.Remove {
		store.erase(key)
	}
	store.notify()
	answer(writer, http.StatusOK, map[string]int64{"revision": store.revision})
}

func (store *store) serveLease(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.nextID++
	ttl := time.Duration(max(body.TTLMs, 1000)) * time.Millisecond
	store.leases[store.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	answer(writer, http.StatusOK, map[string]int64{"lease": store.nextID, "ttl_ms": ttl.Milliseconds()})
}

func (store *store) serveKeep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known := store.leases[id]
	if known == nil {
		answer(writer, http.StatusNotFound, nil)
		return
	}
	known.expires = time.Now().Add(known.ttl)
	answer(writer, http.StatusOK, map[string]int64{"ttl_ms": known.ttl.Milliseconds()})
}

func (store *store) serveLeaseEnd(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.leases[id] != nil {
		store.endLease(id)
	}
	answer(writer, http.StatusOK, map[string]int64{})
}
