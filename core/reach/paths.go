// Package reach tracks which backend servers a host reaches by itself, whether it is cut off from all of
// them, and which other hosts can open connections for it.
package reach

import (
	"sync"
	"time"
)

const (
	// cutOffPaths is the number of servers whose paths must be found down within cutOffWindow, with no
	// sign of any server in between, for the host to count as cut off.
	cutOffPaths  = 2
	cutOffWindow = 2 * time.Second
	// redialInterval is the time between two direct dials to a server whose path is down.
	redialInterval = 300 * time.Millisecond
	// maxRedials is the number of direct dials that are due at once: one success shows that the host is
	// not cut off.
	maxRedials = 16
	// SilenceBeforeProbe is how long an attempt gets no byte until its path is probed.
	SilenceBeforeProbe = 250 * time.Millisecond
	// SilenceBeforeBreak is how long an attempt whose path is down gets no byte until it ends.
	SilenceBeforeBreak = 600 * time.Millisecond
	// doubtTTL is how long a path stays in doubt after a connection of it ended without a byte.
	doubtTTL = 2 * time.Second
	// forgetAfter is how long nothing is heard of a process until it is forgotten. One whose path is down
	// is kept until it has ended.
	forgetAfter = time.Minute
)

// Paths is what a host knows of its own paths to the processes of backend servers, each of which is named
// by a string. A path is direct: connections through other hosts say nothing of it. It is safe for
// concurrent use.
type Paths struct {
	mutex sync.Mutex
	paths map[string]*path
	// lastSign is when a server last showed that this host reaches it.
	lastSign time.Time
	// failedAt is when a path last failed or was seen to be down. Nothing is in doubt long after, so that a
	// request on a calm day looks at no other path than its own.
	failedAt time.Time
	// lastTunnel is when another host last reached a server for this one, and tunnelSince when one first did
	// after lastSign; zero if none has.
	lastTunnel, tunnelSince time.Time
	// provenSince is the same as tunnelSince for a byte of a server.
	provenSince time.Time
	// refuted is what direct dials in the background have shown of any process.
	refuted refutation
	// lastByte is when the last byte arrived from any server.
	lastByte time.Time
	// probedAt is when the last probe of a silent path began.
	probedAt time.Time
	// cutOffSince is when the host was found to be cut off; zero if it is not.
	cutOffSince time.Time
}

// path is the direct path to one process.
type path struct {
	// downSince is when the path was found down; zero if it is not.
	downSince time.Time
	// dialedAt is when the last direct dial in the background was due, and refuted what they have shown.
	dialedAt time.Time
	refuted  refutation
	// provenAt is when another host last got a byte of the process for this one.
	provenAt time.Time
	lastByte time.Time
	// failedAt is when a dial last failed directly and through other hosts.
	failedAt time.Time
	// muteAt is when a question on a new direct connection, and through other hosts, last got no byte.
	muteAt time.Time
	// brokenAt is when a connection last ended without a byte in answer to what was sent on it, or an
	// idle one was reset. brokenNewAt is the same for connections that have never carried a byte; zero if
	// a question was answered on a new one since.
	brokenAt, brokenNewAt time.Time
	usedAt                time.Time
}

// New returns Paths of a host that knows of no path that is down.
func New() *Paths { return &Paths{paths: make(map[string]*path)} }

// Change is what a report has changed for the host as a whole.
type Change struct {
	// CutOff: the host is found to be cut off from the backend servers. Regained: it no longer is, after
	// the time Lasted.
	CutOff, Regained bool
	Lasted           time.Duration
	// Down is the number of processes whose paths are down.
	Down int
	// Process is the one whose dial decided it, and SignAge how long before a server had last shown that
	// this host reaches it.
	Process string
	SignAge time.Duration
}

// find returns the path to a process and makes it if needed. The caller holds the mutex.
func (paths *Paths) find(process string, now time.Time) *path {
	found := paths.paths[process]
	if found == nil {
		found = &path{}
		paths.paths[process] = found
	}
	found.usedAt = now
	return found
}

// RecordDirect records that bytes of a process arrived on a new direct connection. It ends the state of a
// host that is cut off.
func (paths *Paths) RecordDirect(process string, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	found := paths.find(process, now)
	found.downSince, found.brokenNewAt, found.muteAt = time.Time{}, time.Time{}, time.Time{}
	signAge := now.Sub(paths.lastSign)
	paths.recordSign(now)
	if paths.cutOffSince.IsZero() {
		return Change{}
	}
	change := Change{Regained: true, Lasted: now.Sub(paths.cutOffSince), Down: paths.countDown(), Process: process, SignAge: signAge}
	paths.cutOffSince = time.Time{}
	return change
}

// RecordDown records that a direct dial to a process failed, or its connection carried nothing, while
// another host reached the process.
func (paths *Paths) RecordDown(process string, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	down := paths.find(process, now)
	paths.failedAt = now
	if down.downSince.IsZero() {
		down.downSince, down.dialedAt = now, now
	}
	return paths.judgeCutOff(process, now)
}

// RecordMute records that a question on a new direct connection to a process, opened at a time, got no byte,
// nor did one through another host. The process may be at fault. WasReset says that the connection was reset
// or closed: a silent process may only be slow, and its path is not in doubt for that alone.
func (paths *Paths) RecordMute(process string, wasReset bool, openedAt, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	mute := paths.find(process, now)
	paths.failedAt = now
	if wasReset {
		mute.brokenNewAt = now
	}
	if paths.lastSign.After(openedAt) {
		return Change{}
	}
	mute.muteAt = now
	if mute.dialedAt.IsZero() {
		mute.dialedAt = now
	}
	return paths.judgeCutOff(process, now)
}

// judgeCutOff finds that the host is cut off if enough paths carry nothing. The caller holds the mutex.
func (paths *Paths) judgeCutOff(process string, now time.Time) Change {
	if !paths.cutOffSince.IsZero() || paths.countSinceSign(now, (*path).lastFailure) < cutOffPaths {
		return Change{}
	}
	paths.cutOffSince = now
	return Change{CutOff: true, Down: paths.countDown(), Process: process, SignAge: now.Sub(paths.lastSign)}
}

// lastFailure returns when the path was found down, or to carry nothing; zero if neither.
func (path *path) lastFailure() time.Time {
	if path.muteAt.After(path.downSince) {
		return path.muteAt
	}
	return path.downSince
}

// RecordBroken records that a direct connection to a process ended without a byte in answer to what was
// sent on it, or was reset while it was idle. IsNew says that it has never carried a byte.
func (paths *Paths) RecordBroken(process string, isNew bool, now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	broken := paths.find(process, now)
	paths.failedAt = now
	broken.brokenAt = now
	if isNew {
		broken.brokenNewAt = now
	}
}

/*
InDoubt reports whether a new direct connection to a process may be accepted and carry nothing, so that a
byte of the process must arrive on it before it may take a request: the path is down, a new connection
ended without a byte lately, those to several other processes did or their paths are down, or connections
to several processes broke without a byte of any since.
*/
func (paths *Paths) InDoubt(process string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.inDoubt(process, now)
}

func (paths *Paths) inDoubt(process string, now time.Time) bool {
	if paths.isDown(process) {
		return true
	}
	found := paths.paths[process]
	if found != nil && now.Sub(found.brokenNewAt) <= doubtTTL {
		return true
	}
	return paths.ownInDoubt(now)
}

// OwnInDoubt reports whether failures of new direct connections may be this host's own, as those to several
// processes fail.
func (paths *Paths) OwnInDoubt(now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.ownInDoubt(now)
}

func (paths *Paths) ownInDoubt(now time.Time) bool {
	if now.Sub(paths.failedAt) > cutOffWindow {
		return false
	}
	failing := 0
	for _, path := range paths.paths {
		if !path.downSince.IsZero() || now.Sub(path.brokenNewAt) <= cutOffWindow {
			failing++
		}
	}
	broken := paths.countSinceSign(now, func(path *path) time.Time { return path.brokenAt })
	return max(failing, broken) >= cutOffPaths
}

// RecordTunnel records that another host reached a server for this one.
func (paths *Paths) RecordTunnel(now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.lastTunnel = now
	if paths.tunnelSince.IsZero() {
		paths.tunnelSince = now
	}
}

// RecordProven records that another host got a byte of a process for this one.
func (paths *Paths) RecordProven(process string, now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.find(process, now).provenAt = now
	if paths.provenSince.IsZero() {
		paths.provenSince = now
	}
}

// refutation is when the last direct dial began that failed, and the last one whose question got no byte.
type refutation struct {
	dialAt, questionAt time.Time
}

// RecordRefuted records that a direct dial to a process in the background, which began at a time, failed.
func (paths *Paths) RecordRefuted(process string, began time.Time) {
	paths.refute(process, func(known *refutation) { known.dialAt = later(known.dialAt, began) })
}

// RecordUnanswered records that the question on a direct dial to a process in the background, which began at a time,
// got no byte.
func (paths *Paths) RecordUnanswered(process string, began time.Time) {
	paths.refute(process, func(known *refutation) { known.questionAt = later(known.questionAt, began) })
}

func (paths *Paths) refute(process string, record func(*refutation)) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	record(&paths.refuted)
	if found := paths.paths[process]; found != nil {
		record(&found.refuted)
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordFailed records that a dial to a process failed directly and through other hosts.
func (paths *Paths) RecordFailed(process string, now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.find(process, now).failedAt = now
}

// ReachesNone reports whether dials to cutOffPaths or more servers failed both ways within cutOffWindow,
// and no server has been reached since.
func (paths *Paths) ReachesNone(now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	count := 0
	for _, path := range paths.paths {
		if path.failedAt.After(paths.lastSign) && path.failedAt.After(paths.lastTunnel) && now.Sub(path.failedAt) <= cutOffWindow {
			count++
		}
	}
	return count >= cutOffPaths
}

// countSinceSign returns the number of paths of which a time is within cutOffWindow and after the last sign
// of any server.
func (paths *Paths) countSinceSign(now time.Time, timeOf func(*path) time.Time) int {
	count := 0
	for _, path := range paths.paths {
		if at := timeOf(path); at.After(paths.lastSign) && now.Sub(at) <= cutOffWindow {
			count++
		}
	}
	return count
}

func (paths *Paths) countDown() int {
	count := 0
	for _, path := range paths.paths {
		if !path.downSince.IsZero() {
			count++
		}
	}
	return count
}

// RecordByte records that bytes arrived from a process on a direct connection.
func (paths *Paths) RecordByte(process string, now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.find(process, now).lastByte = now
	paths.lastByte = now
	paths.recordSign(now)
}

// recordSign records that a server has shown that this host reaches it. The caller holds the mutex.
func (paths *Paths) recordSign(now time.Time) {
	paths.lastSign, paths.tunnelSince, paths.provenSince = now, time.Time{}, time.Time{}
}

// HasSignSince reports whether a server has shown since a time that this host reaches it.
func (paths *Paths) HasSignSince(since time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.lastSign.After(since)
}

// IsDown reports whether dials to a process go through another host first.
func (paths *Paths) IsDown(process string) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.isDown(process)
}

func (paths *Paths) isDown(process string) bool {
	if !paths.cutOffSince.IsZero() {
		return true
	}
	found := paths.paths[process]
	return found != nil && !found.downSince.IsZero()
}

// MayReuse reports whether an idle direct connection to a process may take a request. While only new
// connections fail, those that carry bytes may.
func (paths *Paths) MayReuse(process string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if !paths.cutOffSince.IsZero() {
		return false
	}
	found := paths.paths[process]
	return found == nil || !paths.inDoubt(process, now) || now.Sub(found.lastByte) < SilenceBeforeProbe
}

// CutOffFor returns how long the host has been cut off, 0 if it is not.
func (paths *Paths) CutOffFor(now time.Time) time.Duration {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if paths.cutOffSince.IsZero() {
		return 0
	}
	return max(time.Millisecond, now.Sub(paths.cutOffSince))
}

// TakeProbe reports whether the path of an attempt that was sent at a time and has had no byte may be
// probed now, and takes the permission, of which the host gets one in SilenceBeforeProbe.
func (paths *Paths) TakeProbe(process string, sentAt, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if now.Sub(sentAt) < SilenceBeforeProbe || paths.lastByte.After(sentAt) || paths.isDown(process) || now.Sub(paths.probedAt) < SilenceBeforeProbe {
		return false
	}
	// A process that has just been asked without an answer is not asked again, so that another one is.
	if found := paths.paths[process]; found != nil && now.Sub(found.muteAt) < doubtTTL/2 {
		return false
	}
	paths.probedAt = now
	return true
}

// Breaks reports whether an attempt on a direct connection is broken by its path: the path is cut, and
// neither the connection since a time nor its process has sent a byte for SilenceBeforeBreak.
func (paths *Paths) Breaks(process string, silentSince, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	if now.Sub(silentSince) < SilenceBeforeBreak || !paths.isDown(process) {
		return false
	}
	found := paths.paths[process]
	return paths.isCut(found, silentSince) && (found == nil || now.Sub(found.lastByte) >= SilenceBeforeBreak)
}

/*
isCut reports whether a path, which may be nil, is shown to be cut, and its server not just silent since a time:
another host has reached the server, or any server if this host is cut off, and a direct dial that began afterwards
failed. If only its question got no byte, another host must have got one: the kernel of a silent server accepts
connections. Servers that fall silent together, or go on while a dial waits for them, leave no such sequence. The
caller holds the mutex.
*/
func (paths *Paths) isCut(path *path, silentSince time.Time) bool {
	if path != nil && !path.downSince.IsZero() && path.refuted.shows(path.downSince, path.provenAt, silentSince) {
		return true
	}
	return !paths.cutOffSince.IsZero() && paths.refuted.shows(paths.tunnelSince, paths.provenSince, silentSince)
}

// shows reports whether a path is cut, given when another host reached the server and when it got a byte, zero if
// it did not, and since when the server is silent.
func (refuted refutation) shows(reached, proven, silentSince time.Time) bool {
	isAfter := func(at, evidence time.Time) bool { return !evidence.IsZero() && at.After(later(evidence, silentSince)) }
	return isAfter(refuted.dialAt, reached) || isAfter(refuted.questionAt, proven)
}

// DueDials returns the processes to which a direct dial in the background is due: those whose paths are
// down, and of a host that is cut off all that were used lately.
func (paths *Paths) DueDials(now time.Time) []string {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	var due []string
	for process, path := range paths.paths {
		if path.downSince.IsZero() && now.Sub(path.usedAt) > forgetAfter {
			delete(paths.paths, process)
			continue
		}
		if !path.downSince.IsZero() {
			paths.failedAt = now
		}
		if len(due) < maxRedials && paths.isDown(process) && now.Sub(path.dialedAt) >= redialInterval {
			path.dialedAt = now
			due = append(due, process)
		}
	}
	if len(paths.paths) == 0 {
		paths.cutOffSince = time.Time{}
	}
	return due
}

// Forget removes a process that has ended.
func (paths *Paths) Forget(process string) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	delete(paths.paths, process)
}
