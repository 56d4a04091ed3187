// Command parts3 plays the cases of the third review: it is the platform, the engines and the consumers
// around hosts of the system that it starts as processes.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// scenario plays a case and reports what broke the rule; empty: nothing did.
type scenario func(world *world) (violations []string, err error)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: parts3 CASE ROOT RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) int {
	scenarios := map[string]scenario{"drill-revoke": drillRevoke, "drill-loading": drillLoading, "fraction-bounds": fractionBounds, "cut-stream": oneCutStream, "shorter-timeout": shorterTimeout}
	chosen, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return failed
	}
	world, err := newWorld(root, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer world.end()
	time.AfterFunc(115*time.Second, func() { world.end(); os.Exit(failed) })
	violations, err := chosen(world)
	if err != nil {
		fmt.Println("the case could not run:", err)
		world.record.note("the case could not run: %v", err)
		return failed
	}
	for _, violation := range violations {
		world.record.note("VIOLATION %s", violation)
	}
	if len(violations) > 0 {
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(violations), violations[0])
		return broken
	}
	fmt.Println("the rule held")
	return held
}
