package cmds

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/io/config"
	"primrosegw/io/daemon"
	"primrosegw/io/etcd"
	"primrosegw/io/keys"
)

type serveCommand struct {
	Settings  string   `required:"" placeholder:"FILE" help:"The host's settings, in JSON (docs/settings.md)."`
	LogOutput []string `placeholder:"SUBSYSTEM" help:"Subsystems that write debug events, as cell,link (docs/EVENTS.md)."`
}

// Help implements kong's extended help.
func (serveCommand) Help() string {
	return `Example:

  primrosegw serve --settings host.json --log-output=route,link

SIGTERM drains the host: no host lists it any more, requests in flight end whole,
then it leaves. A second SIGTERM ends it at once. SIGHUP reads the keys and the
log level again.`
}

// Run serves until the host has left.
func (command serveCommand) Run(ctx context.Context, console console) error {
	settings, err := readSettings(command.Settings)
	if err != nil {
		return err
	}
	material, err := keys.New(settings.TLS)
	if err != nil {
		return usage{err}
	}
	subsystems := append(settings.Log.Subsystems, command.LogOutput...)
	level, _ := logrus.ParseLevel(settings.Log.Level)
	logger := event.New(console.err, settings.Host.Name, level, subsystems)
	service, err := etcd.New(etcd.Options{
		Endpoints:      settings.KeyValue.Endpoints,
		Timeout:        time.Duration(settings.KeyValue.TimeoutMs) * time.Millisecond,
		CallsPerSecond: settings.KeyValue.CallsPerSecond,
	})
	if err != nil {
		return usage{err}
	}
	host, err := daemon.New(daemon.Options{
		Settings: settings, Keys: material, Logger: logger, Store: service,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return err
	}
	signals, stop := watchSignals(func() { reload(command.Settings, material, logger) })
	defer stop()
	return host.Run(ctx, signals)
}

// watchSignals turns SIGTERM and SIGINT into draining and then aborting, and
// calls reload at each SIGHUP.
func watchSignals(reload func()) (daemon.Signals, func()) {
	received := make(chan os.Signal, 4)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	drain, abort := make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	go func() {
		next := []chan struct{}{drain, abort}
		for {
			select {
			case <-done:
				return
			case caught := <-received:
				if caught == syscall.SIGHUP {
					reload()
				} else if len(next) > 0 {
					close(next[0])
					next = next[1:]
				}
			}
		}
	}()
	return daemon.Signals{Drain: drain, Abort: abort}, func() {
		signal.Stop(received)
		close(done)
	}
}

// reload reads the keys and the log level again. What cannot be read stays as
// it is.
func reload(path string, material *keys.Keys, logger *event.Logger) {
	settings, err := readSettings(path)
	if err == nil {
		err = material.Reload()
	}
	if err != nil {
		logger.Log(event.ReloadFailed(), logrus.Fields{"error": err.Error()})
		return
	}
	level, _ := logrus.ParseLevel(settings.Log.Level)
	logger.SetLevel(level)
	logger.Log(event.HostReloaded(), logrus.Fields{"level": settings.Log.Level})
}

// readSettings reads and checks a settings file.
func readSettings(path string) (config.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Settings{}, usage{err}
	}
	settings, err := config.Parse(data)
	if err != nil {
		return config.Settings{}, usage{inFile{path, err}}
	}
	return settings, nil
}

// inFile names the file that an error is about.
type inFile struct {
	path string
	err  error
}

func (inFile inFile) Error() string { return inFile.path + ": " + inFile.err.Error() }

func (inFile inFile) Unwrap() error { return inFile.err }
