// Command primrosegw routes language-model traffic by service level and
// priority.
package main

import (
	"os"

	"primrosegw/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
