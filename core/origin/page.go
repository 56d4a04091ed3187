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
	// maxPageStreams limits the streams of a page, which is one value of the store, to 64 KiB of JSON.
	// Older builds write up to maxReadStreams, without workspaces.
	maxPageStreams = 3500
	maxReadStreams = 1 << 12
	// entryBytes is the size of a stream on a page: its key, the index of its origin and the time
	// for which it is still to be remembered, in units of leftUnit.
	entryBytes = 8 + 1 + 2
	leftUnit   = 100 * time.Millisecond
	// workspaceBytes is the size of the tag of a stream's workspace.
	workspaceBytes = 2
	// maxOrigins limits the origins of a page to what their index can tell apart.
	maxOrigins = 256
)

// Page is a value of the store with the origins of streams that began at one host. A host writes
// its newest page again as streams are added.
type Page struct {
	Origins []Origin `json:"origins"`
	// Streams holds entryBytes for each stream.
	Streams []byte `json:"streams"`
	// Workspaces holds workspaceBytes for each stream; older builds neither write nor read it.
	Workspaces []byte `json:"workspaces,omitempty"`
}

// add adds a stream. It returns false if the page is full.
func (page *Page) add(added *stream, left time.Duration) bool {
	index := slices.Index(page.Origins, added.origin)
	if len(page.Streams) >= maxPageStreams*entryBytes || index < 0 && len(page.Origins) >= maxOrigins {
		return false
	}
	if index < 0 {
		index = len(page.Origins)
		page.Origins = append(page.Origins, added.origin)
	}
	page.Streams = binary.BigEndian.AppendUint64(page.Streams, added.key)
	page.Streams = append(page.Streams, byte(index))
	page.Streams = binary.BigEndian.AppendUint16(page.Streams, uint16(min(left, maxLifetime)/leftUnit))
	page.Workspaces = binary.BigEndian.AppendUint16(page.Workspaces, added.workspace)
	return true
}

// isReadable reports whether the lengths of a page's parts fit together.
func (page *Page) isReadable() bool {
	count := len(page.Streams) / entryBytes
	return len(page.Streams) == count*entryBytes && count <= maxReadStreams &&
		(len(page.Workspaces) == 0 || len(page.Workspaces) == count*workspaceBytes)
}

// workspace returns the tag of the workspace of a stream; 0: the page does not say it.
func (page *Page) workspace(number int) uint16 {
	if len(page.Workspaces) == 0 {
		return 0
	}
	return binary.BigEndian.Uint16(page.Workspaces[number*workspaceBytes:])
}

// ApplyPage remembers the streams of a page. What is known of them stays: a host reads its own pages, too. It
// returns false if the page cannot be read.
func (registry *Registry) ApplyPage(page Page, now time.Time) bool {
	if !page.isReadable() {
		return false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.sweep(now)
	for number := range len(page.Streams) / entryBytes {
		entry := page.Streams[number*entryBytes:]
		key, index := binary.BigEndian.Uint64(entry), int(entry[8])
		if index >= len(page.Origins) {
			return false
		}
		left := time.Duration(binary.BigEndian.Uint16(entry[9:])) * leftUnit
		added := stream{name: name{key: key, workspace: page.workspace(number)}, origin: page.Origins[index], expiresAt: expiry(left, now)}
		if left > 0 && !registry.knows(added, now) {
			registry.add(added, now)
		}
	}
	return true
}

// knows reports whether it is known that a stream with a name began at an origin. The mutex is held.
func (registry *Registry) knows(wanted stream, now time.Time) bool {
	return slices.ContainsFunc(registry.streams[wanted.key], func(known *stream) bool {
		return known.name == wanted.name && known.origin == wanted.origin && !known.concluded && !now.After(known.expiresAt)
	})
}

// PageWriter collects the streams of this host that are to be written to the store, in pages. It
// must not be used concurrently.
type PageWriter struct {
	registry *Registry
	// Number counts the pages.
	Number int
	// Page is the newest page.
	Page Page
	// added are the streams that were added in the last call of Collect.
	added []addedStream
	// startedAt is when the page was begun, and expiresAt when its lease ends.
	startedAt, expiresAt time.Time
	// longest is the longest time for which a stream was to be remembered.
	longest time.Duration
}

// addedStream is a stream on a page, with the time until which it is remembered there.
type addedStream struct {
	*stream
	until time.Time
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
	writer.added = registry.unwrittenStreams(hasVersions, now)
	if len(writer.added) == 0 {
		return false
	}
	longest := time.Duration(0)
	for _, one := range writer.added {
		longest = max(longest, one.expiresAt.Sub(now))
	}
	writer.longest = max(writer.longest, longest)
	if writer.startedAt.IsZero() || now.Sub(writer.startedAt) >= pageDuration(interval) || now.Add(longest).After(writer.expiresAt) {
		writer.begin(interval, now)
	}
	for index, one := range writer.added {
		if !writer.Page.add(one.stream, one.expiresAt.Sub(now)) {
			// The others are written with the next page.
			writer.added, writer.startedAt = writer.added[:index], time.Time{}
			break
		}
	}
	return len(writer.added) > 0
}

// unwrittenStreams returns the streams of this host that are not in the store and whose service may
// have several versions. The mutex is held.
func (registry *Registry) unwrittenStreams(hasVersions func(service string) bool, now time.Time) []addedStream {
	var unwritten []addedStream
	several := map[string]bool{}
	isDue := func(one *stream) bool {
		if !one.unwritten || one.expiresAt.Sub(now) < leftUnit {
			return false
		}
		service := one.origin.Service
		if _, known := several[service]; !known {
			several[service] = hasVersions(service)
		}
		return several[service]
	}
	for _, streams := range registry.streams {
		for _, one := range streams {
			if isDue(one) {
				unwritten = append(unwritten, addedStream{stream: one, until: one.expiresAt})
			}
		}
	}
	return unwritten
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
	for _, one := range writer.added {
		one.unwritten = one.expiresAt.After(one.until)
	}
	return len(writer.added)
}

// Unwritten records that the newest page is not known to be in the store. Its streams are collected
// again, on another page.
func (writer *PageWriter) Unwritten() { writer.startedAt = time.Time{} }

// ForgetWritten makes all streams that began at this host be written again, because the store was
// restored from a copy.
func (registry *Registry) ForgetWritten() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, streams := range registry.streams {
		for _, known := range streams {
			known.unwritten = known.unwritten || known.isOwn
		}
	}
}
