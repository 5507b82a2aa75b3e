// Package review plays the cases of review/ that are scripts. It starts entry VMs
// as processes, with the command of the deploy file, before stand-ins of the
// platform, its servers and its clients.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package review

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name.
var cases = map[string]func(*world) error{
	"idle":    playIdle,
	"key":     playKey,
	"memory":  playMemory,
	"refused": playRefused,
}

// TestMain plays the case that the arguments name. The package has no other tests: it
// is built as a test program, since only tests and stand-ins may use the platform's names.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer w.close()
	go w.closeOnSignal()
	err = cases[os.Args[1]](w)
	switch {
	case err == nil:
		w.note("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		return 1
	}
	w.note("result: cannot run: %v", err)
	return 2
}
