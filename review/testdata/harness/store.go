package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or its removal.
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
	ttl   time.Duration
	until time.Time
}

// snapshot is a copy of the store's state at one moment.
type snapshot struct {
	revision  int64
	items     map[string]item
	leases    map[int64]lease
	nextLease int64
	history   []item
}

// platformStore is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type platformStore struct {
	mutex   sync.Mutex
	state   snapshot
	era     int64
	changed chan struct{}
	// kept is how long the history is kept, 20 s as in the settings.
	kept     time.Duration
	writtenA map[int64]time.Time
	oldest   int64
	address  string
	// refuse returns the status with which a call is rejected, 0 if it is served.
	refuse func(call, from string) int
	down   bool
	server *http.Server
}

// newStore starts a store on a loopback address.
func newStore() *platformStore {
	store := &platformStore{
		state: snapshot{revision: 100, items: map[string]item{}, leases: map[int64]lease{}, nextLease: 5000},
		era:   1, changed: make(chan struct{}), kept: 20 * time.Second, writtenA: map[int64]time.Time{},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	fatalIf(err)
	store.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(wire("GET {calls}{kv key}"), store.getKey)
	mux.HandleFunc(wire("GET {calls}{kv range}"), store.getRange)
	mux.HandleFunc(wire("GET {calls}{kv watch}"), store.watch)
	mux.HandleFunc(wire("POST {calls}{kv txn}"), store.txn)
	mux.HandleFunc(wire("POST {calls}{kv lease}"), store.grant)
	mux.HandleFunc(wire("POST {calls}{kv keep}/{id}"), store.keep)
	mux.HandleFunc(wire("DELETE {calls}{kv lease}-end/{id}"), store.endLease)
	store.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		down, refuse, era := store.down, store.refuse, store.era
		store.mutex.Unlock()
		writer.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		host, _, _ := net.SplitHostPort(request.RemoteAddr)
		status := 0
		if refuse != nil {
			status = refuse(request.Method+" "+request.URL.Path, host)
		}
		if down {
			status = http.StatusServiceUnavailable
		}
		if status != 0 {
			writer.WriteHeader(status)
			return
		}
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = store.server.Serve(listener) }()
	go store.expire()
	return store
}

// update makes a change under the lock and wakes the calls that wait.
func (store *platformStore) update(change func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change()
	close(store.changed)
	store.changed = make(chan struct{})
}

// write sets a key. The lock is held.
func (store *platformStore) write(key string, value []byte, leaseID int64) {
	store.state.revision++
	written := item{Key: key, Value: value, Revision: store.state.revision, Created: store.state.revision, Lease: leaseID}
	if known, ok := store.state.items[key]; ok {
		written.Created = known.Created
	}
	store.state.items[key] = written
	store.note(written)
}

// erase removes a key. The lock is held.
func (store *platformStore) erase(key string) {
	if _, ok := store.state.items[key]; !ok {
		return
	}
	store.state.revision++
	delete(store.state.items, key)
	store.note(item{Key: key, Revision: store.state.revision, Removed: true})
}

// note adds a change to the history and drops what is older than it is kept.
func (store *platformStore) note(change item) {
	now := time.Now()
	store.writtenA[change.Revision] = now
	store.state.history = append(store.state.history, change)
	for len(store.state.history) > 0 {
		first := store.state.history[0]
		if now.Sub(store.writtenA[first.Revision]) <= store.kept {
			return
		}
		store.oldest = first.Revision
		delete(store.writtenA, first.Revision)
		store.state.history = store.state.history[1:]
	}
}

// Put writes a key as the operator or an engine does, and returns when it is confirmed.
func (store *platformStore) Put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	fatalIf(err)
	store.update(func() { store.write(key, data, 0) })
	return time.Now()
}

// Remove removes a key.
func (store *platformStore) Remove(key string) time.Time {
	store.update(func() { store.erase(key) })
	return time.Now()
}

// Copy returns a copy of the state.
func (store *platformStore) Copy() snapshot {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	copied := snapshot{revision: store.state.revision, nextLease: store.state.nextLease, items: map[string]item{}, leases: map[int64]lease{}}
	for key, one := range store.state.items {
		copied.items[key] = one
	}
	for id, one := range store.state.leases {
		copied.leases[id] = one
	}
	copied.history = append(copied.history, store.state.history...)
	return copied
}

// Restore brings the store back from a copy: a new era begins.
func (store *platformStore) Restore(from snapshot) {
	store.update(func() {
		store.era++
		store.state = from
		for id, one := range store.state.leases {
			one.until = time.Now().Add(one.ttl)
			store.state.leases[id] = one
		}
	})
}

// SetDown takes the store away or brings it back.
func (store *platformStore) SetDown(down bool) { store.update(func() { store.down = down }) }

// expire ends the leases that are over.
func (store *platformStore) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		store.mutex.Lock()
		var over []int64
		if !store.down {
			for id, one := range store.state.leases {
				if time.Now().After(one.until) {
					over = append(over, id)
				}
			}
		}
		store.mutex.Unlock()
		for _, id := range over {
			store.update(func() { store.dropLease(id) })
		}
	}
}

// dropLease ends a lease and removes its keys. The lock is held.
func (store *platformStore) dropLease(id int64) {
	delete(store.state.leases, id)
	for key, one := range store.state.items {
		if one.Lease == id {
			store.erase(key)
		}
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (store *platformStore) getKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	one, ok := store.state.items[request.URL.Query().Get("key")]
	asOf := store.state.revision
	store.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, map[string]any{
		"key": one.Key, "value": one.Value, "revision": one.Revision, "created": one.Created, "lease": one.Lease, wire("{as of}"): asOf,
	})
}

// Limits of a page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (store *platformStore) getRange(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	var keys []string
	for key := range store.state.items {
		if strings.HasPrefix(key, query.Get("path_prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, size, truncated := []item{}, 0, false
	for _, key := range keys {
		one := store.state.items[key]
		if len(entries) == pageItems || size > 0 && size+len(one.Value) > pageBytes {
			truncated = true
			break
		}
		entries, size = append(entries, one), size+len(one.Value)
	}
	asOf := store.state.revision
	store.mutex.Unlock()
	reply(writer, http.StatusOK, map[string]any{"entries": entries, "truncated": truncated, wire("{as of}"): asOf})
}

func (store *platformStore) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	store.mutex.Lock()
	era := store.era
	store.mutex.Unlock()
	for over := false; ; {
		store.mutex.Lock()
		gone := store.era != era || after < store.oldest || after > store.state.revision
		changed, asOf, events := store.changed, store.state.revision, []item{}
		for _, change := range store.state.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("path_prefix")) {
				events = append(events, change)
			}
		}
		newEra := store.era
		store.mutex.Unlock()
		writer.Header().Set("Store-Era", strconv.FormatInt(newEra, 10))
		if gone {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			reply(writer, http.StatusOK, map[string]any{"events": events, wire("{as of}"): asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *platformStore) txn(writer http.ResponseWriter, request *http.Request) {
	var expectedItems []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	}
	var writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	}
	var remove []string
	body, err := readBody(request)
	err = errors.Join(err, field(body, "{expected rev}", &expectedItems), field(body, "writes", &writes), field(body, "remove", &remove))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, revision, current := http.StatusOK, int64(0), []item{}
	store.update(func() {
		for _, expected := range expectedItems {
			one, ok := store.state.items[expected.Key]
			if ok {
				current = append(current, one)
			}
			if one.Revision != expected.Revision {
				status = http.StatusPreconditionFailed
			}
		}
		for _, write := range writes {
			if _, ok := store.state.leases[write.Lease]; write.Lease != 0 && !ok {
				status = http.StatusNotFound
			}
			if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
				status = http.StatusForbidden
			}
		}
		if status != http.StatusOK {
			return
		}
		for _, write := range writes {
			store.write(write.Key, write.Value, write.Lease)
		}
		for _, key := range remove {
			store.erase(key)
		}
		revision = store.state.revision
	})
	switch status {
	case http.StatusOK:
		reply(writer, status, map[string]any{"revision": revision})
	case http.StatusPreconditionFailed:
		reply(writer, status, map[string]any{"entries": current})
	default:
		writer.WriteHeader(status)
	}
}

func (store *platformStore) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(min(max(body.TTLMs, 1000), 600000)) * time.Millisecond
	var id int64
	store.update(func() {
		store.state.nextLease++
		id = store.state.nextLease
		store.state.leases[id] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	})
	reply(writer, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (store *platformStore) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.mutex.Lock()
	one, ok := store.state.leases[id]
	if ok {
		one.until = time.Now().Add(one.ttl)
		store.state.leases[id] = one
	}
	store.mutex.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	reply(writer, http.StatusOK, map[string]any{"ttl_ms": one.ttl.Milliseconds()})
}

func (store *platformStore) endLease(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseInt(request.PathValue("id"), 10, 64)
	store.update(func() { store.dropLease(id) })
	writer.WriteHeader(http.StatusOK)
}
