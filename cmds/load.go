package cmds

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"primrosegw/io/load"
	"primrosegw/standin/engine"
)

type loadCommand struct {
	Target  []string `required:"" placeholder:"URL" help:"Callers' address of any host; repeat it for several."`
	Profile string   `required:"" placeholder:"FILE" help:"The load, in JSON (docs/load.md)."`
	JSON    string   `placeholder:"FILE" help:"Write the result as JSON; default: the standard output."`
	Report  string   `placeholder:"FILE" help:"Write a report with plots as HTML."`
	Verify  bool     `help:"Compare each answer with the one that stand-in engines give."`
	Quiet   bool     `help:"Print no progress line."`
}

// Help implements kong's extended help.
func (loadCommand) Help() string {
	return `Example:

  primrosegw load --target http://127.0.0.1:8001 --profile docs/examples/morning.json --report morning.html

Arrivals are open-loop: calls are sent at their time whether or not earlier ones
have been answered. The seed in the profile makes them repeatable.`
}

// Run generates the load and writes the result.
func (command loadCommand) Run(ctx context.Context, console console) error {
	data, err := os.ReadFile(command.Profile)
	if err != nil {
		return usage{err}
	}
	profile, err := load.Parse(data)
	if err != nil {
		return usage{inFile{command.Profile, err}}
	}
	options := load.Options{Profile: profile, Targets: command.Target}
	if !command.Quiet {
		options.Progress = console.err
	}
	if command.Verify {
		options.Expected = func(body []byte) (string, bool) {
			text, _, err := engine.Answer(body)
			return text, err == nil
		}
	}
	result, err := load.New(options).Run(ctx)
	if err != nil {
		return err
	}
	if err := command.write(console, result); err != nil {
		return err
	}
	if command.Verify && result.All.Wrong > 0 {
		return errors.Newf("%d answers were wrong", result.All.Wrong)
	}
	return nil
}

func (command loadCommand) write(console console, result load.Result) error {
	if command.Report != "" {
		err := toFile(command.Report, func(out io.Writer) error { return load.WriteHTML(out, result) })
		if err != nil {
			return err
		}
	}
	if command.JSON == "" {
		return load.WriteJSON(console.out, result)
	}
	return toFile(command.JSON, func(out io.Writer) error { return load.WriteJSON(out, result) })
}

// toFile writes a file and reports errors of closing it too.
func toFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
