package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleConnections keeps connections for the calls of a swing.
	idleConnections = 10_000
	// DefaultInFlight bounds the memory of a generator in front of a system
	// that has stopped answering.
	DefaultInFlight = 20_000
)

// Options configures a generator.
type Options struct {
	Profile Profile
	// Targets are base URLs, such as "http://10.0.0.1:8080", that are asked for
	// the entry hosts in turn.
	Targets []string
	// Client sends the calls; nil takes one that suits many connections.
	Client *http.Client
	// Progress gets a line each second; nil: none.
	Progress io.Writer
	// InFlight bounds the open calls; calls past it are counted as dropped and
	// make the measurement void. 0 takes DefaultInFlight.
	InFlight int
	// Expected returns the right answer to a call's body, if it is known. A
	// complete answer that differs is counted as wrong. nil: not checked.
	Expected func(body []byte) (string, bool)
}

// Generator sends the calls of a profile.
type Generator struct {
	options Options
	caller  *caller
	tally   *tally
}

// New returns a generator.
func New(options Options) *Generator {
	if options.Client == nil {
		options.Client = newClient()
	}
	if options.InFlight <= 0 {
		options.InFlight = DefaultInFlight
	}
	return &Generator{
		options: options,
		caller: &caller{
			profile: options.Profile, client: options.Client, expected: options.Expected,
			directory: newDirectory(options.Client, options.Targets, options.Profile.Seed),
		},
		tally: newTally(options.Profile),
	}
}

// newClient returns a client that keeps many connections open and follows no
// redirects.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: askTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout: time.Minute, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run sends all calls, waits until each has ended or expired, and returns the
// measurements. When ctx ends it stops early and returns what was measured. Its
// error is of kind Unreachable.
func (generator *Generator) Run(ctx context.Context) (Result, error) {
	if err := generator.caller.directory.refresh(ctx); err != nil {
		return Result{}, err
	}
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	generator.caller.began = time.Now()
	var others sync.WaitGroup
	others.Go(func() { generator.keepDirectory(background) })
	others.Go(func() { generator.report(background) })
	var calls sync.WaitGroup
	generator.sendAll(ctx, &calls)
	calls.Wait()
	elapsed := time.Since(generator.caller.began)
	cancel()
	others.Wait()
	return generator.tally.result(elapsed), nil
}

// sendAll starts each call at its time.
func (generator *Generator) sendAll(ctx context.Context, calls *sync.WaitGroup) {
	arrivals := NewArrivals(generator.options.Profile)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		call, more := arrivals.Next()
		if !more {
			return
		}
		timer.Reset(time.Until(generator.caller.began.Add(call.At)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if generator.tally.start(generator.options.InFlight, call) {
			calls.Go(func() { generator.tally.end(generator.caller.send(ctx, call)) })
		}
	}
}

// keepDirectory asks for the entry hosts whenever their time to live is over.
func (generator *Generator) keepDirectory(ctx context.Context) {
	ticker := time.NewTicker(shortestTTL / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Known hosts stay in use when no target answers.
			_ = generator.caller.directory.refresh(ctx)
		}
	}
}

// report writes a line each second.
func (generator *Generator) report(ctx context.Context) {
	if generator.options.Progress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			elapsed := time.Since(generator.caller.began).Round(time.Second)
			whole := time.Duration(generator.options.Profile.DurationSeconds * float64(time.Second))
			_, _ = fmt.Fprintf(generator.options.Progress, "%v of %v: %s\n", elapsed, whole, generator.tally.line())
		}
	}
}
