// Command lab2 plays the cases of the second review: it starts gateways with the command of the deploy file,
// with stand-ins of the platform's store, of backend servers and of consumers on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// scenario plays a case. It reports whether the rule held. Trouble is false for the play without the disruption.
type scenario func(lab *lab, trouble bool) (held bool, err error)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays a case, or serves as an engine.
func run(arguments []string) int {
	if len(arguments) < 2 {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER | lab2 engine OPTIONS")
		return exitInvalid
	}
	if arguments[0] == "engine" {
		fmt.Fprintln(os.Stderr, runEngine(arguments[1]))
		return exitInvalid
	}
	play, found := map[string]scenario{"cutanswer": playCutAnswer, "laststep": playLastStep, "brittle": playBrittle, "onecut": playOneCut}[arguments[0]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", arguments[0])
		return exitInvalid
	}
	lab, err := newLab(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	held, err := play(lab, os.Getenv("TROUBLE") != "0")
	verdict, code := "the rule held", exitHeld
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), exitInvalid
	case !held:
		verdict, code = "the rule was broken", exitBroken
	}
	lab.note("%s", verdict)
	fmt.Println(verdict)
	lab.close()
	return code
}
