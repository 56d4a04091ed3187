package cmds

import (
	"encoding/json"
	"os"

	"primrosegw/io/study"
)

type experimentCommand struct {
	File  string  `arg:"" type:"existingfile" help:"The experiment."`
	Seeds int     `help:"Number of seeds, instead of the file's." placeholder:"N"`
	Scale float64 `help:"Multiply hosts, servers and requests." placeholder:"X"`
	Plot  string  `type:"path" help:"Write the worth by second as SVG to this file." placeholder:"FILE"`
	JSON  bool    `help:"Print JSON."`
}

// Help implements kong's extended help.
func (experimentCommand) Help() string {
	return `Example:

  primrosegw experiment docs/experiments/sketch_crest.json --plot crest.svg

Plays a day of model engines, plain services, callers and hosts in simulated
time, with the code that decides in hosts. Compares the policies of the file on
the same seeds; "gain" is the difference to the first one. Counts the responses
that are whole, that are cut for their callers though written to the end, and that
are short, which means complete for their callers before their end, by framing and
by phase: calm, stop and reload of the host, after a crash. Exit code 2: the file
has a fault, and the error names the field.`
}

// Run plays an experiment.
func (command experimentCommand) Run(console console) error {
	plan, err := study.Read(command.File)
	if err != nil {
		return usage{inFile{command.File, err}}
	}
	if command.Seeds > 0 {
		plan.Seeds = command.Seeds
	}
	if command.Scale > 0 {
		plan.Scale = command.Scale
	}
	report, err := study.Run(plan)
	if err != nil {
		return err
	}
	if command.Plot != "" {
		if err := writePlot(report, command.Plot); err != nil {
			return err
		}
	}
	if command.JSON {
		encoder := json.NewEncoder(console.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.Write(console.out)
}

func writePlot(report study.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.Plot(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
