package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"primrosegw/standin/engine"
	"primrosegw/standin/framing"
	"primrosegw/standin/hosts"
	"primrosegw/standin/kv"
	"primrosegw/standin/plain"
	"primrosegw/standin/weights"
)

type standinCommand struct {
	Engine  standinEngine  `cmd:"" help:"A model engine."`
	KV      standinKV      `cmd:"" name:"kv" help:"The platform's key-value service."`
	Hosts   standinHosts   `cmd:"" help:"The platform's host list."`
	Weights standinWeights `cmd:"" help:"The rate-limited weight store."`
	Plain   standinPlain   `cmd:"" help:"A plain service."`
}

// Help implements kong's extended help.
func (standinCommand) Help() string {
	return `Example:

  primrosegw standin engine --listen 127.0.0.1:8100 --model sketch --slots 8
  primrosegw standin kv --listen 127.0.0.1:2379`
}

type listening struct {
	Listen string `default:"127.0.0.1:0" help:"The address to listen on. Port 0 is chosen by the system."`
}

// serve prints the address and serves until the context ends or a signal comes.
func (listening listening) serve(ctx context.Context, console console, name string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listening.Listen)
	if err != nil {
		return usage{err}
	}
	fmt.Fprintf(console.out, "%s listening on http://%s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	signals, stop := watchSignals(func() {})
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-signals.Drain:
	case <-ctx.Done():
	}
	return server.Close()
}

// framed says how a stand-in frames its answers.
type framed struct {
	Framing framing.Shares `default:"length=1,chunks=1,connection=1" help:"The relative shares of answers with a length, with chunks and with neither, which end with their connection."`
	Seed    uint64         `default:"0" help:"The seed of what is random."`
}

type standinEngine struct {
	listening
	Name      string        `default:"engine" help:"The engine's name."`
	Model     string        `default:"sketch" help:"The model it serves."`
	Version   string        `default:"v1" help:"The model's version."`
	Slots     int           `default:"8" help:"The calls it batches."`
	LoadLag   time.Duration `default:"0s" help:"The age of its load reports."`
	Fence     bool          `help:"Refuse orders with an old fencing number."`
	Poison    string        `help:"A marker in a prompt that crashes the engine."`
	RestartIn time.Duration `default:"2s" help:"The time from a crash to its restart."`
	Step      time.Duration `default:"18ms" help:"The time of one step, which gives each call a token."`
	framed
}

// Help implements kong's extended help.
func (standinEngine) Help() string {
	return "Example:\n\n  primrosegw standin engine --listen 127.0.0.1:8100 --model sketch --slots 8 --poison CRASH"
}

// Run serves the stand-in.
func (command standinEngine) Run(ctx context.Context, console console) error {
	model := engine.New(engine.Options{
		Name: command.Name, Model: command.Model, Version: command.Version, Slots: command.Slots,
		LoadLag: command.LoadLag, ChecksFence: command.Fence, Poison: command.Poison,
		RestartAfter: command.RestartIn, Payloads: true, StepBase: command.Step,
		Framing: command.Framing, Seed: command.Seed,
	})
	return command.serve(ctx, console, "engine "+command.Name, model.Handler())
}

type standinKV struct{ listening }

// Help implements kong's extended help.
func (standinKV) Help() string {
	return "Example:\n\n  primrosegw standin kv --listen 127.0.0.1:2379"
}

// Run serves the stand-in.
func (command standinKV) Run(ctx context.Context, console console) error {
	return command.serve(ctx, console, "key-value service", kv.New(kv.Options{}).Handler())
}

type standinHosts struct {
	listening
	Lag time.Duration `default:"1s" help:"The time until a change shows."`
}

// Help implements kong's extended help.
func (standinHosts) Help() string {
	return "Example:\n\n  primrosegw standin hosts --listen 127.0.0.1:8200 --lag 3s"
}

// Run serves the stand-in.
func (command standinHosts) Run(ctx context.Context, console console) error {
	return command.serve(ctx, console, "host list", hosts.New(hosts.Options{Lag: command.Lag}).Handler())
}

type standinWeights struct {
	listening
	PerSecond float64 `default:"1" help:"The loads a second that it serves."`
}

// Help implements kong's extended help.
func (standinWeights) Help() string {
	return "Example:\n\n  primrosegw standin weights --listen 127.0.0.1:8300 --per-second 2"
}

// Run serves the stand-in.
func (command standinWeights) Run(ctx context.Context, console console) error {
	store := weights.New(weights.Options{PerSecond: command.PerSecond})
	return command.serve(ctx, console, "weight store", store.Handler())
}

type standinPlain struct {
	listening
	framed
}

// Help implements kong's extended help.
func (standinPlain) Help() string {
	return "Example:\n\n  primrosegw standin plain --listen 127.0.0.1:8400"
}

// Run serves the stand-in.
func (command standinPlain) Run(ctx context.Context, console console) error {
	return command.serve(ctx, console, "plain service", plain.New(plain.Options{Framing: command.Framing, Seed: command.Seed}).Handler())
}
