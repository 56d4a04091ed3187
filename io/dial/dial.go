// Package dial opens connections to backend servers, directly or, where that fails, through another host.
package dial

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/reach"
	"primrosegw/io/socket"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// Unreachable: neither this host nor another one could open a connection.
	Unreachable Kind = "unreachable"
	// NoPath: the direct path is known to be down, or this host is cut off, and no other host could say
	// whether it reaches the server. It says nothing of the server.
	NoPath Kind = "no_path"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// patience is how long a direct dial may take until another host is tried beside it, and how long
	// the other host may take until the direct dial is.
	patience = 60 * time.Millisecond
	// askPatience replaces patience for a question to a silent server, which may be only slow.
	askPatience = 150 * time.Millisecond
	// lateDirect is how long a direct dial may take, after another host has reached the server, to show
	// that its path is not down.
	lateDirect = 100 * time.Millisecond
	// helperTimeout limits the time of one other host, so that a second one can be tried within the time
	// limit.
	helperTimeout = 150 * time.Millisecond
	// hopelessTimeout limits the whole dial while neither this host nor the others reach any server.
	hopelessTimeout = 150 * time.Millisecond
)

// The results of a dial in counters.
const (
	direct    = "direct"
	tunnelled = "tunnelled"
	failed    = "failed"
)

// Options are the dependencies of a Dialer.
type Options struct {
	Paths *reach.Paths
	// Timeout limits the whole time to open a connection.
	Timeout time.Duration
	// Direct opens a connection to an address.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Helpers returns the other hosts that may open a connection to a process, best first.
	Helpers func(process string) []host.Host
	// Tunnel opens a connection to a process through another host.
	Tunnel func(ctx context.Context, helper host.Host, process string) (net.Conn, error)
	// IsUnreachable reports whether an error of Tunnel says that the other host can't reach the process
	// either.
	IsUnreachable func(err error) bool
	// IsRefused reports whether an error of Tunnel says that the other host can't say whether the process is
	// reached; may be nil.
	IsRefused func(err error) bool
	// Ask asks the process at the other end of a new connection a question, and reports whether the
	// connection can take a request afterwards. It fails if no byte of an answer arrives before the end of
	// the context, and with ErrNoQuestion. Nil: connections count as proven when they are open.
	Ask func(ctx context.Context, conn net.Conn, process string) (reusable bool, err error)
	// OnMuteHelper is called when a connection through another host has carried nothing; may be nil.
	OnMuteHelper func(helper string)
	// OnChange is called when a dial shows that this host is cut off or no longer is.
	OnChange func(reach.Change)
	// OnDial is called with the way of each dial, or with its failure.
	OnDial func(result string)
}

// ErrNoQuestion says that a process can be asked nothing.
var ErrNoQuestion = errors.New("there is no question to ask the server")

// errMute says that a connection was accepted and carried nothing.
var errMute = errors.New("the connection was accepted and carried nothing")

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	options Options
}

// New returns a Dialer.
func New(options Options) *Dialer {
	if options.IsRefused == nil {
		options.IsRefused = func(error) bool { return false }
	}
	if options.OnMuteHelper == nil {
		options.OnMuteHelper = func(string) {}
	}
	return &Dialer{options: options}
}

// outcome is how one of the two ways of a dial ended.
type outcome struct {
	conn net.Conn
	// via is the name of the other host, empty for a direct connection.
	via string
	err error
	// confirmed: another host could not reach the server either.
	confirmed bool
	// refused: another host could not say whether the server is reached.
	refused  bool
	isDirect bool
	// isProven: a byte of the server has arrived on the connection, or on one that was opened the same way
	// right before.
	isProven bool
}

// Dial opens a connection to a process at an address. It returns the name of the host that it goes
// through, empty for a direct one. If the path is in doubt, or mustAsk is set, a byte of the process has
// arrived on the connection. It fails with Unreachable or NoPath.
func (dialer *Dialer) Dial(ctx context.Context, process, address string, mustAsk bool) (net.Conn, string, error) {
	helpers, paths, now := dialer.options.Helpers(process), dialer.options.Paths, time.Now()
	race := &race{
		dialer: dialer, process: process, address: address, helpers: helpers, began: now, mustAsk: mustAsk || paths.InDoubt(process, now),
		wasDown: len(helpers) > 0 && paths.IsDown(process), outcomes: make(chan outcome, 2), patience: patience,
	}
	if mustAsk {
		race.patience = askPatience
	}
	conn, via, err := race.run(ctx)
	switch {
	case err != nil:
		dialer.options.OnDial(failed)
	case via != "":
		dialer.options.OnDial(tunnelled)
	default:
		dialer.options.OnDial(direct)
	}
	return conn, via, err
}

// race is one dial, which tries both ways if the first one takes long or fails.
type race struct {
	dialer           *Dialer
	process, address string
	helpers          []host.Host
	began            time.Time
	// wasDown: the path was down when the dial began. mustAsk: a connection must be proven by a byte.
	wasDown, mustAsk bool
	patience         time.Duration
	outcomes         chan outcome
	// directBegan and tunnelBegan mark the ways that have been tried.
	directBegan, tunnelBegan bool
	direct, tunnel           *outcome
}

// run tries the preferred way, and the other one if that has not succeeded in time.
func (race *race) run(ctx context.Context) (net.Conn, string, error) {
	// The dials go on for a moment after one of them has succeeded.
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), race.timeout())
	race.start(limited, !race.wasDown)
	timer := time.NewTimer(race.patience)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			go race.abandon(cancel)
			return nil, "", fault.Wrap("dial.dial", NoPath, ctx.Err())
		case <-timer.C:
			race.startOther(limited)
		case ended := <-race.outcomes:
			race.note(ended)
			if ended.err == nil {
				ended = race.preferDirect(ended)
				go race.finish(ended, cancel)
				return ended.conn, ended.via, nil
			}
			if !race.startOther(limited) && race.isOver() {
				cancel()
				return nil, "", race.failure()
			}
		}
	}
}

// timeout returns the time limit of the dial. Of a host without others it is always the same, unless it is
// cut off.
func (race *race) timeout() time.Duration {
	paths := race.dialer.options.Paths
	if (len(race.helpers) > 0 || paths.CutOffFor(race.began) > 0) && paths.ReachesNone(race.began) {
		return min(hopelessTimeout, race.dialer.options.Timeout)
	}
	return race.dialer.options.Timeout
}

// start begins one of the two ways.
func (race *race) start(ctx context.Context, isDirect bool) {
	if isDirect {
		race.directBegan = true
		go func() {
			ended := race.open(ctx, func(ctx context.Context) (net.Conn, error) { return race.dialer.options.Direct(ctx, race.address) })
			ended.isDirect = true
			race.outcomes <- ended
		}()
		return
	}
	race.tunnelBegan = true
	go func() { race.outcomes <- race.openTunnel(ctx) }()
}

// open opens a connection and, if it must, proves it.
func (race *race) open(ctx context.Context, dial func(context.Context) (net.Conn, error)) outcome {
	conn, err := dial(ctx)
	ask := race.dialer.options.Ask
	if err != nil || ask == nil {
		return outcome{conn: conn, err: err, isProven: err == nil}
	}
	if !race.mustAsk {
		return outcome{conn: conn}
	}
	reusable, err := ask(ctx, conn, race.process)
	switch {
	case errors.Is(err, ErrNoQuestion):
		return outcome{conn: conn}
	case err != nil:
		_ = conn.Close()
		return outcome{err: errors.Mark(err, errMute)}
	case !reusable:
		_ = conn.Close()
		conn, err = dial(ctx)
	}
	return outcome{conn: conn, err: err, isProven: true}
}

// startOther begins the way that has not been tried, if there is one, and reports whether it did.
func (race *race) startOther(ctx context.Context) bool {
	switch {
	case !race.directBegan:
		race.start(ctx, true)
	case !race.tunnelBegan && len(race.helpers) > 0:
		race.start(ctx, false)
	default:
		return false
	}
	return true
}

// openTunnel tries one other host after the other.
func (race *race) openTunnel(ctx context.Context) outcome {
	result := outcome{err: errors.New("no other host is left")}
	for _, helper := range race.helpers {
		limited, cancel := context.WithTimeout(ctx, helperTimeout)
		ended := race.open(limited, func(ctx context.Context) (net.Conn, error) {
			return race.dialer.options.Tunnel(ctx, helper, race.process)
		})
		cancel()
		if ended.err == nil {
			ended.via = helper.Name
			return ended
		}
		result.err = ended.err
		if errors.Is(ended.err, errMute) {
			race.dialer.options.OnMuteHelper(helper.Name)
		}
		result.refused = result.refused || race.dialer.options.IsRefused(ended.err)
		result.confirmed = result.confirmed || race.dialer.options.IsUnreachable(ended.err)
		if ctx.Err() != nil {
			break
		}
	}
	return result
}

func (race *race) note(ended outcome) {
	if ended.isDirect {
		race.direct = &ended
		return
	}
	race.tunnel = &ended
}

func (race *race) isOver() bool {
	return race.directBegan == (race.direct != nil) && race.tunnelBegan == (race.tunnel != nil)
}

// preferDirect returns the direct connection if both ways have succeeded.
func (race *race) preferDirect(ended outcome) outcome {
	select {
	case other := <-race.outcomes:
		race.note(other)
		if other.err == nil && other.isDirect {
			_ = ended.conn.Close()
			return other
		}
		if other.err == nil {
			_ = other.conn.Close()
		}
	default:
	}
	return ended
}

// finish waits for the way that was not used, closes its connection and records what the dial shows of the
// path.
func (race *race) finish(used outcome, cancel context.CancelFunc) {
	defer cancel()
	if used.isDirect {
		if used.isProven {
			race.record(true)
		}
		cancel()
		race.drain()
		return
	}
	paths, now := race.dialer.options.Paths, time.Now()
	if used.isProven || !race.mustAsk {
		paths.RecordTunnel(now)
	}
	if used.isProven {
		paths.RecordProven(race.process, now)
	}
	if !race.directBegan {
		return
	}
	if race.direct == nil {
		timer := time.NewTimer(lateDirect)
		defer timer.Stop()
		select {
		case ended := <-race.outcomes:
			race.note(ended)
		case <-timer.C:
			race.record(false)
			cancel()
			race.drain()
			return
		}
	}
	if race.direct.conn != nil {
		_ = race.direct.conn.Close()
	}
	if race.direct.err != nil && !socket.IsLacking(race.direct.err) || race.direct.isProven {
		race.record(race.direct.err == nil)
	}
}

// abandon ends a dial that nobody waits for any more.
func (race *race) abandon(cancel context.CancelFunc) {
	cancel()
	race.drain()
}

// drain closes the connection of a way that has not ended yet.
func (race *race) drain() {
	for !race.isOver() {
		ended := <-race.outcomes
		race.note(ended)
		if ended.conn != nil {
			_ = ended.conn.Close()
		}
	}
}

// record records whether the direct path is up.
func (race *race) record(isUp bool) {
	paths := race.dialer.options.Paths
	if isUp {
		race.dialer.report(paths.RecordDirect(race.process, time.Now()))
		return
	}
	race.dialer.report(paths.RecordDown(race.process, time.Now()))
	// The server may have been silent until another host reached it.
	go race.dialer.Redial(context.Background(), race.process, race.address)
}

// report tells of a change for the host as a whole.
func (dialer *Dialer) report(change reach.Change) {
	if change.CutOff || change.Regained {
		dialer.options.OnChange(change)
	}
}

// failure returns the error of a dial of which both ways have failed.
func (race *race) failure() error {
	paths, now := race.dialer.options.Paths, time.Now()
	if socket.IsLacking(race.direct.err) && (race.tunnel == nil || !race.tunnel.confirmed) {
		return fault.Wrap("dial.dial", NoPath, race.direct.err)
	}
	paths.RecordFailed(race.process, now)
	isMute := errors.Is(race.direct.err, errMute)
	if isMute {
		wasReset := !errors.Is(race.direct.err, os.ErrDeadlineExceeded)
		race.dialer.report(paths.RecordMute(race.process, wasReset, race.began, now))
	}
	switch {
	case race.tunnel != nil && race.tunnel.confirmed:
		return fault.Wrap("dial.dial", Unreachable, race.direct.err)
	case race.wasDown:
		return fault.New("dial.dial", NoPath, "no direct path, and through another host: "+race.tunnel.err.Error())
	case race.tunnel != nil && race.tunnel.refused, paths.IsDown(race.process), (isMute || race.tunnel != nil) && paths.OwnInDoubt(now):
		return fault.Wrap("dial.dial", NoPath, race.direct.err)
	}
	return fault.Wrap("dial.dial", Unreachable, race.direct.err)
}

// Redial tries the direct path to a process once. It is up if a byte of the process arrives.
func (dialer *Dialer) Redial(ctx context.Context, process, address string) {
	ctx, cancel := context.WithTimeout(ctx, dialer.options.Timeout)
	defer cancel()
	began, paths := time.Now(), dialer.options.Paths
	isOpen, err := dialer.askDirect(ctx, process, address)
	now := time.Now()
	switch {
	case err == nil, errors.Is(err, ErrNoQuestion) && paths.CutOffFor(now) == 0:
		dialer.report(paths.RecordDirect(process, now))
	case socket.IsLacking(err):
	case errors.Is(err, ErrNoQuestion):
		// That a host is no longer cut off takes a byte of a server.
	case isOpen:
		paths.RecordUnanswered(process, began)
	default:
		paths.RecordRefuted(process, began)
	}
}

// askDirect opens a direct connection to a process and asks it a question, if there is one. It reports whether the
// connection was open before an error.
func (dialer *Dialer) askDirect(ctx context.Context, process, address string) (isOpen bool, err error) {
	conn, err := dialer.options.Direct(ctx, address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if dialer.options.Ask == nil {
		return true, nil
	}
	_, err = dialer.options.Ask(ctx, conn, process)
	return true, err
}
