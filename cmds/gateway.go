package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"primrosegw/platform"
)

type gatewayCommand struct {
	Settings    string   `placeholder:"FILE" help:"The platform's settings file; default: the one that the platform names in the environment."`
	MetricsPort string   `default:"9464" placeholder:"PORT" help:"Port that serves the metrics; the deploy file names it too."`
	TrustEnds   []string `name:"trust-connection-ends" sep:"none" placeholder:"SERVICE" help:"A service whose responses may have neither a length nor chunks: they count as whole when their connection ends, if the server's process runs on. Cut ones can't be told from whole ones. Repeat the flag for each service."`
	Check       bool     `help:"Check the settings and end."`
}

// Help implements kong's extended help.
func (gatewayCommand) Help() string {
	return `Example:

  primrosegw gateway --settings node.toml --check

SIGTERM makes the host leave: no host names it to callers any more, requests in
flight end whole, then it ends. SIGHUP reads the settings again.`
}

// Run serves until the host has left.
func (command gatewayCommand) Run(ctx context.Context, console console) error {
	path := command.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if err := platform.CheckTrustedServices(command.TrustEnds); err != nil {
		return usage{err}
	}
	if command.Check {
		if _, err := platform.ReadSettings(path); err != nil {
			return usage{inFile{path, err}}
		}
		return nil
	}
	gateway, err := platform.New(path, platform.Options{Output: console.out, MetricsPort: command.MetricsPort, TrustedServices: command.TrustEnds})
	if err != nil {
		return usage{inFile{path, err}}
	}
	signals, stop := gatewaySignals()
	defer stop()
	return gateway.Run(ctx, signals)
}

// gatewaySignals turns SIGTERM and SIGINT into leaving and SIGHUP into reading
// the settings again.
func gatewaySignals() (platform.Signals, func()) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	leave, reload, done := make(chan struct{}), make(chan struct{}, 1), make(chan struct{})
	go func() {
		leaving := false
		for {
			select {
			case <-done:
				return
			case caught := <-received:
				switch {
				case caught == syscall.SIGHUP:
					select {
					case reload <- struct{}{}:
					default:
					}
				case !leaving:
					leaving = true
					close(leave)
				}
			}
		}
	}()
	return platform.Signals{Shutdown: leave, Reload: reload}, func() {
		signal.Stop(received)
		close(done)
	}
}
