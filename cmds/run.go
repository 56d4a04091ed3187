// Package cmds is the command tree: it parses, checks and hands over.
package cmds

import "io"

// The exit codes of all commands.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run runs one command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return ExitUsage
}
