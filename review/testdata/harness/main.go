// Command stand runs the cases of the review: stand-ins of the platform's store, of engines, of the
// operator and of consumers in one process, and the project's own program as processes of its own.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

// cases holds the cases by name.
var cases = map[string]func() int{}

var (
	recordMutex sync.Mutex
	recordFile  *os.File
	startedAt   = time.Now()
	// trouble is false if the case is to run without its disruption.
	trouble = os.Getenv("TROUBLE") != "0"
)

// record writes a line to the record of the run.
func record(format string, values ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(startedAt).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = recordFile.WriteString(line)
}

// finish ends all processes and exits.
func finish(result int) {
	endHosts()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(tempDir)
	} else {
		fmt.Println(tempDir)
	}
	record("exit status %d", result)
	os.Exit(result)
}

// fatalIf ends a run that can't go on.
func fatalIf(err error) {
	if err != nil {
		record("the case could not run: %v", err)
		finish(notRun)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, in the repository's root")
		os.Exit(notRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	tempDir, err = os.MkdirTemp("", "review-")
	fatalIf(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		record("stopped by a signal")
		finish(notRun)
	}()
	time.AfterFunc(runLimit, func() {
		record("the case took too long")
		finish(notRun)
	})
	record("case %s, with the disruption: %v", os.Args[1], trouble)
	finish(cases[os.Args[1]]())
}
