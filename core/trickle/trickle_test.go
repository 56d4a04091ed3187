package trickle_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/trickle"
)

const allowed = 10 * time.Second

// play is a clock and the attempts at the server "bad" beside others.
type play struct {
	*trickle.Judge
	now time.Time
}

func newPlay() *play { return &play{Judge: trickle.New(), now: time.Unix(1000, 0)} }

// attempt ends an attempt now that began some time before.
func (play *play) attempt(change func(*trickle.Attempt)) trickle.Verdict {
	attempt := trickle.Attempt{Server: "bad", Service: "engines", Started: play.now.Add(-allowed), Ended: play.now, Allowed: allowed, Received: true}
	if change != nil {
		change(&attempt)
	}
	return play.JudgeDeadline(attempt)
}

// whole is a response that is complete at a moment.
func whole(server, service string, at time.Time) trickle.Part {
	return trickle.Part{Server: server, Service: service, Started: at.Add(-time.Millisecond), Completed: at, Allowed: allowed, Whole: true}
}

// event is an event that comes some time after its attempt started.
func event(server string, at time.Time, age time.Duration) trickle.Part {
	return trickle.Part{Server: server, Service: "engines", Started: at.Add(-age), Completed: at, Allowed: allowed}
}

// othersServe lets time pass in which another server serves.
func (play *play) othersServe() {
	play.now = play.now.Add(allowed)
	play.RecordPart(whole("good", "engines", play.now.Add(-time.Second)))
}

// Guards against a server that trickles again and again and goes on to get requests.
func TestServerThatTricklesGetsLessAndThenNothing(t *testing.T) {
	play := newPlay()
	for range 2 {
		play.othersServe()
		require.Equal(t, trickle.Verdict{Wasted: true}, play.attempt(nil))
	}
	for _, pause := range []time.Duration{20 * time.Second, 40 * time.Second, time.Minute, time.Minute} {
		play.othersServe()
		require.Equal(t, trickle.Verdict{Wasted: true, Pause: pause}, play.attempt(nil))
	}
	play.RecordPart(whole("bad", "engines", play.now))
	play.othersServe()
	require.Equal(t, trickle.Verdict{Wasted: true}, play.attempt(nil), "progress clears the server")
}

// Guards against a server that sends an event at once and then trickles.
func TestFewEventsAtTheStartDoNotHelp(t *testing.T) {
	play := newPlay()
	for number := range 3 {
		play.othersServe()
		verdict := play.attempt(func(attempt *trickle.Attempt) { attempt.LastPart = play.now.Add(-8 * time.Second) })
		require.True(t, verdict.Wasted)
		require.Equal(t, number == 2, verdict.Pause > 0)
	}
}

// Guards against a server that sends a first event for each request and then trickles: with requests that
// overlap, the first event of the next one must not clear it.
func TestFirstEventsOfOtherRequestsDoNotHelp(t *testing.T) {
	const overlap = 10
	play := newPlay()
	wasted, pauses := 0, 0
	for range 3 * overlap {
		play.now = play.now.Add(allowed / overlap)
		play.RecordPart(whole("good", "engines", play.now))
		play.RecordPart(event("bad", play.now, allowed/100))
		verdict := play.attempt(func(attempt *trickle.Attempt) { attempt.LastPart = attempt.Started.Add(allowed / 100) })
		if verdict.Wasted {
			wasted++
		}
		if verdict.Pause > 0 {
			pauses++
		}
	}
	require.Equal(t, 3*overlap, wasted)
	require.Equal(t, 3*overlap-2, pauses)
}

// Guards against blaming a server whose streams go on past their beginning.
func TestEventsPastTheBeginningClearAServer(t *testing.T) {
	play := newPlay()
	for range 20 {
		play.othersServe()
		play.RecordPart(event("bad", play.now.Add(-time.Second), 3*time.Second))
		require.Zero(t, play.attempt(nil))
	}
}

// Guards against punishing servers that are not to blame, however often it happens.
func TestSoundServersAreNotBlamed(t *testing.T) {
	for name, step := range map[string]func(*play) trickle.Verdict{
		"long pauses": func(play *play) trickle.Verdict {
			play.othersServe()
			return play.attempt(func(attempt *trickle.Attempt) { attempt.LastPart = play.now.Add(-7 * time.Second) })
		},
		"other streams go on": func(play *play) trickle.Verdict {
			play.othersServe()
			play.RecordPart(whole("bad", "engines", play.now.Add(-2*time.Second)))
			return play.attempt(nil)
		},
		"no server serves": func(play *play) trickle.Verdict {
			play.now = play.now.Add(2 * allowed)
			return play.attempt(nil)
		},
		"only another service is served": func(play *play) trickle.Verdict {
			play.now = play.now.Add(2 * allowed)
			play.RecordPart(whole("other", "ledger", play.now))
			return play.attempt(nil)
		},
		"impatient callers": func(play *play) trickle.Verdict {
			play.othersServe()
			return play.attempt(func(attempt *trickle.Attempt) { attempt.Started = play.now.Add(-allowed / 3) })
		},
		"slow callers": func(play *play) trickle.Verdict {
			play.othersServe()
			return play.attempt(func(attempt *trickle.Attempt) { attempt.CallerHeld = 3 * time.Second })
		},
		"silent": func(play *play) trickle.Verdict {
			play.othersServe()
			return play.attempt(func(attempt *trickle.Attempt) { attempt.Received = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			play := newPlay()
			for range 20 {
				require.Zero(t, step(play))
			}
		})
	}
}

// Guards against sound streams that lower the standing of their server: with a pause of at most three
// quarters of the time between parts, an attempt that reaches its deadline is never held against it.
func TestStreamsWithPausesAreNeverWasted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := newPlay()
		for range rapid.IntRange(1, 20).Draw(t, "streams") {
			play.othersServe()
			pause := rapid.Int64Range(1, int64(allowed)*3/4).Draw(t, "pause")
			require.Zero(t, play.attempt(func(attempt *trickle.Attempt) { attempt.LastPart = play.now.Add(-time.Duration(pause)) }))
		}
	})
}

// Guards against a memory that grows with each process that has ever served.
func TestServersAreForgotten(t *testing.T) {
	play := newPlay()
	for number := range 10_000 {
		play.now = play.now.Add(time.Second)
		play.RecordPart(whole(fmt.Sprint(number), "engines", play.now))
	}
	require.Equal(t, trickle.Verdict{Wasted: true}, play.attempt(func(attempt *trickle.Attempt) { attempt.Server = "1" }))
}
