package front

import (
	"container/list"
	"sync"
	"time"
)

// activeWeight is the number of idle connections that one with a request counts for: it takes a connection to a
// server, too.
const activeWeight = 2

// Connections limits the idle connections of callers. While more connections are open than its limit, they are
// closed after their responses. Beyond activeWeight times the limit, counting each with a request activeWeight
// times, a new connection takes the place of the one that has been idle for the longest time. Connections with a
// request are not limited. It is safe for concurrent use.
type Connections struct {
	limit int
	mutex sync.Mutex
	open  int
	// idle holds the connections on which no byte of a request has been read, the longest idle first.
	idle list.List
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

// opened counts a connection, which is not idle yet. It may end the one that has been idle for the longest time.
func (connections *Connections) opened() {
	if connections == nil {
		return
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.open++
	oldest, active := connections.idle.Front(), connections.open-connections.idle.Len()
	if connections.idle.Len()+activeWeight*active <= activeWeight*connections.limit || oldest == nil {
		return
	}
	conn := connections.idle.Remove(oldest).(*headConn)
	conn.place = nil
	conn.isEvicted = true
	// It wakes the read of the connection, which looks for bytes once more. An error means that it has ended.
	_ = conn.Conn.SetReadDeadline(time.Now())
}

// closed ends the count of a connection. It may be called again.
func (connections *Connections) closed(conn *headConn) {
	if connections == nil {
		return
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.removeIdle(conn)
	if !conn.isClosed {
		conn.isClosed = true
		connections.open--
	}
}

// beginIdle adds a connection to the idle ones. Its deadline may be changed until endIdle.
func (connections *Connections) beginIdle(conn *headConn) {
	if connections == nil {
		return
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	conn.place = connections.idle.PushBack(conn)
}

// endIdle removes a connection from the idle ones, and reports whether its place was taken since beginIdle.
func (connections *Connections) endIdle(conn *headConn) (wasEvicted bool) {
	if connections == nil {
		return false
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.removeIdle(conn)
	wasEvicted, conn.isEvicted = conn.isEvicted, false
	return wasEvicted
}

// removeIdle removes a connection from the idle ones if it is one of them.
func (connections *Connections) removeIdle(conn *headConn) {
	if conn.place != nil {
		connections.idle.Remove(conn.place)
		conn.place = nil
	}
}
