package cmds

import (
	"fmt"
	"runtime/debug"
)

// version is the version of the program.
const version = "0.1.0"

type versionCommand struct{}

// Help implements kong's extended help.
func (versionCommand) Help() string { return "Example:\n\n  primrosegw version" }

// Run prints the version, the Go release and the commit if the build has one.
func (versionCommand) Run(console console) error {
	release, commit := "unknown", "unknown"
	if build, ok := debug.ReadBuildInfo(); ok {
		release = build.GoVersion
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(console.out, "primrosegw %s (%s, commit %s)\n", version, release, commit)
	return err
}
