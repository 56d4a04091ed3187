package cell

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/queue"
)

// closed returns the error of a call that the cell hands back.
func closed() error {
	return fault.New("cell.Serve", Closed, "the cell is closed")
}

// enqueue admits a call to the queue and serves the queue.
func (cell *Cell) enqueue(call *call) error {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	now := time.Now()
	if cell.closed && call.fresh() {
		return closed()
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
		cell.watch(call, now)
	}
	return nil
}

// watch sets the instants at which a queued call needs attention.
func (cell *Cell) watch(call *call, now time.Time) {
	due := call.request.FirstToken
	if due.IsZero() {
		return
	}
	if !cell.options.Switches.DisablePreempt {
		call.relieveAt = latest(now, due.Add(-cell.firstToken()-reliefMargin))
	}
	if call.request.Tier > topTier && call.fresh() && !cell.options.Switches.DisableAdmission {
		call.lateAt = latest(now.Add(recheckInterval), due)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit turns a call away whose estimated first token passes its deadline or,
// below the top tier, its target by more than the slack.
func (cell *Cell) admit(call *call, now time.Time) error {
	if cell.options.Switches.DisableAdmission || !call.fresh() {
		return nil
	}
	request := &call.request
	wait := cell.wait(request.Tier, request.FirstToken, request.Class)
	if wait == 0 {
		return nil
	}
	expected := now.Add(wait + cell.firstToken())
	limit, found := cell.latestStart(call)
	if !found || !expected.After(limit) {
		return nil
	}
	call.outcome.RetryAfter = max(leastRetryAfter, expected.Sub(limit))
	cell.countShed(call, "the estimated wait passes the target", wait)
	detail := fmt.Sprintf("the estimated wait of %s passes the target of class %q", wait.Round(time.Millisecond), request.Class)
	return fault.New("cell.Serve", Shed, detail)
}

// latestStart returns the latest first token with which a call is admitted.
func (cell *Cell) latestStart(call *call) (time.Time, bool) {
	request := &call.request
	limit := request.Deadline
	if request.Tier > topTier && !request.FirstToken.IsZero() {
		arrived := request.Arrived
		if arrived.IsZero() {
			arrived = call.entered
		}
		target := float64(request.FirstToken.Sub(arrived))
		slack := arrived.Add(time.Duration(target * cell.options.AdmitSlack))
		if limit.IsZero() || slack.Before(limit) {
			limit = slack
		}
	}
	return limit, !limit.IsZero()
}

// late looks again at a queued call that has missed its target: it is turned
// away when it would not even meet its deadline, so that its caller can try
// elsewhere while there is time.
func (call *call) late(now time.Time) error {
	cell := call.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if !call.queued || !call.fresh() || call.request.Deadline.IsZero() {
		return nil
	}
	wait := cell.wait(call.request.Tier, call.request.FirstToken, call.request.Class)
	expected := now.Add(wait + cell.firstToken())
	if !expected.After(call.request.Deadline) {
		call.lateAt = now.Add(time.Second)
		return nil
	}
	cell.queue.Remove(call.id)
	cell.unqueued(call)
	call.outcome.RetryAfter = max(leastRetryAfter, expected.Sub(call.request.Deadline))
	cell.countShed(call, "the estimated wait passes the deadline", wait)
	return fault.New("cell.Serve", Shed, "the estimated wait passes the deadline")
}

// countShed counts and logs that a call was turned away. The mutex is held.
func (cell *Cell) countShed(call *call, why string, wait time.Duration) {
	cell.stats.Shed++
	cell.log(event.CellShed(), logrus.Fields{
		"request_id": call.request.ID, "class": call.request.Class, "tier": call.request.Tier,
		"why": why, "wait_ms": wait.Milliseconds(), "queued": cell.queue.Len(),
	})
}

// push puts a call into the queue. A full queue drops a call of a lower tier
// that no engine has run; if there is none, the call itself is turned away, or
// waits when an engine has run it.
func (cell *Cell) push(call *call, now time.Time) error {
	item := cell.item(call, now)
	err := cell.queue.Push(item)
	if fault.Is(err, queue.Full) {
		victim, found := cell.queue.Shed(call.request.Tier)
		if found {
			cell.shed(victim.Value, call)
			err = cell.queue.Push(item)
		}
	}
	if err != nil {
		return cell.turnAway(call, now, err)
	}
	call.queued = true
	call.cost = item.Cost
	cell.queued[call.request.Class] += item.Cost
	if call.enqueued.IsZero() {
		call.enqueued = now
		cell.count(call, item.Cost, now)
	}
	return nil
}

// turnAway handles a call that the full queue has no room for.
func (cell *Cell) turnAway(call *call, now time.Time, err error) error {
	if !call.fresh() {
		call.retryAt = now.Add(recheckInterval)
		return nil
	}
	wait := cell.wait(call.request.Tier, call.request.FirstToken, call.request.Class)
	call.outcome.RetryAfter = max(leastRetryAfter, wait)
	cell.countShed(call, "the queue is full and holds no call of a lower tier", wait)
	return fault.Wrap("cell.Serve", Shed, err)
}

// requeue puts a call that was queued before back, whatever the capacity: room
// was made for it by taking it out.
func (cell *Cell) requeue(call *call) {
	if err := cell.push(call, time.Now()); err != nil {
		call.grants <- grant{}
	}
}

// shed ends a queued call to make room for one of a higher tier.
func (cell *Cell) shed(victim, favoured *call) {
	cell.unqueued(victim)
	wait := cell.wait(victim.request.Tier, victim.request.FirstToken, victim.request.Class)
	cell.countShed(victim, "the queue is full, and call "+favoured.request.ID+" has a higher tier", wait)
	victim.grants <- grant{
		err:   fault.New("cell.Serve", Shed, "the queue is full of work of higher tiers"),
		retry: max(leastRetryAfter, wait),
	}
}

// item describes a call to the queue. A call that an engine may have run counts
// as served, so that it is not shed.
func (cell *Cell) item(waiting *call, now time.Time) queue.Item[*call] {
	request := &waiting.request
	tokens := waiting.answer.Tokens()
	served := tokens
	if !waiting.fresh() {
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
		Long: float64(tokens)+cost >= cell.longFrom(now), Value: waiting,
	}
}

// unqueued records that a call was taken out of the queue.
func (cell *Cell) unqueued(call *call) {
	call.queued = false
	class := call.request.Class
	cell.queued[class] -= call.cost
	if cell.queued[class] < 1 {
		delete(cell.queued, class)
	}
}
