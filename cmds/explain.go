package cmds

import (
	"os"

	"primrosegw/core/fault"
	"primrosegw/core/trail"
)

type explainCommand struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" type:"existingfile" placeholder:"FILE" help:"Logs of hosts on the operators' platform."`
}

// Help implements kong's extended help.
func (explainCommand) Help() string {
	return `Example:

  primrosegw explain 9c41d07be2a35f68 host-a.log host-b.log

Prints what became of the request, its lines, and what its host and backend
servers went through at that time. Exit code 1: the logs do not have all of its
lines; what they have is printed.`
}

// Run prints the report on a request.
func (command explainCommand) Run(console console) error {
	var lines []trail.Line
	for _, path := range command.Files {
		found, err := readLog(path)
		if err != nil {
			return usage{inFile{path, err}}
		}
		lines = append(lines, found...)
	}
	report, err := trail.Explain(lines, command.ID)
	if err != nil && !fault.Is(err, trail.Incomplete) {
		return err
	}
	if failed := report.Write(console.out); failed != nil {
		return failed
	}
	return err
}

func readLog(path string) ([]trail.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return trail.Read(file)
}
