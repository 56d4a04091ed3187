package kv

import (
	"maps"
	"slices"
	"time"
)

// Copy is the state of a Service at one moment.
type Copy struct {
	revision  int64
	records   map[string]record
	leases    map[int64]time.Duration
	nextLease int64
	history   []change
	compacted int64
}

// Copy returns the present state.
func (service *Service) Copy() Copy {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	model := service.model
	result := Copy{
		revision: model.revision, records: map[string]record{}, leases: map[int64]time.Duration{},
		nextLease: model.nextLease, history: slices.Clone(model.history), compacted: model.compacted,
	}
	for key, held := range model.records {
		result.records[key] = *held
	}
	for id, held := range model.leases {
		result.leases[id] = held.ttl
	}
	return result
}

// Restore replaces the state by a copy of before: later writes and leases are gone, and
// their revisions and IDs are given out again. The service has a new cluster ID from then
// on, as the published one has when it is restored from a snapshot. Leases of the copy
// start anew.
func (service *Service) Restore(from Copy) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	previous := service.model
	for _, held := range previous.leases {
		held.timer.Stop()
	}
	service.clusterID++
	service.model = newModel()
	service.model.revision, service.model.nextLease, service.model.compacted = from.revision, from.nextLease, from.compacted
	service.model.history = slices.Clone(from.history)
	for key, held := range from.records {
		restored := held
		service.model.records[key] = &restored
	}
	for id, ttl := range maps.All(from.leases) {
		service.model.leases[id] = service.startLease(id, ttl)
	}
	close(previous.changed)
}

// startLease starts the time of a lease. The lock is held.
func (service *Service) startLease(id int64, ttl time.Duration) *tenure {
	return &tenure{ttl: ttl, until: time.Now().Add(ttl), timer: time.AfterFunc(ttl, func() { service.expire(id) })}
}
