package fleet

import (
	"slices"
	"time"
)

const (
	// announcementRounds is how often a statement is told to other hosts, because a datagram may be lost.
	announcementRounds = 2
	// maxToldAnnouncements limits the statements in a message. The others follow in the next one.
	maxToldAnnouncements = 40
)

// Announcement tells another host what a process of a server has said of itself to this one.
type Announcement struct {
	// Process is the hash of the process.
	Process uint64 `cbor:"1,keyasint"`
	// Number identifies the statement among those of the sender about the process, so that its
	// repetition is not taken for a later one.
	Number  int64 `cbor:"2,keyasint"`
	Leaving bool  `cbor:"3,keyasint,omitempty"`
	// AwayMs is for how long the process wants no requests from the time on when this is sent.
	AwayMs int64 `cbor:"4,keyasint,omitempty"`
}

// untold is a statement that is to be told to other hosts.
type untold struct {
	number int64
	rounds int
}

// ToldChange is what changed at a registered server when another host told what it said.
type ToldChange struct {
	Server Server
	// Leaving is set if the server was not known to be leaving.
	Leaving bool
	// AwayFor is for how long it wants no requests, if that is longer than was known; else 0.
	AwayFor time.Duration
}

// Announced returns a channel that receives a value when there is something for TakeAnnouncements.
func (fleet *Fleet) Announced() <-chan struct{} { return fleet.announced }

// queueAnnouncement makes TakeAnnouncements return what a process has said. The mutex is held.
func (fleet *Fleet) queueAnnouncement(process uint64, now time.Time) {
	fleet.untold[process] = untold{number: now.UnixNano(), rounds: announcementRounds}
	select {
	case fleet.announced <- struct{}{}:
	default:
	}
}

// TakeAnnouncements returns what processes of servers have said of themselves to this host and what has
// to be told to the others now. Each statement is returned by two calls, unless a later one of the same
// process replaces it.
func (fleet *Fleet) TakeAnnouncements(now time.Time) []Announcement {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var taken []Announcement
	for process, next := range fleet.untold {
		if len(taken) == maxToldAnnouncements {
			break
		}
		known := fleet.announcements[process]
		statement := Announcement{Process: process, Number: next.number, Leaving: known.leaving}
		if known.isAwayOwn {
			statement.AwayMs = max(0, known.awayUntil.Sub(now).Milliseconds())
		}
		next.rounds--
		fleet.untold[process] = next
		if next.rounds == 0 {
			delete(fleet.untold, process)
		}
		if statement.Leaving || statement.AwayMs > 0 {
			taken = append(taken, statement)
		}
	}
	return taken
}

// ApplyAnnouncements applies what another host was told by processes of servers, as if they had told
// this one. A time in which a server wants no requests is not longer for that if the server has told
// this host itself and that time runs, nor if the statement was applied before. It returns what changed
// at registered servers.
func (fleet *Fleet) ApplyAnnouncements(host string, statements []Announcement, now time.Time) []ToldChange {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var changes []ToldChange
	for _, statement := range statements {
		known := fleet.announcements[statement.Process]
		change := known.apply(host, statement, now)
		member := fleet.memberOf(statement.Process)
		fleet.storeAnnouncement(statement.Process, known, member, now)
		if member != nil && (change.Leaving || change.AwayFor > 0) {
			change.Server = member.Server
			changes = append(changes, change)
		}
	}
	return changes
}

// apply adds what another host tells.
func (known *announcement) apply(host string, statement Announcement, now time.Time) ToldChange {
	change := ToldChange{Leaving: statement.Leaving && !known.leaving}
	known.leaving = known.leaving || statement.Leaving
	if statement.AwayMs <= 0 || known.isApplied(host, statement.Number) {
		return change
	}
	if known.isAwayOwn && now.Before(known.awayUntil) {
		return change
	}
	// The bound comes first, because the product may overflow.
	left := time.Duration(min(statement.AwayMs, announcementRetention.Milliseconds())) * time.Millisecond
	if until := now.Add(left); until.After(known.awayUntil) {
		known.awayUntil, known.isAwayOwn = until, false
		change.AwayFor = left
	}
	return change
}

// isApplied reports whether a statement of another host was applied before, and remembers it.
func (known *announcement) isApplied(host string, number int64) bool {
	index := slices.IndexFunc(known.told, func(one toldBy) bool { return one.host == host })
	if index >= 0 && known.told[index].number == number {
		return true
	}
	// The copies of the announcement share the old slice.
	told := slices.Clone(known.told)
	if index >= 0 {
		told[index].number = number
	} else {
		told = append(told, toldBy{host, number})
	}
	known.told = told
	return false
}

// memberOf returns the server that is registered as a process, nil if there is none. The mutex is held.
func (fleet *Fleet) memberOf(process uint64) *Member {
	for _, member := range fleet.members {
		if member.ProcessHash() == process {
			return member
		}
	}
	return nil
}
