package reach

import (
	"sync"
	"time"
)

// Peers holds which other hosts are cut off, as they say themselves. It is safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	// saidAt is when a host last said that it is cut off, by name.
	saidAt map[string]time.Time
	// failedAt is when a host last could not open a connection for this one, by name.
	failedAt map[string]time.Time
}

// NewPeers returns Peers of which none is cut off.
func NewPeers() *Peers {
	return &Peers{saidAt: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

// Record records what a host says of itself.
func (peers *Peers) Record(name string, isCutOff bool, now time.Time) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if isCutOff {
		peers.saidAt[name] = now
		return
	}
	delete(peers.saidAt, name)
}

// IsCutOff reports whether a host has said lately that it is cut off.
func (peers *Peers) IsCutOff(name string, now time.Time) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	saidAt, found := peers.saidAt[name]
	return found && now.Sub(saidAt) < cutOffTTL
}

// RecordHelp records whether a host could open a connection for this one.
func (peers *Peers) RecordHelp(name string, helped bool, now time.Time) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if helped {
		delete(peers.failedAt, name)
		return
	}
	peers.failedAt[name] = now
}

// failedLately reports whether a host could not help the last time, within failureTTL.
func (peers *Peers) failedLately(name string, now time.Time) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	failedAt, found := peers.failedAt[name]
	if found && now.Sub(failedAt) >= failureTTL {
		delete(peers.failedAt, name)
		return false
	}
	return found
}
