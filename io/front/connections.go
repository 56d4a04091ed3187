package front

import (
	"container/list"
	"sync"
	"time"
)

const (
	// activeWeight is the number of idle connections that one with a request counts for: it takes a connection to a
	// server, too.
	activeWeight = 2
	// minIdleTime is how long a connection has been idle at least before it makes room. The caller of a new one may
	// be about to send its request, and be held up as much as the host.
	minIdleTime = 500 * time.Millisecond
)

// Connections limits the idle connections of callers. While more connections are open than its limit, they are
// closed after their responses. Beyond activeWeight times the limit, counting each with a request activeWeight
// times, those that have been idle for the longest time make room for new ones. Connections with a request are not
// limited. It is safe for concurrent use.
type Connections struct {
	limit int
	mutex sync.Mutex
	open  int
	// idle holds the connections on which no byte of a request has been read, the longest idle first, without
	// those that make room, whose number is evicted.
	idle    list.List
	evicted int
}

// place is the place of a connection in a Connections, which reads and writes it.
type place struct {
	connections *Connections
	// element is that among the idle connections; nil: it is none of them.
	element *list.Element
	idleAt  time.Time
	// isEvicted: the connection makes room, unless a byte of a request is read.
	isEvicted, isClosed bool
}

// NewConnections returns a Connections with a limit.
func NewConnections(limit int) *Connections { return &Connections{limit: limit} }

// isFull reports whether more connections are open than the limit. Nothing is limited if it is nil.
func (connections *Connections) isFull() bool {
	if connections == nil {
		return false
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.open > connections.limit
}

// opened counts a connection, which is not idle yet, and makes room for it.
func (connections *Connections) opened() {
	if connections == nil {
		return
	}
	connections.mutex.Lock()
	connections.open++
	connections.mutex.Unlock()
	connections.makeRoom()
}

// makeRoom ends idle connections if there are too many.
func (connections *Connections) makeRoom() {
	if connections == nil {
		return
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	now := time.Now()
	for oldest := connections.idle.Front(); oldest != nil && connections.weight() > activeWeight*connections.limit; oldest = connections.idle.Front() {
		conn := oldest.Value.(*headConn)
		if now.Sub(conn.place.idleAt) < minIdleTime {
			return
		}
		conn.place.removeIdle()
		conn.place.isEvicted = true
		connections.evicted++
		// It wakes the read of the connection, which looks for bytes once more. An error means that it has ended.
		_ = conn.Conn.SetReadDeadline(now)
	}
}

// weight returns the number of connections, counting each with a request activeWeight times.
func (connections *Connections) weight() int {
	idle := connections.idle.Len()
	return idle + activeWeight*(connections.open-idle-connections.evicted)
}

// closed ends the count of a connection. It may be called again.
func (place *place) closed() {
	if place.connections == nil {
		return
	}
	place.connections.mutex.Lock()
	defer place.connections.mutex.Unlock()
	place.endEviction()
	place.removeIdle()
	if !place.isClosed {
		place.isClosed = true
		place.connections.open--
	}
}

// beginIdle adds a connection to the idle ones. Its deadline may be changed until endIdle.
func (place *place) beginIdle(conn *headConn) {
	if place.connections == nil {
		return
	}
	place.connections.mutex.Lock()
	defer place.connections.mutex.Unlock()
	place.idleAt = time.Now()
	place.element = place.connections.idle.PushBack(conn)
}

// endIdle is called when a byte of a request has been read.
func (place *place) endIdle() {
	if place.connections == nil {
		return
	}
	place.connections.mutex.Lock()
	defer place.connections.mutex.Unlock()
	place.endEviction()
	place.removeIdle()
}

// lastLook is called before an idle connection is read for the last time, and reports whether it makes room.
func (place *place) lastLook() (isEvicted bool) {
	if place.connections == nil {
		return false
	}
	place.connections.mutex.Lock()
	defer place.connections.mutex.Unlock()
	place.removeIdle()
	return place.isEvicted
}

func (place *place) endEviction() {
	if place.isEvicted {
		place.isEvicted = false
		place.connections.evicted--
	}
}

func (place *place) removeIdle() {
	if place.element != nil {
		place.connections.idle.Remove(place.element)
		place.element = nil
	}
}
