package kv

import (
	"slices"
	"strings"
	"time"

	"primrosegw/core/store"
)

// historyLimit is the number of changes kept for watches that start late.
// Older ones are compacted away.
const historyLimit = 4096

// record is one key of the model.
type record struct {
	store.Entry
	version int64
}

// tenure is one lease of the model.
type tenure struct {
	ttl   time.Duration
	until time.Time
	timer *time.Timer
}

// change is one write that watches see.
type change struct {
	revision int64
	event    store.Event
}

// model is the state of the service. Its methods are not safe for concurrent
// use; Service locks around them.
type model struct {
	revision  int64
	records   map[string]*record
	leases    map[int64]*tenure
	nextLease int64
	history   []change
	compacted int64
	// changed is closed and replaced at each write.
	changed chan struct{}
}

// newModel returns an empty model. The first write has revision 2, as in the
// published service.
func newModel() *model {
	return &model{
		revision: 1, records: map[string]*record{}, leases: map[int64]*tenure{},
		nextLease: 7000, changed: make(chan struct{}),
	}
}

// put writes a key at a revision.
func (model *model) put(revision int64, key string, value []byte, lease int64) {
	held := model.records[key]
	if held == nil {
		held = &record{Entry: store.Entry{Key: key, Created: revision}}
		model.records[key] = held
	}
	held.Value = slices.Clone(value)
	held.Revision = revision
	held.Lease = lease
	held.version++
	model.note(revision, store.Event{Entry: held.Entry})
}

// remove deletes a key at a revision and reports whether it was there.
func (model *model) remove(revision int64, key string) bool {
	if model.records[key] == nil {
		return false
	}
	delete(model.records, key)
	model.note(revision, store.Event{Entry: store.Entry{Key: key, Revision: revision}, Deleted: true})
	return true
}

// note appends a change to the history and compacts it.
func (model *model) note(revision int64, event store.Event) {
	model.revision = revision
	model.history = append(model.history, change{revision: revision, event: event})
	if excess := len(model.history) - historyLimit; excess > 0 {
		model.compacted = model.history[excess-1].revision
		model.history = slices.Delete(model.history, 0, excess)
	}
	close(model.changed)
	model.changed = make(chan struct{})
}

// within reports whether a name is in the span from key up to end. An empty end
// means the one key, and a zero byte means all keys from key on.
func within(name, key, end string) bool {
	if end == "" || name < key {
		return name == key
	}
	return end == "\x00" || name < end
}

// span returns the keys from key up to end, in order.
func (model *model) span(key, end string) []*record {
	found := []*record{}
	for name, held := range model.records {
		if within(name, key, end) {
			found = append(found, held)
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// modified returns the revision of a key's last write, 0 if it is absent.
func (model *model) modified(key string) int64 {
	if held := model.records[key]; held != nil {
		return held.Revision
	}
	return 0
}

// since returns the changes from a revision on to keys in a span. It reports
// false when some of them are compacted away, or if the revision was never reached.
func (model *model) since(from int64, key, end string) ([]change, bool) {
	if from <= model.compacted || from > model.revision+1 {
		return nil, false
	}
	found := []change{}
	for _, past := range model.history {
		if past.revision >= from && within(past.event.Entry.Key, key, end) {
			found = append(found, past)
		}
	}
	return found, true
}

// end removes a lease and its keys.
func (model *model) end(lease int64) {
	held := model.leases[lease]
	if held == nil {
		return
	}
	held.timer.Stop()
	delete(model.leases, lease)
	revision := model.revision + 1
	for _, bound := range model.span("", "\x00") {
		if bound.Lease == lease {
			model.remove(revision, bound.Key)
		}
	}
}

// prefixEnd returns the end of the span of keys with a prefix.
func prefixEnd(prefix string) string {
	end := []byte(prefix)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return string(end[:index+1])
		}
	}
	return "\x00"
}
