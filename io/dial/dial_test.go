package dial_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/reach"
	"primrosegw/io/dial"
)

// errUnreachable is the answer of another host that can't reach the server.
var errUnreachable = errors.New("the other host can't reach the server")

// errRefused is the answer of another host that may be cut off itself.
var errRefused = errors.New("the other host reaches no server")

// way is how one way to a server behaves: after a delay it fails with err, or succeeds if that is nil.
type way struct {
	delay time.Duration
	err   error
}

// never is a way that gives no answer.
var never = way{delay: time.Hour}

// run waits and then returns a connection or an error.
func (way way) run(ctx context.Context, conns *conns, name string) (net.Conn, error) {
	select {
	case <-time.After(way.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if way.err != nil {
		return nil, way.err
	}
	return conns.open(name), nil
}

// conns records which connections are open.
type conns struct {
	mutex sync.Mutex
	state map[*conn]string
}

type conn struct {
	net.Conn
	name  string
	conns *conns
}

func (conns *conns) open(name string) net.Conn {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	opened := &conn{name: name, conns: conns}
	conns.state[opened] = name
	return opened
}

func (conn *conn) Close() error {
	conn.conns.mutex.Lock()
	defer conn.conns.mutex.Unlock()
	delete(conn.conns.state, conn)
	return nil
}

// openCount returns the number of open connections.
func (conns *conns) openCount() int {
	conns.mutex.Lock()
	defer conns.mutex.Unlock()
	return len(conns.state)
}

// play is a dialer with ways that can be set.
type play struct {
	*dial.Dialer
	paths           *reach.Paths
	conns           *conns
	direct          way
	helpers         []way
	asked           []string
	changes         []reach.Change
	results         map[string]int
	directDials     int
	options         dial.Options
	questions       atomic.Int64
	muteHelpers     []string
	helpersByNumber []host.Host
}

func newPlay(direct way, helpers ...way) *play {
	play := &play{paths: reach.New(), conns: &conns{state: map[*conn]string{}}, direct: direct, helpers: helpers, results: map[string]int{}}
	for number := range helpers {
		play.helpersByNumber = append(play.helpersByNumber, host.Host{Name: string(rune('a' + number)), Capacity: float64(number)})
	}
	play.options = dial.Options{
		Paths: play.paths, Timeout: 400 * time.Millisecond,
		Direct: func(ctx context.Context, _ string) (net.Conn, error) {
			play.directDials++
			return play.direct.run(ctx, play.conns, "direct")
		},
		Helpers: func(string) []host.Host { return play.helpersByNumber },
		Tunnel: func(ctx context.Context, helper host.Host, _ string) (net.Conn, error) {
			play.asked = append(play.asked, helper.Name)
			return play.helpers[int(helper.Capacity)].run(ctx, play.conns, helper.Name)
		},
		IsUnreachable: func(err error) bool { return errors.Is(err, errUnreachable) },
		IsRefused:     func(err error) bool { return errors.Is(err, errRefused) },
		OnChange:      func(change reach.Change) { play.changes = append(play.changes, change) },
		OnDial:        func(result string) { play.results[result]++ },
	}
	play.Dialer = dial.New(play.options)
	return play
}

// asking makes the dialer ask questions. Connections of some ways carry nothing: they are reset, or silent.
func (play *play) asking(mute map[string]string) *play {
	play.options.Ask = func(ctx context.Context, raw net.Conn, _ string) (bool, error) {
		play.questions.Add(1)
		switch mute[raw.(*conn).name] {
		case "reset":
			return false, syscall.ECONNRESET
		case "silent":
			<-ctx.Done()
			return false, os.ErrDeadlineExceeded
		case "closes":
			return false, nil
		}
		return true, nil
	}
	play.options.OnMuteHelper = func(helper string) { play.muteHelpers = append(play.muteHelpers, helper) }
	play.Dialer = dial.New(play.options)
	return play
}

// dial dials a process and returns the way and the time it took, and closes the connection.
func (play *play) dial(t *testing.T, process string) (string, time.Duration, error) {
	t.Helper()
	began := time.Now()
	conn, via, err := play.Dial(t.Context(), process, "address", false)
	took := time.Since(began)
	time.Sleep(time.Second)
	synctest.Wait()
	if err == nil {
		require.Equal(t, 1, play.conns.openCount(), "connections that are not used are closed")
		require.NoError(t, conn.Close())
	}
	require.Zero(t, play.conns.openCount())
	return via, took, err
}

var refused = way{delay: time.Millisecond, err: &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}}

// Guards against dials that wait for a path that is down, that go through another host without need, or
// that leave connections open.
func TestDial(t *testing.T) {
	quick, answer := way{delay: time.Millisecond}, way{delay: 5 * time.Millisecond}
	no := way{delay: 5 * time.Millisecond, err: errUnreachable}
	lost := way{delay: 5 * time.Millisecond, err: errors.New("the other host is busy")}
	for name, test := range map[string]struct {
		direct  way
		helpers []way
		via     string
		took    time.Duration
		isDown  bool
		err     dial.Kind
	}{
		"direct":                         {direct: quick, helpers: []way{answer}, took: time.Millisecond},
		"direct, slow, helper fails":     {direct: way{delay: 200 * time.Millisecond}, helpers: []way{no}, took: 200 * time.Millisecond},
		"direct, slow, tunnel first":     {direct: way{delay: 100 * time.Millisecond}, helpers: []way{answer}, via: "a", took: 65 * time.Millisecond},
		"refused, reached by another":    {direct: refused, helpers: []way{answer}, via: "a", took: 6 * time.Millisecond, isDown: true},
		"hangs, reached by another":      {direct: never, helpers: []way{answer}, via: "a", took: 65 * time.Millisecond, isDown: true},
		"refused, second helper":         {direct: refused, helpers: []way{lost, answer}, via: "b", took: 11 * time.Millisecond, isDown: true},
		"refused, first helper silent":   {direct: refused, helpers: []way{never, answer}, via: "b", took: 156 * time.Millisecond, isDown: true},
		"refused, helpers are cut off":   {direct: refused, helpers: []way{{err: errRefused}, lost}, took: 6 * time.Millisecond, err: dial.NoPath},
		"refused, one helper cut off":    {direct: refused, helpers: []way{{err: errRefused}, no}, took: 6 * time.Millisecond, err: dial.Unreachable},
		"refused everywhere":             {direct: refused, helpers: []way{no, no}, took: 11 * time.Millisecond, err: dial.Unreachable},
		"refused, nobody helps":          {direct: refused, took: time.Millisecond, err: dial.Unreachable},
		"hangs, nobody helps":            {direct: never, took: 400 * time.Millisecond, err: dial.Unreachable},
		"hangs, and so do all the hosts": {direct: never, helpers: []way{never, never, never}, took: 400 * time.Millisecond, err: dial.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play := newPlay(test.direct, test.helpers...)
				via, took, err := play.dial(t, "p")
				require.Equal(t, test.err, fault.KindOf[dial.Kind](err))
				require.Equal(t, test.via, via)
				require.Equal(t, test.took, took)
				require.Equal(t, test.isDown, play.paths.IsDown("p"))
				require.Equal(t, test.err != "" && test.direct == refused, errors.Is(err, syscall.ECONNREFUSED))
			})
		})
	}
}

// Guards against a path that is tried by each request although it is down, and against a server that is
// blamed for it.
func TestPathThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newPlay(refused, way{delay: 5 * time.Millisecond})
		_, _, err := play.dial(t, "p")
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, 2, play.directDials, "the dial, and the check whether the server was only silent")
		via, took, err := play.dial(t, "p")
		require.NoError(t, err)
		require.Equal(t, "a", via)
		require.Equal(t, 5*time.Millisecond, took)
		synctest.Wait()
		require.Equal(t, 2, play.directDials)

		play.helpers[0] = way{err: errors.New("the other host is busy")}
		_, _, err = play.dial(t, "p")
		require.Equal(t, dial.NoPath, fault.KindOf[dial.Kind](err))
		require.False(t, errors.Is(err, syscall.ECONNREFUSED))
		play.helpers[0] = way{err: errUnreachable}
		_, _, err = play.dial(t, "p")
		require.Equal(t, dial.Unreachable, fault.KindOf[dial.Kind](err))
		require.ErrorIs(t, err, syscall.ECONNREFUSED)

		play.helpers[0] = way{}
		_, _, err = play.dial(t, "q")
		require.NoError(t, err)
		require.Empty(t, play.changes, "the paths were found down long after each other")
		_, _, err = play.dial(t, "r")
		require.NoError(t, err)
		require.Len(t, play.changes, 1)
		require.True(t, play.changes[0].CutOff)
		play.direct = way{}
		play.Redial(t.Context(), "q", "address")
		require.True(t, play.changes[1].Regained)
		via, _, err = play.dial(t, "q")
		require.NoError(t, err)
		require.Empty(t, via)
		require.Zero(t, play.conns.openCount())
		require.Equal(t, map[string]int{"tunnelled": 4, "failed": 2, "direct": 1}, play.results)
	})
}

// Guards against a caller that has left and is waited for, and whose end counts as a sign of the path.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newPlay(never, way{delay: 100 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, _, err := play.Dial(ctx, "p", "address", false)
		require.Error(t, err)
		require.Equal(t, 80*time.Millisecond, time.Since(began))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, play.conns.openCount())
		require.False(t, play.paths.IsDown("p"))
	})
}

// Guards against requests that wait for the whole time of each dial while no server can be reached, and
// against a host without others that does not.
func TestDialsAreShortWhileNoServerIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, helpers := range [][]way{{never}, nil} {
			play := newPlay(never, helpers...)
			for _, process := range []string{"p", "q", "p"} {
				conn, _, err := play.Dial(t.Context(), process, "address", false)
				require.Error(t, err)
				require.Nil(t, conn)
			}
			began := time.Now()
			_, _, err := play.Dial(t.Context(), "r", "address", false)
			took := time.Since(began)
			require.Error(t, err)
			want := 150 * time.Millisecond
			if helpers == nil {
				want = 400 * time.Millisecond
			}
			require.Equal(t, want, took)
			synctest.Wait()
		}
	})
}

// Guards against requests on connections that are accepted and carry nothing, against a server that resets
// connections and looks like a path that is down, and against a host that is cut off and blames its servers.
func TestConnectionsOfAPathInDoubtAreProven(t *testing.T) {
	up, all := way{delay: time.Millisecond}, map[string]string{"direct": "reset", "a": "reset", "b": "reset"}
	for name, test := range map[string]struct {
		mute map[string]string
		// own: connections to another process broke as well.
		own     bool
		helpers []way
		via     string
		helped  []string
		isDown  bool
		err     dial.Kind
	}{
		"direct carries":                 {helpers: []way{up}},
		"direct closes":                  {mute: map[string]string{"direct": "closes"}, helpers: []way{up}},
		"direct reset":                   {mute: map[string]string{"direct": "reset"}, helpers: []way{up}, via: "a", isDown: true},
		"direct silent":                  {mute: map[string]string{"direct": "silent"}, helpers: []way{up}, via: "a", isDown: true},
		"first helper mute":              {mute: map[string]string{"direct": "reset", "a": "silent"}, helpers: []way{up, up}, via: "b", isDown: true, helped: []string{"a"}},
		"one server resets":              {mute: all, helpers: []way{up, up}, err: dial.Unreachable, helped: []string{"a", "b"}},
		"all reset":                      {mute: all, own: true, helpers: []way{up, up}, err: dial.NoPath, helped: []string{"a", "b"}},
		"all reset, nobody helps":        {mute: all, own: true, err: dial.NoPath},
		"one server resets, nobody asks": {mute: all, err: dial.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				play := newPlay(up, test.helpers...).asking(test.mute)
				play.paths.RecordBroken("p", true, time.Now())
				if test.own {
					play.paths.RecordBroken("q", true, time.Now())
				}
				via, took, err := play.dial(t, "p")
				require.Equal(t, test.via, via)
				require.Equal(t, test.err != "", err != nil)
				require.True(t, test.err == "" || fault.Is(err, test.err), err)
				require.LessOrEqual(t, took, 250*time.Millisecond)
				require.Equal(t, test.isDown, play.paths.IsDown("p"))
				require.Equal(t, test.helped, play.muteHelpers)
				require.Empty(t, play.changes)
			})
		})
	}
}

// Guards against questions on a calm day, and against a path that counts as up again because a connection was
// accepted.
func TestAcceptedConnectionsProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := way{delay: time.Millisecond}
		mute := map[string]string{"direct": "silent"}
		play := newPlay(up, up).asking(mute)
		_, _, err := play.dial(t, "p")
		require.NoError(t, err)
		require.Zero(t, play.questions.Load())
		for _, process := range []string{"p", "q"} {
			play.paths.RecordDown(process, time.Now())
		}
		require.NotZero(t, play.paths.CutOffFor(time.Now()))
		play.Redial(t.Context(), "p", "address")
		require.NotZero(t, play.paths.CutOffFor(time.Now()))
		via, _, err := play.dial(t, "q")
		require.NoError(t, err)
		require.Equal(t, "a", via)
		delete(mute, "direct")
		play.Redial(t.Context(), "p", "address")
		require.Zero(t, play.paths.CutOffFor(time.Now()))
		require.Len(t, play.changes, 1)
	})
}
