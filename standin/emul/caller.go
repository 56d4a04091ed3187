package emul

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"primrosegw/core/table"
	"primrosegw/core/work"
)

const (
	// patienceShare is the part of the time left for which callers wait at most
	// before they come back.
	patienceShare = 1.0 / 3
	// comeBack is when callers come back that were not told when.
	comeBack = 50 * time.Millisecond
	// leastGap, gapObjectives and gapPauses bound the silence after which callers
	// give a stream up: the longest of a time, so many objectives, and so many
	// allowed pauses.
	leastGap      = 2 * time.Second
	gapObjectives = 4
	gapPauses     = 8
	// tokenWorth is the weight of a generated token against one of the prompt in the
	// size of a request; flatWorth is the part of the worth that does not depend on
	// the size, and mostWorth bounds it against the mean.
	tokenWorth = 10
	flatWorth  = 0.3
	mostWorth  = 4
)

// caller is one request of a caller with all its attempts.
type caller struct {
	world   *world
	class   *Class
	request work.Request
	output  int
	length  time.Duration
	fails   bool
	worth   float64
	began   time.Duration
	// attempts counts the calls, refusals those that were turned away.
	attempts int
	refusals int
	call     *call
	// first is the time to the first event, lastAt that of the last one, longest
	// the longest pause.
	first, lastAt, longest time.Duration
	watch                  uint64
	over                   bool
}

// arrive draws the next arrival of a class and goes on until the day ends.
func (world *world) arrive(class *Class, random *rand.Rand) {
	swing := 1 + world.day.Wave*math.Sin(2*math.Pi*world.clock.now.Seconds()/world.day.PeriodS)
	rate := class.PerSecond * swing * cmp.Or(world.rates[class.Name], 1)
	pause := seconds(random.ExpFloat64() / max(rate, 0.01))
	world.clock.after(pause, func() {
		if world.clock.now > seconds(world.day.Seconds) {
			return
		}
		world.begin(class, random)
		world.arrive(class, random)
	})
}

// begin sends a new request.
func (world *world) begin(class *Class, random *rand.Rand) {
	world.count++
	caller := &caller{world: world, class: class, began: world.clock.now}
	caller.request = work.Request{ID: fmt.Sprintf("r%d", world.count), Service: class.Service}
	session := uint64(0)
	for index, part := range class.Shared {
		thing := random.IntN(part.Things)
		session = partID(class.Name, index, thing)
		// A part has the same length each time it comes.
		sizes := rand.New(rand.NewPCG(session, 0))
		caller.request.Parts = append(caller.request.Parts, work.Part{ID: session, Tokens: part.draw(sizes)})
	}
	if class.Kind == table.Stream {
		caller.request.Parts = append(caller.request.Parts, work.Part{ID: random.Uint64(), Tokens: class.Own.draw(random)})
	}
	for _, part := range caller.request.Parts {
		caller.request.PromptTokens += part.Tokens
	}
	stride := world.stride(class.Service)
	caller.output = class.Events.draw(random) * stride
	caller.length = milliseconds(float64(class.WorkMs.draw(random)))
	caller.fails = random.Float64() < class.Failing
	caller.worth = class.worth(caller.request.PromptTokens+tokenWorth*caller.output, stride)
	caller.request.OutputTokens = class.maxOutput(caller.output, stride)
	world.result.owed(class, caller.worth)
	caller.attempt()
}

// maxOutput returns the maximum number of tokens that a caller asks for: the class's
// largest answer, whatever the length of this one.
func (class *Class) maxOutput(output, stride int) int {
	return max(output, int(class.Events.Max)*stride)
}

// partID names a shared part of the prompts of a class.
func partID(class string, index, thing int) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d/%d", class, index, thing)
	return hash.Sum64()
}

// draw returns a size of at least 1, or 0 if there is none.
func (size Size) draw(random *rand.Rand) int {
	if size.Mean <= 0 {
		return 0
	}
	value := size.Mean * math.Exp(size.Spread*random.NormFloat64()-size.Spread*size.Spread/2)
	if size.Max > 0 {
		value = min(value, size.Max)
	}
	return max(1, int(value+0.5))
}

// worth is what a request of some size is worth.
func (class *Class) worth(size, stride int) float64 {
	if class.Kind != table.Stream {
		return class.Worth
	}
	mean := class.Own.Mean + tokenWorth*class.Events.Mean*float64(stride)
	for _, part := range class.Shared {
		mean += part.Mean
	}
	return class.Worth * min(mostWorth, flatWorth+(1-flatWorth)*float64(size)/mean)
}

// left is the time until the caller gives up.
func (caller *caller) left() time.Duration {
	return caller.began + milliseconds(caller.class.DeadlineMs) - caller.world.clock.now
}

// attempt sends the request to a host.
func (caller *caller) attempt() {
	world := caller.world
	if caller.left() <= 0 {
		caller.end("gave_up")
		return
	}
	caller.attempts++
	hosts := world.listed()
	host := hosts[world.random.IntN(len(hosts))]
	sent := &call{
		host: host, class: caller.class, work: caller.request, output: caller.output, length: caller.length, fails: caller.fails,
	}
	sent.progress.State, sent.progress.Tried = work.Unsent, make(map[string]bool)
	sent.work.ID = fmt.Sprintf("%s-%d", caller.request.ID, caller.attempts)
	sent.work.Route, _ = world.table.Match("emulated", "/"+caller.class.Name+"/x")
	sent.work.Rank = world.table.Rank(sent.work.Route, table.Workspace{})
	sent.work.LowestPriority = world.table.Bulk(sent.work.Route, sent.work.Service)
	delay := milliseconds(world.day.CallerMs)
	back := func(then func()) { world.clock.after(delay, func() { caller.hear(sent, then) }) }
	sent.event = func() { back(caller.heardEvent) }
	sent.answered = func(whole bool) { back(func() { caller.answered(whole) }) }
	sent.turned = func(after time.Duration) { back(func() { caller.turned(after) }) }
	caller.call = sent
	caller.lastAt = world.clock.now
	left := caller.left()
	world.clock.after(delay, func() {
		sent.work.Received = world.clock.time()
		sent.work.Deadline = sent.work.Received.Add(left)
		sent.forward()
	})
	world.clock.after(left, func() { caller.hear(sent, func() { caller.abandon("gave_up") }) })
	caller.expect()
}

// hear runs a function unless the call is over.
func (caller *caller) hear(call *call, then func()) {
	if !caller.over && caller.call == call {
		then()
	}
}

// expect gives the call up if nothing is heard for too long.
func (caller *caller) expect() {
	if caller.class.Kind != table.Stream {
		return
	}
	caller.watch++
	watch, call := caller.watch, caller.call
	gap := max(leastGap, milliseconds(gapObjectives*caller.class.ObjectiveMs), milliseconds(gapPauses*caller.class.GapMs))
	caller.world.clock.after(gap, func() {
		if caller.watch == watch {
			caller.hear(call, func() { caller.abandon("stalled") })
		}
	})
}

func (caller *caller) heardEvent() {
	now := caller.world.clock.now
	if caller.first == 0 {
		caller.first = now - caller.began
	} else {
		caller.longest = max(caller.longest, now-caller.lastAt)
	}
	caller.lastAt = now
	caller.expect()
}

func (caller *caller) answered(whole bool) {
	if !whole {
		caller.failed()
		return
	}
	now := caller.world.clock.now
	if caller.first == 0 {
		caller.first = now - caller.began
	}
	late := caller.first > milliseconds(caller.class.ObjectiveMs) ||
		caller.class.GapMs > 0 && caller.longest > milliseconds(caller.class.GapMs)
	if late {
		caller.end("late")
		return
	}
	caller.end("in_time")
}

// failed tries again where the request may be repeated.
func (caller *caller) failed() {
	repeatable := caller.class.Kind == table.Idempotent || caller.class.Resumable && caller.first == 0
	if repeatable && caller.attempts <= caller.class.Retries {
		caller.call.gone = true
		caller.world.clock.after(comeBack, caller.attempt)
		return
	}
	caller.end("failed")
}

// turned comes back when the host said, within a part of the time left.
func (caller *caller) turned(after time.Duration) {
	caller.refusals++
	if caller.attempts > caller.class.Retries {
		caller.end("refused")
		return
	}
	pause := min(cmp.Or(after, comeBack), time.Duration(patienceShare*float64(caller.left())))
	caller.call = nil
	caller.world.clock.after(pause, caller.attempt)
}

func (caller *caller) abandon(why string) {
	caller.call.leave()
	caller.end(why)
}

func (caller *caller) end(outcome string) {
	if caller.over {
		return
	}
	caller.over = true
	caller.world.result.ended(caller, outcome)
}
