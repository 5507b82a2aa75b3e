// Package review plays the scripts of the second review: it starts the system's own
// processes before stand-ins on loopback, and checks a rule.
package review

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by the number of their folder.
var cases = map[int]func(w *world, trouble bool) (broken bool, err error){
	6: lapsedEntries,
	7: lastKeyWithdrawn,
	8: foreignEntries,
}

// TestMain plays the case whose folder is the argument. The package has no other tests:
// it is built as a test program, since only tests and stand-ins may use the platform's
// names.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: stand2 FOLDER")
		return exitNotRun
	}
	number, _ := strconv.Atoi(filepath.Base(os.Args[1])) // 0 names no case
	play, ok := cases[number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	w, err := newWorld("target/pimentoshored", filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
