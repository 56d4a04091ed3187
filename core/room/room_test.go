package room_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/room"
)

const (
	step = 5 * time.Millisecond
	// workTime is how long the servers work on a request, delay the time of a message.
	workTime, delay = 100 * time.Millisecond, 10 * time.Millisecond
	messageInterval = 150 * time.Millisecond
	slots           = 2
	// warning is the time for which brittle servers keep their room, lateRoom the number of requests that
	// may wait afterwards.
	warning  = 3 * time.Second
	lateRoom = 1
	number   = 3
)

// engine is a brittle server. Requests are in the order in which they came.
type engine struct {
	server   fleet.Server
	present  []*flight
	refusals []time.Time
	// worst is the largest number of refusals within a second.
	worst, served int
	// isSound: the server is not brittle, and has room for all requests.
	isSound bool
}

// flight is a request of a host at an engine.
type flight struct {
	host      *node
	sentAt    time.Time
	startedAt time.Time
}

// node is a host that always has a request for each engine.
type node struct {
	name    string
	limiter *room.Limiter
	// isDown: it neither sends requests nor messages. isMute: its messages are lost in both directions.
	isDown, isMute bool
	nextMessage    time.Time
}

// play is a set of hosts and engines.
type play struct {
	hosts   []*node
	engines []*engine
	begin   time.Time
	lost    float64
	random  *rand.Rand
}

func newPlay(hosts int, lost float64) *play {
	play := &play{begin: time.Now(), lost: lost, random: rand.New(rand.NewPCG(uint64(hosts), 48))}
	for index := range 6 {
		play.engines = append(play.engines, &engine{server: fleet.Server{ID: fmt.Sprint("i-", index), Service: "service", Slots: slots}})
	}
	for range hosts {
		play.addHost()
	}
	return play
}

func (play *play) addHost() *node {
	name := fmt.Sprint("host-", len(play.hosts))
	added := &node{name: name, limiter: room.New(name)}
	play.hosts = append(play.hosts, added)
	return added
}

// names returns the names of the hosts that are up.
func (play *play) names() []string {
	var names []string
	for _, host := range play.hosts {
		if !host.isDown {
			names = append(names, host.name)
		}
	}
	return names
}

// run lets time pass.
func (play *play) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		now := time.Now()
		for _, host := range play.hosts {
			if !host.isDown && !now.Before(host.nextMessage) {
				host.nextMessage = now.Add(messageInterval)
				host.limiter.SetHosts(play.names(), now)
				host.limiter.Expire(now)
				play.tell(host, now)
			}
		}
		for _, engine := range play.engines {
			play.work(engine, now)
			for _, index := range play.random.Perm(len(play.hosts)) {
				play.send(engine, play.hosts[index], now)
			}
		}
	}
}

// tell sends the reports of a host to the others.
func (play *play) tell(from *node, now time.Time) {
	reports := from.limiter.PendingReports(now)
	for _, to := range play.hosts {
		if to == from || to.isDown || from.isMute || to.isMute || play.random.Float64() < play.lost {
			continue
		}
		time.AfterFunc(delay, func() {
			to.limiter.Heard(from.name, time.Now())
			to.limiter.ApplyReports(reports, time.Now())
		})
	}
}

// send sends a request of a host to an engine if the host may.
func (play *play) send(engine *engine, host *node, now time.Time) {
	if host.isDown || host.limiter.Wait(engine.server, now) > 0 || !host.limiter.Take(engine.server, nil, now) {
		return
	}
	present := slots + 8
	if now.Sub(play.begin) >= warning {
		present = slots + lateRoom
	}
	if len(engine.present) >= present && !engine.isSound {
		engine.refuse(now, now.Sub(play.begin) >= warning)
		host.limiter.Observe(engine.server, room.Observation{Number: number, Slots: slots, Refused: true, SentAt: now}, now)
		host.limiter.Done(engine.server, true, now, now)
		return
	}
	engine.present = append(engine.present, &flight{host: host, sentAt: now})
}

// refuse counts a refusal, which counts for a fall from the end of the warning on.
func (engine *engine) refuse(now time.Time, counts bool) {
	if !counts {
		return
	}
	engine.refusals = append(engine.refusals, now)
	within := 0
	for _, at := range engine.refusals {
		if now.Sub(at) < time.Second {
			within++
		}
	}
	engine.worst = max(engine.worst, within)
}

// work lets an engine answer what it has finished and start on the next requests.
func (play *play) work(engine *engine, now time.Time) {
	var present []*flight
	for _, flight := range engine.present {
		if flight.startedAt.IsZero() || now.Sub(flight.startedAt) < workTime {
			present = append(present, flight)
			continue
		}
		engine.served++
		if !flight.host.isDown {
			flight.host.limiter.Observe(engine.server, engine.answer(flight.sentAt), now)
			flight.host.limiter.Done(engine.server, true, flight.sentAt, now)
		}
	}
	engine.present = present
	working := slots
	if engine.isSound {
		working = len(present)
	}
	for _, flight := range present[:min(working, len(present))] {
		if flight.startedAt.IsZero() {
			flight.startedAt = now
		}
	}
}

// answer returns what an answer of the engine says.
func (engine *engine) answer(sentAt time.Time) room.Observation {
	if engine.isSound {
		return room.Observation{Slots: slots, SentAt: sentAt}
	}
	return room.Observation{Number: number, Slots: slots, SentAt: sentAt}
}

// served returns the number of requests that all engines have served.
func (play *play) served() int {
	total := 0
	for _, engine := range play.engines {
		total += engine.served
	}
	return total
}

// requireUp fails if an engine fell over.
func (play *play) requireUp(t *testing.T) {
	t.Helper()
	for _, engine := range play.engines {
		require.LessOrEqual(t, engine.worst, number, "refusals of %s within a second", engine.server.ID)
	}
}

// Guards against hosts that together send brittle servers more than they have room for, and against
// room that is left unused.
func TestHostsTogetherKeepToTheRoom(t *testing.T) {
	for _, hosts := range []int{1, 2, 4, 16, 40} {
		for _, lost := range []float64{0, 0.2} {
			synctest.Test(t, func(t *testing.T) {
				play := newPlay(hosts, lost)
				play.run(warning + time.Second)
				before := play.served()
				play.run(10 * time.Second)
				play.requireUp(t)
				places := len(play.engines) * slots
				require.GreaterOrEqual(t, play.served()-before, places*10*8, "%d hosts, lost %g: 80 of 100 that fit", hosts, lost)
			})
		}
	}
}

// Guards against a server that starts again under a new ID while its service is brittle, and falls over at each
// start, as it gets all that waits before its first answer (review/10).
func TestServerThatStartsInABrittleTimeIsNotFlooded(t *testing.T) {
	for _, hosts := range []int{1, 4, 16, 40} {
		synctest.Test(t, func(t *testing.T) {
			play := newPlay(hosts, 0.05)
			play.run(warning + 2*time.Second)
			for start := range 3 {
				play.engines[0] = &engine{server: fleet.Server{ID: fmt.Sprint("i-0-", start), Service: "service", Slots: slots}}
				play.run(4 * time.Second)
				play.requireUp(t)
				require.Greater(t, play.engines[0].served, slots*10, "it is used, %d hosts", hosts)
			}
		})
	}
}

// Guards against sound servers that are limited for long because another one of their service is brittle.
func TestSoundServersBesideABrittleOneAreNotLimited(t *testing.T) {
	for _, hosts := range []int{1, 4, 16, 40} {
		synctest.Test(t, func(t *testing.T) {
			play := newPlay(hosts, 0.05)
			for _, engine := range play.engines[1:] {
				engine.isSound = true
			}
			play.run(2 * time.Second)
			before := play.served()
			play.run(15 * time.Second)
			// Each host has one request after another for each step at each sound engine.
			busy := (len(play.engines) - 1) * hosts * int(15*time.Second/step)
			require.Greater(t, play.served()-before, busy*95/100, "%d hosts", hosts)
			play.requireUp(t)
		})
	}
}

// Guards against hosts without a share of a sound server beside a brittle one that never send it anything: the hosts with
// a share knew that it is sound before it could be taken for brittle, and did not tell.
func TestSoundServerIsToldToHostsWithoutAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := room.New("first"), room.New("second")
		for _, limiter := range []*room.Limiter{first, second} {
			limiter.SetHosts([]string{"first", "second"}, time.Now())
			limiter.Heard("first", time.Now())
			limiter.Heard("second", time.Now())
		}
		time.Sleep(time.Second)
		for number := range 20 {
			service := fmt.Sprint("service-", number)
			brittle, sound := fleet.Server{ID: "brittle of " + service, Service: service, Slots: 1}, fleet.Server{ID: "sound of " + service, Service: service, Slots: 1}
			sentAt := time.Now()
			require.True(t, first.Take(sound, nil, sentAt))
			time.Sleep(time.Millisecond)
			first.Observe(brittle, room.Observation{Number: 3, Slots: 1, SentAt: sentAt}, time.Now())
			first.Observe(sound, room.Observation{Slots: 1, SentAt: sentAt}, time.Now())
			first.Done(sound, true, sentAt, time.Now())
			second.ApplyReports(first.PendingReports(time.Now()), time.Now())
			// The second host, which has no share of half of the servers, needs them.
			second.Wait(sound, time.Now())
			time.Sleep(100 * time.Millisecond)
			second.ApplyReports(first.PendingReports(time.Now()), time.Now())
			require.Zero(t, second.Wait(sound, time.Now()), "%s", sound.ID)
		}
	})
}

// Guards against servers that fall over because hosts come, go, or are heard of by some only.
func TestRoomIsKeptWhileHostsChange(t *testing.T) {
	for _, hosts := range []int{2, 4, 8, 32} {
		synctest.Test(t, func(t *testing.T) {
			play := newPlay(hosts, 0.05)
			play.run(warning + time.Second)
			play.hosts[0].isDown = true
			play.run(2 * time.Second)
			play.hosts[0].isDown, play.hosts[0].limiter = false, room.New(play.hosts[0].name)
			play.run(2 * time.Second)
			play.addHost()
			play.run(2 * time.Second)
			play.hosts[1].isMute = true
			play.run(6 * time.Second)
			play.hosts[1].isMute = false
			play.run(2 * time.Second)
			play.requireUp(t)
		})
	}
}

// Guards against a brittle time that never ends, or that ends with an answer to an older request.
func TestBrittleTimeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, limiter := fleet.Server{ID: "i-0", Service: "service"}, room.New("host")
		other := room.New("other")
		brittle := func() room.Observation { return room.Observation{Number: 3, Slots: 2, SentAt: time.Now()} }
		sentAt := time.Now()
		time.Sleep(time.Millisecond)
		require.Equal(t, room.Began, limiter.Observe(server, brittle(), time.Now()))
		require.Equal(t, room.None, limiter.Observe(server, brittle(), time.Now()))
		began, _ := other.ApplyReports(limiter.PendingReports(time.Now()), time.Now())
		require.Equal(t, 1, began)
		require.Equal(t, room.None, limiter.Observe(server, room.Observation{SentAt: sentAt}, time.Now()))
		require.True(t, limiter.Take(server, nil, time.Now()))
		require.Positive(t, limiter.Wait(server, time.Now()), "the lowest limit is reached")
		time.Sleep(time.Second)
		require.Zero(t, limiter.Wait(server, time.Now()), "the limit has risen")
		require.Equal(t, room.Ended, limiter.Observe(server, room.Observation{SentAt: time.Now()}, time.Now()))
		_, ended := other.ApplyReports(limiter.PendingReports(time.Now()), time.Now())
		require.Equal(t, 1, ended)
		for range 10 {
			require.True(t, limiter.Take(server, nil, time.Now()))
		}
		require.Equal(t, room.Began, limiter.Observe(server, brittle(), time.Now()))
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"i-0"}, limiter.Expire(time.Now()))
		_, _, isBrittle := limiter.Limit(server, time.Now())
		require.False(t, isBrittle)
		require.Positive(t, limiter.Wait(server, time.Now()), "11 are in flight, and whether a brittle time has begun is not known")
		require.Equal(t, room.None, limiter.Observe(server, room.Observation{SentAt: time.Now()}, time.Now()))
		require.Zero(t, limiter.Wait(server, time.Now()))
	})
}

// Guards against more requests to a server that has just refused one or has fallen over, and against a
// request without an answer that no longer counts though it may run.
func TestLimitIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, limiter := fleet.Server{ID: "i-0", Service: "service"}, room.New("host")
		limiter.Observe(server, room.Observation{Number: 3, Slots: 8}, time.Now())
		time.Sleep(5 * time.Second)
		limit, _, _ := limiter.Limit(server, time.Now())
		require.Equal(t, 6, limit)
		for range 5 {
			require.True(t, limiter.Take(server, nil, time.Now()))
		}
		limiter.Observe(server, room.Observation{Number: 3, Slots: 8, Refused: true}, time.Now())
		limiter.Done(server, true, time.Now(), time.Now())
		limit, share, _ := limiter.Limit(server, time.Now())
		require.Equal(t, 3, limit)
		require.Zero(t, share, "it is left alone for a moment")
		time.Sleep(500 * time.Millisecond)
		require.Positive(t, limiter.Wait(server, time.Now()), "4 are in flight")
		limiter.RecordCrash(server, time.Now())
		for range 4 {
			limiter.Done(server, false, time.Now(), time.Now())
		}
		time.Sleep(600 * time.Millisecond)
		require.Positive(t, limiter.Wait(server, time.Now()), "4 may still run")
		time.Sleep(time.Second)
		require.Zero(t, limiter.Wait(server, time.Now()))
	})
}

// Guards against values of other hosts that break the limit.
func TestOddReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, server := room.New("host"), fleet.Server{ID: "i-0", Service: "service"}
		key := fleet.ServerHash("i-0")
		for _, report := range []room.Report{
			{Server: key, Number: -1, Base: 1},
			{Server: key, Number: 3, Base: -1},
			{Server: key, Number: 3, Slots: -1, Base: 1},
			{Server: key, Number: 3, Base: 1, AgeMs: 1 << 40},
			{Server: key, Number: 0},
		} {
			began, ended := limiter.ApplyReports([]room.Report{report}, time.Now())
			require.Zero(t, began+ended, "%+v", report)
		}
		limiter.ApplyReports([]room.Report{{Server: key, Number: 3, Base: 1e300, AgeMs: -1 << 40, CutAgeMs: -1 << 40, Refused: true}}, time.Now())
		limit, _, isBrittle := limiter.Limit(server, time.Now())
		require.True(t, isBrittle)
		require.LessOrEqual(t, limit, 11)
	})
}

// Guards against hosts that callers are not sent to, but take room beside those that divide it.
func TestHostThatIsNotListedHasNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, limiter := fleet.Server{ID: "i-0", Service: "service"}, room.New("host")
		limiter.Observe(server, room.Observation{Number: 3, Slots: 2}, time.Now())
		require.Zero(t, limiter.Wait(server, time.Now()))
		for _, hosts := range [][]string{{"a", "b"}, {}} {
			limiter.SetHosts(hosts, time.Now())
			require.Positive(t, limiter.Wait(server, time.Now()))
		}
		limiter.SetHosts([]string{"host"}, time.Now())
		require.Positive(t, limiter.Wait(server, time.Now()), "the others may not know yet")
		time.Sleep(time.Second)
		require.Zero(t, limiter.Wait(server, time.Now()))
	})
}

// Guards against servers that fall over because a brittle time began before any host had an answer in it: after the
// start of the hosts, or after a time without requests (review/10, with hosts that start slowly).
func TestServersOfAnUnseenBrittleTimeAreNotFlooded(t *testing.T) {
	// Each host may have one request at a server that has said nothing, so more hosts than a server bears are too many.
	for _, hosts := range []int{1, 2, 4, slots + lateRoom + number} {
		for _, name := range []string{"hosts start", "nothing was sent for a while"} {
			synctest.Test(t, func(t *testing.T) {
				play := newPlay(hosts, 0.05)
				if name == "nothing was sent for a while" {
					play.setSound(true)
					play.run(time.Second)
					play.setSound(false)
				}
				time.Sleep(warning)
				play.begin = time.Now().Add(-warning)
				play.run(6 * time.Second)
				play.requireUp(t)
				require.Greater(t, play.served(), 6*slots*20, "they are used, %d hosts, %s", hosts, name)
			})
		}
	}
}

// Guards against sound servers that get less than they can take for longer than until their first answer, because
// nothing was heard of them at first or for a while.
func TestSoundServersThatWereSilentAreNotLimited(t *testing.T) {
	for _, hosts := range []int{1, 4, 16, 40} {
		synctest.Test(t, func(t *testing.T) {
			play := newPlay(hosts, 0.05)
			play.setSound(true)
			for range 3 {
				before := play.served()
				play.run(time.Second)
				// Each host has one request after another for each step at each engine, and waits for one answer at first.
				busy := len(play.engines) * hosts * int((time.Second-3*workTime)/step)
				require.Greater(t, play.served()-before, busy*95/100, "%d hosts", hosts)
				time.Sleep(5 * time.Second)
			}
		})
	}
}

// setSound makes all engines sound or brittle.
func (play *play) setSound(isSound bool) {
	for _, engine := range play.engines {
		engine.isSound = isSound
	}
}
