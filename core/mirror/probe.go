package mirror

import (
	"context"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// runProbe reads the probed key whenever the proof has become too old. Proofs received
// from other hosts renew it too, so that few hosts read the key.
func (mirror *Mirror) runProbe(ctx context.Context) {
	mirror.WaitCaughtUp(ctx)
	mirror.options.BeforeProbe(ctx)
	delay := retryDelayBase
	for ctx.Err() == nil {
		wait := mirror.untilProbeDue()
		if refresh, wanted := mirror.untilRefresh(); wanted {
			wait = min(wait, refresh)
		}
		if wait > 0 {
			mirror.waitOrWake(ctx, wait)
			continue
		}
		err := mirror.probeOnce(ctx)
		if err == nil {
			delay = retryDelayBase
			mirror.drawProbePhase()
			continue
		}
		if ctx.Err() == nil {
			mirror.RecordFailure(err, "probe")
			mirror.options.Grace.Lose(time.Now())
		}
		sleep(ctx, mirror.jitter(delay))
		delay = min(2*delay, mirror.maxRetryDelay())
	}
}

// maxRetryDelay returns the longest delay between two attempts to reach the store.
func (mirror *Mirror) maxRetryDelay() time.Duration {
	if mirror.options.IsIdle() {
		return idleRetryDelayMax
	}
	return retryDelayMax
}

// untilProbeDue returns the time until the next read of the probed key. The random
// phase makes hosts read at different times, so that the first read saves the other
// hosts the call. Standby hosts receive proofs from the watchers and use a longer
// interval.
func (mirror *Mirror) untilProbeDue() time.Duration {
	mirror.healthMutex.Lock()
	lost := !mirror.lostAt.IsZero()
	mirror.healthMutex.Unlock()
	if lost {
		return 0
	}
	mirror.mutex.Lock()
	phase, startedAt := mirror.probePhase, mirror.startedAt
	mirror.mutex.Unlock()
	age, known := mirror.options.Proof.Age(mirror.options.Now())
	if !known {
		return mirror.untilFirstProbe(phase, startedAt)
	}
	if mirror.options.StandbyProbeInterval > 0 && !mirror.options.IsWatcher() {
		return spread(mirror.options.StandbyProbeInterval, standbyProbeSpread, phase) - age
	}
	return spread(mirror.options.ProbeInterval, probeSpread, phase) - age
}

// untilFirstProbe returns the time until the first read of the probed key. An idle
// host leaves the other hosts some time to send their proofs.
func (mirror *Mirror) untilFirstProbe(phase float64, startedAt time.Time) time.Duration {
	if !mirror.options.IsIdle() {
		return 0
	}
	return spread(firstProofTimeout, probeSpread, phase) - time.Since(startedAt)
}

// spread returns the interval shortened by a part of share; phase 0 leaves it as it is.
func spread(interval time.Duration, share, phase float64) time.Duration {
	return time.Duration((1 - share*phase) * float64(interval))
}

// drawProbePhase draws the phase of the next read.
func (mirror *Mirror) drawProbePhase() {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	mirror.probePhase = mirror.random.Float64()
}

// WakeProbe makes the probed key be read again without delay if its last read confirmed nothing.
func (mirror *Mirror) WakeProbe() {
	select {
	case mirror.wakeProbe <- struct{}{}:
	default:
	}
}

// waitOrWake waits, but returns early when another call fails.
func (mirror *Mirror) waitOrWake(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-mirror.wakeProbe:
	case <-ctx.Done():
	}
}

// probeOnce reads the probed key and confirms the proof.
func (mirror *Mirror) probeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	before, calledAt := mirror.options.Now(), time.Now()
	mirror.startRead(calledAt)
	provenEra, mayProve := mirror.options.MayProve()
	entry, position, err := mirror.options.Source.Get(ctx, mirror.options.ProbeKey)
	if err != nil && !fault.Is(err, store.Absent) {
		return err
	}
	mirror.recordSuccess()
	mirror.ObserveEra(position.Era)
	mirror.options.Grace.Read(position.Era, time.Now())
	isCurrent := err == nil && mirror.applyProbed(entry, position, calledAt)
	if !isCurrent || !mayProve || provenEra != anyEra && provenEra != position.Era {
		// There is nothing to confirm yet.
		mirror.waitOrWake(ctx, mirror.jitter(absentRetryDelay))
		return nil
	}
	mirror.options.Proof.Confirm(before)
	return nil
}

// anyEra stands for each era of the store.
const anyEra = -1

// applyProbed applies the entry of the probed key that was read at a position, and reports
// whether it is the newest value that is known.
func (mirror *Mirror) applyProbed(entry store.Entry, position store.Position, calledAt time.Time) bool {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if position.Era != mirror.position.Era {
		return false
	}
	if mirror.advanceProbed(store.Position{Era: position.Era, Revision: entry.Revision}) {
		mirror.options.Sink.Changed(store.Event{Entry: entry})
	}
	mirror.expectPosition(position)
	mirror.observeCurrency(position, calledAt)
	return mirror.options.IsCurrent()
}
