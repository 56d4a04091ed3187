package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosegw/core/heads"
	"primrosegw/core/spec"
	"primrosegw/io/admin"
)

const (
	// confirmPoll is how often --wait asks which hosts have confirmed.
	confirmPoll = 200 * time.Millisecond
	// keyVariable holds the operator's key, so that it shows in no process list.
	keyVariable = "PRIMROSEGW_OPERATOR_KEY"
)

// operation is what all commands of operators share.
type operation struct {
	Host    string `default:"http://127.0.0.1:9001" placeholder:"URL" help:"The operators' address of any host."`
	KeyFile string `placeholder:"FILE" help:"A file that holds the operator's key. Default: the variable PRIMROSEGW_OPERATOR_KEY."`
	// Authority is for hosts whose certificates the system does not know.
	Authority string `placeholder:"FILE" help:"The authority that signed the hosts' certificates toward callers, in PEM form. Default: the system's authorities."`
}

func (operation operation) client() (*admin.Client, error) {
	key := os.Getenv(keyVariable)
	if operation.KeyFile != "" {
		data, err := os.ReadFile(operation.KeyFile)
		if err != nil {
			return nil, usage{err}
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, usage{errors.New("no operator key: give --key-file or set " + keyVariable)}
	}
	client := admin.NewClient(operation.Host, key)
	if operation.Authority == "" {
		return client, nil
	}
	authority, err := os.ReadFile(operation.Authority)
	if err != nil {
		return nil, usage{err}
	}
	if !client.Trust(authority) {
		return nil, usage{errors.Newf("%s holds no certificate", operation.Authority)}
	}
	return client, nil
}

// waiting makes a command wait until all live hosts have confirmed.
type waiting struct {
	Wait    bool          `help:"Wait until each live host has confirmed the generation."`
	Timeout time.Duration `default:"30s" help:"How long --wait waits."`
}

func (waiting waiting) confirm(ctx context.Context, console console, client *admin.Client, generation uint64) error {
	if !waiting.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, waiting.Timeout)
	defer cancel()
	missing := "no host has answered"
	for {
		confirmed, err := client.Confirmed(ctx, generation)
		var refused *admin.Problem
		switch {
		case errors.As(err, &refused):
			// Asking again changes nothing, as when a recall leaves no operator.
			return errors.Wrapf(err, "generation %d is made, but the host does not say who has confirmed it", generation)
		case err == nil && len(confirmed.Waiting) == 0:
			printConfirmed(console, confirmed)
			return nil
		case err == nil:
			missing = strings.Join(confirmed.Waiting, ", ")
		}
		select {
		case <-ctx.Done():
			return errors.Newf("generation %d is made, but not confirmed by: %s", generation, missing)
		case <-time.After(confirmPoll):
		}
	}
}

func printConfirmed(console console, confirmed admin.Confirmed) {
	fmt.Fprintf(console.out, "confirmed by %d hosts: %s\n", len(confirmed.Confirmed), strings.Join(confirmed.Confirmed, ", "))
	if len(confirmed.Unreached) > 0 {
		fmt.Fprintf(console.out, "not reached, taken for dead: %s\n", strings.Join(confirmed.Unreached, ", "))
	}
}

type checkCommand struct {
	File string `arg:"" placeholder:"FILE" help:"A document, or host settings with --settings."`
	Host bool   `name:"settings" help:"Check host settings instead of a document."`
}

// Help implements kong's extended help.
func (checkCommand) Help() string {
	return `Example:

  primrosegw check docs/examples/vendramin.json
  primrosegw check --settings host.json

Every fault is shown at once with its line and path. Nothing is sent anywhere.`
}

// Run checks a file and prints its faults.
func (command checkCommand) Run(console console) error {
	if command.Host {
		if _, err := readSettings(command.File); err != nil {
			return err
		}
		fmt.Fprintf(console.out, "%s: the settings are valid\n", command.File)
		return nil
	}
	data, err := os.ReadFile(command.File)
	if err != nil {
		return usage{err}
	}
	document, problems := spec.Parse(data)
	if len(problems) > 0 {
		return usage{faulty{command.File, problems}}
	}
	fmt.Fprintf(console.out, "%s: the document is valid\n  environment %s, lot %s, digest %s\n",
		command.File, document.Environment, document.Lot, heads.Digest(data))
	fmt.Fprintf(console.out, "  %d classes, %d workspaces, %d pools, %d backend servers, %d services\n",
		len(document.Classes), len(document.Workspaces), len(document.Pools), len(document.BackendServers), len(document.Services))
	return nil
}

// faulty is a document with faults.
type faulty struct {
	file     string
	problems []spec.Problem
}

func (faulty faulty) Error() string {
	lines := make([]string, 0, len(faulty.problems)+1)
	lines = append(lines, fmt.Sprintf("%s has %d faults", faulty.file, len(faulty.problems)))
	for _, problem := range faulty.problems {
		lines = append(lines, "  "+faulty.file+":"+describeProblem(problem))
	}
	return strings.Join(lines, "\n")
}

func describeProblem(problem spec.Problem) string {
	text := fmt.Sprintf("%d: %s: %s", problem.Line, problem.Path, problem.Text)
	if problem.Found != "" {
		text += "; found " + problem.Found
	}
	if problem.Allowed != "" {
		text += ", allowed: " + problem.Allowed
	}
	return text
}

type trialCommand struct {
	operation
	File   string `arg:"" placeholder:"FILE" help:"The document."`
	Reason string `help:"Why, for the history."`
}

// Help implements kong's extended help.
func (trialCommand) Help() string {
	return `Example:

  primrosegw trial environment.json --reason "two more engines in bento"

The document is checked, stored, set as the trial head, and judged: against
conditions beyond its form, and by a replay of the latest routing decisions.`
}

// Run puts a document in trial and prints the verdict.
func (command trialCommand) Run(ctx context.Context, console console) error {
	client, err := command.client()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(command.File)
	if err != nil {
		return usage{err}
	}
	changed, err := client.Trial(ctx, data, command.Reason)
	if err != nil {
		return explain(command.File, err)
	}
	printSettlement(console, changed.Settlement)
	printVerdict(console, *changed.Verdict)
	if !changed.Verdict.Passes() {
		return errors.New("the verdict does not allow a promotion")
	}
	fmt.Fprintf(console.out, "promote it with: primrosegw promote %s\n", changed.Verdict.Digest)
	return nil
}

func printVerdict(console console, verdict heads.Verdict) {
	fmt.Fprintf(console.out, "document %s\n", verdict.Digest)
	for _, check := range verdict.Checks {
		mark := "passed"
		if !check.Passed {
			mark = "FAILED"
		}
		fmt.Fprintf(console.out, "  %s  %s", mark, check.Name)
		if check.Detail != "" {
			fmt.Fprintf(console.out, ": %s", check.Detail)
		}
		fmt.Fprintln(console.out)
	}
	fmt.Fprintf(console.out, "  replay of %d decisions: %d changed, %d lost\n",
		verdict.Replay.Decisions, verdict.Replay.Changed, verdict.Replay.Lost)
}

// explain adds the faults that a host found in a document.
func explain(file string, err error) error {
	var problem *admin.Problem
	if errors.As(err, &problem) && len(problem.Faults) > 0 {
		return usage{faulty{file, problem.Faults}}
	}
	return err
}

func printSettlement(console console, settlement heads.Settlement) {
	if settlement != heads.None {
		fmt.Fprintf(console.out, "the reply of the key-value service was lost; read back: %s\n", settlement)
	}
}

type promoteCommand struct {
	operation
	waiting
	Digest string `arg:"" help:"The digest of the document in trial."`
	Reason string `help:"Why, for the history."`
}

// Help implements kong's extended help.
func (promoteCommand) Help() string {
	return `Example:

  primrosegw promote 3f9a… --reason "more engines" --wait

Of two operators who promote or recall at the same moment one wins; the other
is shown who, when and what.`
}

// Run promotes the document in trial.
func (command promoteCommand) Run(ctx context.Context, console console) error {
	client, err := command.client()
	if err != nil {
		return err
	}
	changed, err := client.Promote(ctx, command.Digest, command.Reason)
	return command.finish(ctx, console, client, changed, err)
}

// finish prints a change that was made and waits for the hosts.
func (waiting waiting) finish(ctx context.Context, console console, client *admin.Client, changed admin.Changed, err error) error {
	if err != nil {
		return err
	}
	printSettlement(console, changed.Settlement)
	fmt.Fprintf(console.out, "generation %d: %s\n", changed.Heads.Generation, admin.DescribeChange(changed.Heads.LastChange()))
	return waiting.confirm(ctx, console, client, changed.Heads.Generation)
}

type recallCommand struct {
	operation
	waiting
	Lot    string `required:"" help:"The lot of documents, model versions and adapters."`
	Reason string `help:"Why, for the history."`
}

// Help implements kong's extended help.
func (recallCommand) Help() string {
	return `Example:

  primrosegw recall --lot weights-2026-11 --reason "wrong answers" --wait

The last accepted document outside the lot comes into force as a new
generation. A recalled lot can't be promoted again. With --wait the command
ends when each live host has confirmed, and names those that have not.`
}

// Run recalls a lot.
func (command recallCommand) Run(ctx context.Context, console console) error {
	client, err := command.client()
	if err != nil {
		return err
	}
	changed, err := client.Recall(ctx, command.Lot, command.Reason)
	return command.finish(ctx, console, client, changed, err)
}

type statusCommand struct {
	operation
	JSON    bool `help:"Print JSON."`
	History int  `default:"5" help:"The number of changes to show."`
}

// Help implements kong's extended help.
func (statusCommand) Help() string { return "Example:\n\n  primrosegw status --history 20" }

// Run prints the state of the environment.
func (command statusCommand) Run(ctx context.Context, console console) error {
	client, err := command.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if command.JSON {
		return json.NewEncoder(console.out).Encode(status)
	}
	command.print(console, status)
	return nil
}

func (command statusCommand) print(console console, status admin.Status) {
	fmt.Fprintf(console.out, "environment %s\n", status.Environment)
	if status.Heads == nil {
		fmt.Fprintf(console.out, "the key-value service does not answer: %s\n", status.HeadsError)
	} else {
		command.printHeads(console, *status.Heads)
	}
	fmt.Fprintf(console.out, "generation %d is in force on the host that answers\n", status.Generation)
	fmt.Fprintln(console.out, "hosts")
	for _, known := range status.Hosts {
		confirmed := "not confirmed"
		if known.Confirmed {
			confirmed = "confirmed"
		}
		fmt.Fprintf(console.out, "  %-16s %-16s %-8s %s\n", known.Name, known.FailureDomain, known.State, confirmed)
	}
}

func (command statusCommand) printHeads(console console, current heads.Heads) {
	fmt.Fprintf(console.out, "generation %d, document %s, lot %s\n", current.Generation, current.Production.Digest, current.Production.Lot)
	if current.Trial != nil {
		fmt.Fprintf(console.out, "in trial: document %s, lot %s\n", current.Trial.Digest, current.Trial.Lot)
	}
	for _, withdrawn := range current.RecalledLots {
		fmt.Fprintf(console.out, "recalled: lot %s\n", withdrawn.Lot)
	}
	fmt.Fprintln(console.out, "history")
	first := max(0, len(current.History)-command.History)
	for _, change := range current.History[first:] {
		fmt.Fprintf(console.out, "  generation %d: %s\n", change.Generation, admin.DescribeChange(change))
	}
}
