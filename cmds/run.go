// Package cmds is the command tree: it parses, checks and hands over.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

// The exit codes of all commands.
const (
	// ExitDone: the command did what it was asked.
	ExitDone = 0
	// ExitFailed: the command failed.
	ExitFailed = 1
	// ExitUsage: the input or the command line is bad.
	ExitUsage = 2
)

const description = `Routes language-model traffic by service level and priority.

Exit codes: 0 done, 1 failed, 2 bad input or usage.`

// tree is the command tree.
type tree struct {
	Serve      serveCommand      `cmd:"" help:"Run an entry host."`
	Gateway    gatewayCommand    `cmd:"" help:"Run an entry host on the operators' platform."`
	Explain    explainCommand    `cmd:"" help:"Tell from logs what became of a request."`
	Experiment experimentCommand `cmd:"" help:"Compare ways to decide on emulated days."`
	Check      checkCommand      `cmd:"" help:"Check a document or host settings."`
	Trial      trialCommand      `cmd:"" help:"Prove a document in trial."`
	Promote    promoteCommand    `cmd:"" help:"Put a proved document in force."`
	Recall     recallCommand     `cmd:"" help:"Take a lot out of force everywhere."`
	Status     statusCommand     `cmd:"" help:"Show the document in force and the hosts."`
	Load       loadCommand       `cmd:"" help:"Generate load and measure the answers."`
	Demo       demoCommand       `cmd:"" help:"Run three hosts and all stand-ins in one process."`
	Keys       keysCommand       `cmd:"" help:"Make a development authority, host certificates and bearer keys."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in of an outside system."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// usage marks an error as one of the input or the command line.
type usage struct{ error }

func (usage usage) Unwrap() error { return usage.error }

// console is where a command writes.
type console struct {
	out io.Writer
	err io.Writer
}

// Run runs one command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return RunContext(context.Background(), args, stdout, stderr)
}

// RunContext is Run with a context that ends the command.
func RunContext(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	exited, code := false, ExitDone
	parser, err := newParser(stdout, stderr, func(status int) { exited, code = true, status })
	if err != nil {
		fmt.Fprintln(stderr, "primrosegw:", err)
		return ExitFailed
	}
	parsed, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrosegw:", err)
		fmt.Fprintln(stderr, "Run primrosegw --help or primrosegw COMMAND --help.")
		return ExitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	err = parsed.Run(console{out: stdout, err: stderr})
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, "primrosegw:", err)
	var bad usage
	if errors.As(err, &bad) {
		return ExitUsage
	}
	return ExitFailed
}

func newParser(stdout, stderr io.Writer, exit func(int)) (*kong.Kong, error) {
	return kong.New(&tree{},
		kong.Name("primrosegw"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, NoExpandSubcommands: false}),
	)
}
