package pick

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"primrosegw/core/fleet"
	"primrosegw/core/work"
)

const (
	// minToldTokens is the size from which copies of a part are reported. Prefilling
	// smaller ones again takes an engine less than 10 ms.
	minToldTokens = 256
	// retellInterval is how long after a report of a copy its further uses are not
	// reported. A copy is thus known everywhere until at least copyTTL - retellInterval
	// after its last use.
	retellInterval = 3 * time.Second
	// maxReportBytes limits one report, and reportBytesPerSecond those to all hosts.
	maxReportBytes       = 1000
	reportBytesPerSecond = 2000.0
	// copyBytes is the size of a copy in a report, and ageStep the unit of its age.
	copyBytes = 8
	ageStep   = 50 * time.Millisecond
	// maxPending limits the memory for copies that are to be reported.
	maxPending = 2048
	// minWideSuccessors is the number of different parts after a part from which it counts
	// as shared by many sessions.
	minWideSuccessors = 3
	// maxWideCopies is the number of engines that are tracked for a part that many
	// sessions share.
	maxWideCopies = 1536
	// learnTime is how long a host that has started does not take the lack of a report for
	// the lack of a copy.
	learnTime = 5 * time.Second
	// uncertainCopy is the assumed probability that the preferred engine has a session's
	// part while only copies at others are known: it may have been busy, or suspended.
	uncertainCopy = 0.5
	// nextDiscount is the part of the loss of a cache miss that is left out at the next
	// engine after the preferred one, so that hosts choose the same second copy.
	nextDiscount = 0.2
	// largeService is the number of engines from which a cache miss counts missFactor times
	// where hosts tell each other of copies: sessions leave engines with their copies for a small
	// gain in waiting, though there are others for requests without copies.
	largeService = 64
	missFactor   = 1.6
)

// copyKey identifies a copy of a part at an engine process.
type copyKey struct{ part, engine uint32 }

// pendingCopy is a copy that is to be reported.
type pendingCopy struct {
	tokens    int
	isSession bool
	usedAt    time.Time
}

// CopyCounts counts prompt tokens and copies since the start.
type CopyCounts struct {
	// Expected and Missing are the shared prompt tokens that were and weren't expected to
	// be cached at the engines that were chosen.
	Expected, Missing int64
	// Told and Heard are the copies in reports to and of other hosts. Used are the requests
	// that went to a copy of which another host told.
	Told, Heard, Used int64
}

// partKey returns the short form of a part's ID in reports. A collision costs at most
// a prefill that was not expected.
func partKey(id uint64) uint32 { return uint32(id ^ id>>32) }

// engineKey returns the short form of an engine process's hash in reports.
func engineKey(server fleet.Server) uint32 { return uint32(server.ProcessHash() >> 40) }

// Counts returns the counters.
func (parts *CachedParts) Counts() CopyCounts {
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	return parts.counts
}

// Report returns the copies to report to the other entry hosts now, nil if there are
// none: for each, the part, the engine process and the age of its last use, 8 bytes
// together. Those that save most come first, as the rate is limited.
func (parts *CachedParts) Report(now time.Time) []byte {
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	if parts.peers == 0 || len(parts.pending) == 0 {
		return nil
	}
	parts.spent = max(0, parts.spent-reportBytesPerSecond*now.Sub(parts.spentAt).Seconds())
	parts.spentAt = now
	room := min(maxReportBytes, int(reportBytesPerSecond-parts.spent)/parts.peers) / copyBytes
	due := make([]copyKey, 0, len(parts.pending))
	for key, copied := range parts.pending {
		if now.Sub(copied.usedAt) >= copyTTL/2 {
			delete(parts.pending, key)
			continue
		}
		due = append(due, key)
	}
	slices.SortFunc(due, func(a, b copyKey) int {
		return cmp.Or(cmp.Compare(parts.pending[b].tokens, parts.pending[a].tokens), cmp.Compare(a.part, b.part), cmp.Compare(a.engine, b.engine))
	})
	var report []byte
	for _, key := range due[:min(len(due), max(0, room))] {
		usedAt := parts.pending[key].usedAt
		delete(parts.pending, key)
		if known := parts.parts[key.part]; known != nil {
			for index := range known.copies {
				if known.copies[index].engine == key.engine {
					known.copies[index].toldAt = usedAt
				}
			}
		}
		report = binary.BigEndian.AppendUint32(report, key.part)
		age := min(255, max(0, now.Sub(usedAt))/ageStep)
		report = binary.BigEndian.AppendUint32(report, key.engine<<8|uint32(age))
	}
	for _, key := range due[min(len(due), maxPending):] {
		delete(parts.pending, key)
	}
	parts.spent += float64(len(report) * parts.peers)
	parts.counts.Told += int64(len(report) / copyBytes)
	return report
}

// ApplyReport records the copies that another host reported.
func (parts *CachedParts) ApplyReport(report []byte, now time.Time) {
	if len(report) == 0 {
		return
	}
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	for ; len(report) >= copyBytes; report = report[copyBytes:] {
		value := binary.BigEndian.Uint32(report[4:])
		engine, usedAt := value>>8, now.Add(-time.Duration(value&0xff)*ageStep)
		if now.Sub(usedAt) >= copyTTL {
			continue
		}
		known := parts.find(binary.BigEndian.Uint32(report), now)
		known.use(engine, usedAt, maxWideCopies)
		for index := range known.copies {
			if known.copies[index].engine == engine {
				known.copies[index].fromPeer = true
			}
		}
		parts.counts.Heard++
	}
	if len(parts.parts) > maxTrackedParts {
		parts.removeExpired(now)
	}
}

// promptCopies is what a host expects of the copies of a prompt's shared parts while it
// chooses an engine.
type promptCopies struct {
	request *work.Request
	// preferred and next are the first two engines in rendezvous order.
	preferred, next string
	// session are the engines with a known copy of the session's part.
	session []uint32
	// shared is set if hosts tell each other of copies.
	shared bool
	// leading are the parts before the session's part whose copies are known.
	leading []leadingPart
	// missFactor is the weight of tokens that are missing.
	missFactor float64
	// assumed is the number of tokens of leading parts that all engines are assumed to
	// have.
	assumed int
}

// leadingPart is a part before the session's one.
type leadingPart struct {
	tokens  int
	engines map[uint32]bool
	// isWide is set if several sessions share the part. Otherwise it is where the
	// session's part is.
	isWide bool
}

// promptCopies looks up the copies of a prompt's parts. Members are all engines of the
// service, and full holds those in slow start that are to get nothing more now.
func (options Options) promptCopies(request *work.Request, members, candidates []fleet.Member, full map[string]bool, now time.Time) promptCopies {
	copies := promptCopies{request: request, missFactor: 1}
	if len(request.Parts) < 2 {
		return copies
	}
	parts := options.Cached
	if parts == nil {
		copies.preferred = options.preferredServer(request, candidates, full)
		copies.assumed = leadingTokens(request)
		return copies
	}
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	copies.session, _ = parts.freshCopies(sessionPart(request).ID, now)
	if parts.peers == 0 {
		copies.preferred = options.preferredServer(request, candidates, full)
		copies.assumed = leadingTokens(request)
		return copies
	}
	copies.shared = true
	if len(members) >= largeService {
		copies.missFactor = missFactor
	}
	copies.preferred, copies.next = options.rendezvousOrder(request, members, full, now)
	for _, part := range request.Parts[:len(request.Parts)-2] {
		if part.Tokens < minToldTokens || parts.startedAt.IsZero() || now.Sub(parts.startedAt) < learnTime {
			copies.assumed += part.Tokens
			continue
		}
		engines, known := parts.freshCopies(part.ID, now)
		leading := leadingPart{part.Tokens, make(map[uint32]bool, len(engines)), known.isWide()}
		for _, engine := range engines {
			leading.engines[engine] = true
		}
		copies.leading = append(copies.leading, leading)
	}
	return copies
}

// rendezvousOrder returns the first two engines for a session among those that may serve
// the request's group. Suspended engines and those that are in the other group for now
// count, so that copies elsewhere are reported and used after they return.
func (options Options) rendezvousOrder(request *work.Request, members []fleet.Member, full map[string]bool, now time.Time) (preferred, next string) {
	decodeEngines := options.Groups.decodeEngines(request.Service, members, options.speeds, now)
	decodeHeavy := DecodeHeavy(request)
	return options.highest(sessionPart(request).ID, members, func(member *fleet.Member) bool {
		isOfOtherGroup := decodeEngines[member.ID] != decodeHeavy && len(members) > 1
		return !isOfOtherGroup && !full[member.ID]
	})
}

// expectation is what is expected of the shared parts of a prompt at an engine.
type expectation struct {
	// hasSession is set if the engine is likely to have the session's part cached.
	hasSession bool
	// uncached is the number of prompt tokens to prefill. missed is the number of tokens
	// that count as a cache miss.
	uncached int
	missed   float64
}

// at returns what is expected at an engine.
func (copies *promptCopies) at(member *fleet.Member) expectation {
	request := copies.request
	if len(request.Parts) < 2 {
		return expectation{uncached: request.PromptTokens}
	}
	engine, session := engineKey(member.Server), sessionTokens(request)
	isKnown := slices.Contains(copies.session, engine)
	isPreferred := member.ID == copies.preferred
	found := expectation{hasSession: isKnown || isPreferred}
	if copies.shared && len(copies.session) > 0 && session >= minToldTokens {
		found.hasSession = isKnown
	}
	cached := copies.assumed
	for _, part := range copies.leading {
		if part.isWide && !part.engines[engine] || !part.isWide && !found.hasSession {
			found.hasSession = false
			found.missed += float64(part.tokens)
			continue
		}
		cached += part.tokens
	}
	switch {
	case found.hasSession:
		cached += session
	case isPreferred && len(copies.session) > 0:
		found.missed += (1 - uncertainCopy) * float64(session)
	case isPreferred:
	case member.ID == copies.next:
		found.missed += (1 - nextDiscount) * float64(session)
	default:
		found.missed += float64(session)
	}
	found.missed *= copies.missFactor
	found.uncached = max(0, request.PromptTokens-cached)
	return found
}

// count counts the tokens that were expected at the chosen engine.
func (parts *CachedParts) count(request *work.Request, choice *Choice) {
	if parts == nil || len(request.Parts) < 2 || !request.Route.HasPrompt {
		return
	}
	shared := int64(leadingTokens(request) + sessionTokens(request))
	missing := max(0, int64(choice.Share.PrefillTokens)-(int64(request.PromptTokens)-shared))
	parts.mutex.Lock()
	defer parts.mutex.Unlock()
	parts.counts.Expected += shared - missing
	parts.counts.Missing += missing
	if known := parts.parts[partKey(sessionPart(request).ID)]; known != nil && choice.Preferred {
		engine := engineKey(choice.Member.Server)
		if slices.ContainsFunc(known.copies, func(one partCopy) bool { return one.engine == engine && one.fromPeer }) {
			parts.counts.Used++
		}
	}
}

// leadingTokens returns the tokens of the parts before the session's one.
func leadingTokens(request *work.Request) int {
	tokens := 0
	for _, part := range request.Parts[:max(0, len(request.Parts)-2)] {
		tokens += part.Tokens
	}
	return tokens
}
