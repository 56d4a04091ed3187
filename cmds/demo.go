package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/io/demo"
	"primrosegw/standin/engine"
)

const (
	demoHosts = 3
	demoSlots = 8
	// demoReport is how often the live counts are printed.
	demoReport  = time.Second
	demoDrainMs = 500
)

type demoCommand struct {
	Duration time.Duration `help:"Stop after this time; default: at the first signal."`
	JSON     bool          `help:"Print one JSON object as the last line."`
	Rate     float64       `default:"30" help:"Requests a second."`
	Seed     uint64        `default:"1" help:"The seed of the traffic."`
	Log      bool          `help:"Write the hosts' log lines to the standard error output."`
}

// Help implements kong's extended help.
func (demoCommand) Help() string {
	return `Example:

  primrosegw demo
  primrosegw demo --duration 5s --json

Exit code 1: an answer was wrong, lost or doubled.`
}

// Run starts the environment and sends traffic until it is told to stop.
func (command demoCommand) Run(ctx context.Context, console console) error {
	if command.Rate <= 0 {
		return usage{errors.Newf("--rate: found %g, allowed: above 0", command.Rate)}
	}
	options := demo.Options{
		Hosts: demoHosts, FailureDomains: []string{"caxias", "bento"},
		Engines: map[string]int{demo.PoolSketch: 4, demo.PoolLedger: 2},
		Slots:   demoSlots, DrainMs: demoDrainMs, Seed: command.Seed, Engine: engine.Options{LoadLag: time.Second},
	}
	if command.Log {
		options.Log, options.Level = console.err, logrus.InfoLevel
	}
	world, err := demo.New(ctx, options)
	if err != nil {
		return err
	}
	defer world.Close()
	if !command.JSON {
		command.greet(console, world)
	}
	tally := command.traffic(ctx, console, world)
	if command.JSON {
		if err := json.NewEncoder(console.out).Encode(tally); err != nil {
			return err
		}
	}
	if !tally.Sound() {
		return errors.Newf("%d answers were wrong, %d lost, %d doubled", tally.Wrong, tally.Lost, tally.Duplicated)
	}
	return nil
}

func (command demoCommand) greet(console console, world *demo.World) {
	fmt.Fprintf(console.out, "%d hosts and %d engines are ready. Try:\n\n", len(world.Nodes), len(world.Models))
	fmt.Fprintf(console.out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", world.Nodes[0].URL(), demo.CallerKey+demo.WorkspaceSchools)
	fmt.Fprintf(console.out, "  -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n", demo.ModelSketch)
	fmt.Fprintf(console.out, "PRIMROSEGW_OPERATOR_KEY=%s primrosegw status --host %s\n\n", demo.OperatorKey, world.Nodes[0].AdminURL())
}

// traffic sends requests for the given time, or until a signal.
func (command demoCommand) traffic(ctx context.Context, console console, world *demo.World) demo.Tally {
	signals, stop := watchSignals(func() {})
	defer stop()
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	if command.Duration > 0 {
		sending, cancel = context.WithTimeout(sending, command.Duration)
		defer cancel()
	}
	traffic := demo.NewTraffic(world, command.Rate)
	finished := make(chan demo.Tally, 1)
	go func() { finished <- traffic.Run(sending) }()
	ticker := time.NewTicker(demoReport)
	defer ticker.Stop()
	for {
		select {
		case tally := <-finished:
			return tally
		case <-signals.Drain:
			cancel()
			return <-finished
		case <-ticker.C:
			if !command.JSON {
				printTally(console, traffic.Tally())
			}
		}
	}
}

func printTally(console console, tally demo.Tally) {
	fmt.Fprintf(console.out, "%5d requests, %d complete, %d not run, %d wrong, %d lost |", tally.Requests, tally.Complete, tally.NotRun, tally.Wrong, tally.Lost)
	for _, name := range slices.Sorted(maps.Keys(tally.ByClass)) {
		class := tally.ByClass[name]
		fmt.Fprintf(console.out, " %s %d/%d %.0f ms", name, class.Complete, class.Requests, class.FirstTokenMs)
	}
	fmt.Fprintln(console.out)
}
