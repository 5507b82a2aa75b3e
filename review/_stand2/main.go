// Command stand2 plays the scripts of the second review: it starts the system's own
// processes before stand-ins on loopback, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	daemon := flag.String("daemon", "target/pimentoshored", "the daemon")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	number := flag.Int("case", 0, "number of the case")
	flag.Parse()
	cases := map[int]func(w *world, trouble bool) (broken bool, err error){6: lapsedEntries, 7: lastKeyWithdrawn}
	play, ok := cases[*number]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(*daemon, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
	}
	w.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
