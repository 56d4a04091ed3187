package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// content is what a copy of the store holds.
type content struct {
	revision int64
	items    map[string]item
	leases   map[int64]time.Duration
	expires  map[int64]time.Time
	history  []item
}

func (from *content) clone() *content {
	return &content{from.revision, maps.Clone(from.items), maps.Clone(from.leases), maps.Clone(from.expires), slices.Clone(from.history)}
}

// platformStore is the platform's store, as PROTOCOL.md describes it.
type platformStore struct {
	mutex     sync.Mutex
	content   *content
	nextLease int64
	era       int64
	down      bool
	// loading: the store has begun a new era and answers 503 until it has read the copy.
	loading bool
	conns   map[net.Conn]bool
	// changed is closed at each change.
	changed chan struct{}
	address string
	// onCall is called after each answered call; may be nil.
	onCall func(request *http.Request)
	// watching is the number of watches that wait, and answeredAt when the last one was answered.
	watching   int
	answeredAt time.Time
	// refuse says which calls the store does not answer; may be nil.
	refuse func(request *http.Request) bool
}

func newStore(address string) (*platformStore, error) {
	store := &platformStore{
		content:   &content{revision: 1, items: map[string]item{}, leases: map[int64]time.Duration{}, expires: map[int64]time.Time{}},
		nextLease: 1000, conns: map[net.Conn]bool{}, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	store.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(wire("get_call"), store.getKey)
	mux.HandleFunc(wire("range_call"), store.getRange)
	mux.HandleFunc(wire("watch_call"), store.watch)
	mux.HandleFunc(wire("transact_call"), store.transact)
	mux.HandleFunc(wire("grant_call"), store.grant)
	mux.HandleFunc(wire("keep_call"), store.keep)
	mux.HandleFunc(wire("end_call"), store.end)
	server := &http.Server{Handler: store.guard(mux), ReadHeaderTimeout: time.Minute, ConnState: store.track}
	go func() { _ = server.Serve(listener) }()
	go store.expireLeases()
	return store, nil
}

// track keeps the open connections, and closes new ones while the store is away.
func (store *platformStore) track(conn net.Conn, state http.ConnState) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	switch state {
	case http.StateNew:
		store.conns[conn] = true
		if store.down {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(store.conns, conn)
	}
}

// guard answers nothing while the store is away, and names the era in all answers.
func (store *platformStore) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		down, era, loading := store.down, store.era, store.loading
		refuse, onCall := store.refuse, store.onCall
		store.mutex.Unlock()
		if down || refuse != nil && refuse(request) {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if loading {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
		if onCall != nil {
			onCall(request)
		}
	})
}

// goAway closes all connections. Until comeBack no call is answered.
func (store *platformStore) goAway() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = true
	for conn := range store.conns {
		_ = conn.Close()
	}
	store.notify()
}

// load makes a store that is away answer 503, in the next era, until comeBack.
func (store *platformStore) load() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down, store.loading = false, true
	store.era++
	store.notify()
}

// comeBack ends goAway. A copy replaces what the store holds, and begins a new era.
func (store *platformStore) comeBack(copied *content) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if copied != nil {
		store.content = copied.clone()
		if !store.loading {
			store.era++
		}
	}
	store.down, store.loading = false, false
	// Leases pause while the store is away.
	for id, ttl := range store.content.leases {
		store.content.expires[id] = time.Now().Add(ttl)
	}
	store.notify()
}

// snapshot returns a copy of what the store holds.
func (store *platformStore) snapshot() *content {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.content.clone()
}

// notify wakes the watches. The mutex is held.
func (store *platformStore) notify() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// write changes a key. The mutex is held.
func (store *platformStore) write(key string, value []byte, lease int64, removed bool) {
	now := store.content
	old, exists := now.items[key]
	if removed && !exists {
		return
	}
	now.revision++
	next := item{Key: key, Value: value, Revision: now.revision, Created: now.revision, Lease: lease, Removed: removed}
	if exists {
		next.Created = old.Created
	}
	if removed {
		delete(now.items, key)
	} else {
		now.items[key] = next
	}
	now.history = append(now.history, next)
}

// put writes a key for the operator or an engine. It reports false while the store is away.
func (store *platformStore) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return store.putRaw(key, data)
}

func (store *platformStore) putRaw(key string, data []byte) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down || store.loading {
		return false
	}
	store.write(key, data, 0, false)
	store.notify()
	return true
}

func (store *platformStore) expireLeases() {
	for {
		time.Sleep(20 * time.Millisecond)
		store.mutex.Lock()
		if !store.down && !store.loading {
			for id, at := range store.content.expires {
				if time.Now().After(at) {
					store.endLease(id)
				}
			}
		}
		store.mutex.Unlock()
	}
}

// endLease removes a lease with its keys. The mutex is held.
func (store *platformStore) endLease(id int64) bool {
	if _, ok := store.content.leases[id]; !ok {
		return false
	}
	delete(store.content.leases, id)
	delete(store.content.expires, id)
	for key, held := range store.content.items {
		if held.Lease == id {
			store.write(key, nil, 0, true)
		}
	}
	store.notify()
	return true
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *platformStore) getKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	found, ok := store.content.items[request.URL.Query().Get("key")]
	revision := store.content.revision
	store.mutex.Unlock()
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{wire("revision_field"): revision})
		return
	}
	answer(writer, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": found.Lease, wire("revision_field"): revision,
	})
}

const pageSize = 500

func (store *platformStore) getRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	entries, truncated := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(store.content.items)) {
		if !strings.HasPrefix(key, query.Get("path_prefix")) || query.Get("after") != "" && key <= query.Get("after") {
			continue
		}
		if len(entries) == pageSize {
			truncated = true
			break
		}
		entries = append(entries, store.content.items[key])
	}
	revision := store.content.revision
	store.mutex.Unlock()
	answer(writer, http.StatusOK, map[string]any{"entries": entries, "truncated": truncated, wire("revision_field"): revision})
}

func (store *platformStore) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	store.mutex.Lock()
	era := store.era
	store.watching++
	store.mutex.Unlock()
	defer store.endWatch()
	for {
		store.mutex.Lock()
		events, revision, changed, down := []item{}, store.content.revision, store.changed, store.down
		for _, change := range store.content.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		isGone := after > revision || era != store.era
		store.mutex.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case isGone:
			answer(writer, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			answer(writer, http.StatusOK, map[string]any{"events": events, wire("revision_field"): revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timer.C:
			answer(writer, http.StatusOK, map[string]any{"events": events, wire("revision_field"): revision})
			return
		}
	}
}

func (store *platformStore) endWatch() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watching--
	store.answeredAt = time.Now()
}

// awaitPause waits until no watch is waiting and the last one was answered a moment ago: hosts that read changes in
// quick succession wait between two calls.
func (store *platformStore) awaitPause() {
	for {
		store.mutex.Lock()
		isPause := store.watching == 0 && time.Since(store.answeredAt) < 20*time.Millisecond
		store.mutex.Unlock()
		if isPause {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// expectation is a condition of a transaction.
type expectation struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type transaction struct {
	Expected []expectation `json:"-"`
	Writes   []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

// readTransaction decodes a transaction. The name of the field with its conditions is data.
func readTransaction(body io.Reader) (transaction, error) {
	var change transaction
	var conditions map[string]json.RawMessage
	data, err := io.ReadAll(body)
	if err != nil {
		return change, err
	}
	if err := json.Unmarshal(data, &change); err != nil {
		return change, err
	}
	if err := json.Unmarshal(data, &conditions); err != nil {
		return change, err
	}
	if expected, found := conditions[wire("expected_field")]; found {
		return change, json.Unmarshal(expected, &change.Expected)
	}
	return change, nil
}

func (store *platformStore) transact(writer http.ResponseWriter, request *http.Request) {
	change, err := readTransaction(request.Body)
	if err != nil {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mutex.Lock()
	status, body := store.apply(change)
	store.mutex.Unlock()
	answer(writer, status, body)
}

// apply applies a transaction. The mutex is held.
func (store *platformStore) apply(change transaction) (int, any) {
	if store.down {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	for _, write := range change.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if _, ok := store.content.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	failed := []item{}
	isFailed := false
	for _, condition := range change.Expected {
		held := store.content.items[condition.Key]
		isFailed = isFailed || held.Revision != condition.Revision
		if held.Key != "" {
			failed = append(failed, held)
		}
	}
	if isFailed {
		return http.StatusPreconditionFailed, map[string]any{"entries": failed}
	}
	for _, write := range change.Writes {
		store.write(write.Key, write.Value, write.Lease, false)
	}
	for _, key := range change.Remove {
		store.write(key, nil, 0, true)
	}
	store.notify()
	return http.StatusOK, map[string]any{"revision": store.content.revision}
}

func (store *platformStore) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || body.TTLMs < 1000 || body.TTLMs > 600_000 {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	store.mutex.Lock()
	store.nextLease++
	id, ttl := store.nextLease, time.Duration(body.TTLMs)*time.Millisecond
	store.content.leases[id], store.content.expires[id] = ttl, time.Now().Add(ttl)
	store.mutex.Unlock()
	answer(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMs})
}

func (store *platformStore) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	ttl, ok := store.content.leases[id]
	if ok {
		store.content.expires[id] = time.Now().Add(ttl)
	}
	store.mutex.Unlock()
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	answer(writer, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (store *platformStore) end(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	ok := store.endLease(id)
	store.mutex.Unlock()
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	answer(writer, http.StatusOK, map[string]any{})
}
