package origin

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// pageAge is how long streams are added to a page. It is also the least number of rounds of
	// writing on a page, whatever their interval is.
	pageAge    = 5 * time.Second
	pageRounds = 3
	// maxPageStreams limits the streams of a page, which is one value of the store.
	maxPageStreams = 1 << 12
	// entryBytes is the size of a stream on a page: its key, the index of its origin and the time
	// for which it is still to be remembered, in units of leftUnit.
	entryBytes = 8 + 1 + 2
	leftUnit   = 100 * time.Millisecond
	// maxOrigins limits the origins of a page to what their index can tell apart.
	maxOrigins = 256
)

// Page is a value of the store with the origins of streams that began at one host. A host writes
// its newest page again as streams are added.
type Page struct {
	Origins []Origin `json:"origins"`
	// Streams holds entryBytes for each stream.
	Streams []byte `json:"streams"`
}

// add adds a stream. It returns false if the page is full.
func (page *Page) add(key uint64, origin Origin, left time.Duration) bool {
	index := slices.Index(page.Origins, origin)
	if len(page.Streams) >= maxPageStreams*entryBytes || index < 0 && len(page.Origins) >= maxOrigins {
		return false
	}
	if index < 0 {
		index = len(page.Origins)
		page.Origins = append(page.Origins, origin)
	}
	page.Streams = binary.BigEndian.AppendUint64(page.Streams, key)
	page.Streams = append(page.Streams, byte(index))
	page.Streams = binary.BigEndian.AppendUint16(page.Streams, uint16(min(left, maxLifetime)/leftUnit))
	return true
}

// ApplyPage remembers the streams of a page. What is known of them stays. It returns false if the
// page cannot be read.
func (registry *Registry) ApplyPage(page Page, now time.Time) bool {
	if len(page.Streams)%entryBytes != 0 || len(page.Streams) > maxPageStreams*entryBytes {
		return false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for entry := range slices.Chunk(page.Streams, entryBytes) {
		key, index := binary.BigEndian.Uint64(entry), int(entry[8])
		if index >= len(page.Origins) {
			return false
		}
		left := time.Duration(binary.BigEndian.Uint16(entry[9:])) * leftUnit
		if _, known := registry.streams[key]; !known && left > 0 {
			registry.add(key, stream{origin: page.Origins[index], expiresAt: expiry(left, now)}, now)
		}
	}
	return true
}

// PageWriter collects the streams of this host that are to be written to the store, in pages. It
// must not be used concurrently.
type PageWriter struct {
	registry *Registry
	// Number counts the pages.
	Number int
	// Page is the newest page.
	Page Page
	// keys are the streams that were added in the last call of Collect.
	keys []uint64
	// startedAt is when the page was begun, and expiresAt when its lease ends.
	startedAt, expiresAt time.Time
	// longest is the longest time for which a stream was to be remembered.
	longest time.Duration
}

// NewPageWriter returns a writer of the streams in a registry.
func NewPageWriter(registry *Registry) *PageWriter { return &PageWriter{registry: registry} }

// Collect adds to the newest page the streams of this host that are not in the store and whose
// service may have several versions, and begins another page when that is due. Interval is the time
// between two calls. It reports whether the page is to be written.
func (writer *PageWriter) Collect(hasVersions func(service string) bool, interval time.Duration, now time.Time) bool {
	registry := writer.registry
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	writer.keys = registry.unwrittenKeys(hasVersions, now)
	if len(writer.keys) == 0 {
		return false
	}
	longest := time.Duration(0)
	for _, key := range writer.keys {
		longest = max(longest, registry.streams[key].expiresAt.Sub(now))
	}
	writer.longest = max(writer.longest, longest)
	if writer.startedAt.IsZero() || now.Sub(writer.startedAt) >= pageDuration(interval) || now.Add(longest).After(writer.expiresAt) {
		writer.begin(interval, now)
	}
	for index, key := range writer.keys {
		one := registry.streams[key]
		if !writer.Page.add(key, one.origin, one.expiresAt.Sub(now)) {
			// The others are written with the next page.
			writer.keys, writer.startedAt = writer.keys[:index], time.Time{}
			break
		}
	}
	return len(writer.keys) > 0
}

// unwrittenKeys returns the streams of this host that are not in the store and whose service may
// have several versions. The mutex is held.
func (registry *Registry) unwrittenKeys(hasVersions func(service string) bool, now time.Time) []uint64 {
	var keys []uint64
	several := map[string]bool{}
	for key, one := range registry.streams {
		if !one.unwritten || one.expiresAt.Sub(now) < leftUnit {
			continue
		}
		service := one.origin.Service
		if _, known := several[service]; !known {
			several[service] = hasVersions(service)
		}
		if several[service] {
			keys = append(keys, key)
		}
	}
	return keys
}

// pageDuration returns how long streams are added to a page.
func pageDuration(interval time.Duration) time.Duration { return max(pageAge, pageRounds*interval) }

// begin begins a page.
func (writer *PageWriter) begin(interval time.Duration, now time.Time) {
	writer.Number++
	writer.Page = Page{}
	writer.startedAt, writer.expiresAt = now, now.Add(writer.longest+pageDuration(interval))
}

// TTL returns how long the newest page is to be kept.
func (writer *PageWriter) TTL(now time.Time) time.Duration { return writer.expiresAt.Sub(now) }

// Written records that the newest page is in the store. It returns the number of streams that were
// added to it.
func (writer *PageWriter) Written() int {
	registry := writer.registry
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, key := range writer.keys {
		if known, ok := registry.streams[key]; ok {
			known.unwritten = false
			registry.streams[key] = known
		}
	}
	return len(writer.keys)
}

// Unwritten records that the newest page is not known to be in the store. Its streams are collected
// again, on another page.
func (writer *PageWriter) Unwritten() { writer.startedAt = time.Time{} }

// ForgetWritten makes all streams that began at this host be written again, because the store was
// restored from a copy.
func (registry *Registry) ForgetWritten() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for key, known := range registry.streams {
		known.unwritten = known.unwritten || known.isOwn
		registry.streams[key] = known
	}
}
