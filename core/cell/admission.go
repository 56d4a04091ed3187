package cell

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/queue"
)

// closedError returns the error of a call that a closed cell hands back.
func closedError() error {
	return fault.New("cell.Serve", Closed, "the cell is closed")
}

// enqueue admits a call, adds it to the queue and runs dispatch.
func (cell *Cell) enqueue(call *call) error {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	now := time.Now()
	if cell.closed && call.neverRan() {
		return closedError()
	}
	if call.enqueued.IsZero() {
		if err := cell.admit(call, now); err != nil {
			return err
		}
	}
	if err := cell.push(call, now); err != nil {
		return err
	}
	cell.dispatch()
	if call.queued {
		cell.setQueueTimers(call, now)
	}
	return nil
}

// setQueueTimers sets when a queued call requests a slot by preemption and when
// its lateness is checked.
func (cell *Cell) setQueueTimers(call *call, now time.Time) {
	due := call.request.FirstToken
	if due.IsZero() {
		return
	}
	if !cell.options.Switches.DisablePreempt {
		call.preemptAt = laterOf(now, due.Add(-cell.typicalFirstToken()-preemptMargin))
	}
	if call.request.Tier > topTier && call.neverRan() && !cell.options.Switches.DisableAdmission {
		call.lateCheckAt = laterOf(now.Add(recheckInterval), due)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit rejects a call whose estimated first token would come after its
// deadline or, below the top tier, after its target multiplied by AdmitSlack.
func (cell *Cell) admit(call *call, now time.Time) error {
	if cell.options.Switches.DisableAdmission || !call.neverRan() {
		return nil
	}
	request := &call.request
	wait := cell.estimateWait(request.Tier, request.FirstToken, request.Class)
	if wait == 0 {
		return nil
	}
	expected := now.Add(wait + cell.typicalFirstToken())
	limit, found := cell.latestFirstToken(call)
	if !found || !expected.After(limit) {
		return nil
	}
	call.outcome.RetryAfter = max(minRetryAfter, expected.Sub(limit))
	cell.recordShed(call, "the estimated wait exceeds the target", wait)
	detail := fmt.Sprintf("the estimated wait of %s exceeds the target of class %q", wait.Round(time.Millisecond), request.Class)
	return fault.New("cell.Serve", Shed, detail)
}

// latestFirstToken returns the latest estimated first token with which a call
// is admitted, and false if there is no limit.
func (cell *Cell) latestFirstToken(call *call) (time.Time, bool) {
	request := &call.request
	limit := request.Deadline
	if request.Tier > topTier && !request.FirstToken.IsZero() {
		arrived := request.Arrived
		if arrived.IsZero() {
			arrived = call.receivedAt
		}
		target := float64(request.FirstToken.Sub(arrived))
		targetLimit := arrived.Add(time.Duration(target * cell.options.AdmitSlack))
		if limit.IsZero() || targetLimit.Before(limit) {
			limit = targetLimit
		}
	}
	return limit, !limit.IsZero()
}

// recheckLate sheds a queued call that has missed its target if it would not
// meet its deadline either, so that the caller can still try elsewhere.
func (call *call) recheckLate(now time.Time) error {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if !call.queued || !call.neverRan() || call.request.Deadline.IsZero() {
		return nil
	}
	wait := cell.estimateWait(call.request.Tier, call.request.FirstToken, call.request.Class)
	expected := now.Add(wait + cell.typicalFirstToken())
	if !expected.After(call.request.Deadline) {
		call.lateCheckAt = now.Add(time.Second)
		return nil
	}
	cell.queue.Remove(call.id)
	cell.recordDequeued(call)
	call.outcome.RetryAfter = max(minRetryAfter, expected.Sub(call.request.Deadline))
	cell.recordShed(call, "the estimated wait exceeds the deadline", wait)
	return fault.New("cell.Serve", Shed, "the estimated wait exceeds the deadline")
}

// recordShed counts and logs a shed call. The caller must hold the mutex.
func (cell *Cell) recordShed(call *call, why string, wait time.Duration) {
	cell.stats.Shed++
	cell.log(event.CellShed(), logrus.Fields{
		"request_id": call.request.ID, "class": call.request.Class, "tier": call.request.Tier,
		"why": why, "wait_ms": wait.Milliseconds(), "queued": cell.queue.Len(),
	})
}

// push adds a call to the queue. If the queue is full, it sheds a call of a
// lower tier that no engine has run. If there is none, the new call is shed, or
// waits to retry if an engine has run it.
func (cell *Cell) push(call *call, now time.Time) error {
	item := cell.queueItem(call, now)
	err := cell.queue.Push(item)
	if fault.Is(err, queue.Full) {
		victim, found := cell.queue.Shed(call.request.Tier)
		if found {
			cell.shedQueued(victim.Value, call)
			err = cell.queue.Push(item)
		}
	}
	if err != nil {
		return cell.handleQueueFull(call, now, err)
	}
	call.queued = true
	call.cost = item.Cost
	cell.queuedTokens[call.request.Class] += item.Cost
	if call.enqueued.IsZero() {
		call.enqueued = now
		cell.addDemand(call, item.Cost, now)
	}
	return nil
}

// handleQueueFull sheds a call that does not fit into the queue, or schedules
// its retry if an engine has run it.
func (cell *Cell) handleQueueFull(call *call, now time.Time, err error) error {
	if !call.neverRan() {
		call.retryAt = now.Add(recheckInterval)
		return nil
	}
	wait := cell.estimateWait(call.request.Tier, call.request.FirstToken, call.request.Class)
	call.outcome.RetryAfter = max(minRetryAfter, wait)
	cell.recordShed(call, "the queue is full and holds no call of a lower tier", wait)
	return fault.Wrap("cell.Serve", Shed, err)
}

// requeue puts back a call that was just removed from the queue, so there is
// room for it.
func (cell *Cell) requeue(call *call) {
	if err := cell.push(call, time.Now()); err != nil {
		call.decisions <- decision{}
	}
}

// shedQueued ends a queued call to make room for one of a higher tier.
func (cell *Cell) shedQueued(victim, incoming *call) {
	cell.recordDequeued(victim)
	wait := cell.estimateWait(victim.request.Tier, victim.request.FirstToken, victim.request.Class)
	cell.recordShed(victim, "the queue is full, and call "+incoming.request.ID+" has a higher tier", wait)
	victim.decisions <- decision{
		err:        fault.New("cell.Serve", Shed, "dropped from the full queue for a call of a higher tier"),
		retryAfter: max(minRetryAfter, wait),
	}
}

// queueItem returns the queue entry of a call. A call that an engine may have
// run counts as partly served, so that the queue does not shed it.
func (cell *Cell) queueItem(waiting *call, now time.Time) queue.Item[*call] {
	request := &waiting.request
	tokens := waiting.answer.Tokens()
	served := tokens
	if !waiting.neverRan() {
		served = max(1, tokens)
	}
	cost := cell.lengths.Quantile(request.Class, 0.5, tokens)
	if request.MaxTokens > 0 {
		cost = min(cost, float64(max(1, request.MaxTokens-tokens)))
	}
	return queue.Item[*call]{
		ID: waiting.id, Class: request.Class, Workspace: request.Workspace, Tier: request.Tier,
		Due: request.FirstToken, Deadline: request.Deadline, Enqueued: now,
		Cost: cost, Served: served, Weight: request.Weight,
		Long: float64(tokens)+cost >= cell.longThreshold(now), Value: waiting,
	}
}

// recordDequeued updates the accounting after a call was removed from the
// queue.
func (cell *Cell) recordDequeued(call *call) {
	call.queued = false
	class := call.request.Class
	cell.queuedTokens[class] -= call.cost
	if cell.queuedTokens[class] < 1 {
		delete(cell.queuedTokens, class)
	}
}
