// Package cli implements the operators' command line.
package cli

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"io/fs"
	"time"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/demo"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// Exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = settings.ExitCode // invalid settings or usage
	ExitConflict = 3                 // another operator changed the configuration first
)

// Options configures a run of the command line.
type Options struct {
	In  io.Reader
	Out io.Writer // results
	Err io.Writer // messages and progress
	// StartDaemon starts one daemon of the demo.
	StartDaemon demo.StartDaemon
	// PollInterval is the time between reads of the status while a command
	// waits; 0 means 1 s.
	PollInterval time.Duration
}

const defaultPollInterval = time.Second

// app is the state of one run of the command line.
type app struct {
	Options
	// running is set once a command has started. An error before that is a
	// usage error.
	running bool
	output  string
	access  operatorAccess
	urls    []string
	author  string
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, opts Options) int {
	if opts.PollInterval == 0 {
		opts.PollInterval = defaultPollInterval
	}
	a := &app{Options: opts}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetIn(opts.In)
	root.SetOut(opts.Out)
	root.SetErr(opts.Err)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(opts.Err, "pimentoshore:", err)
	if !a.running {
		fmt.Fprintln(opts.Err, "see pimentoshore --help")
	}
	return a.exitCode(err)
}

// usageError reports that a command was called incorrectly.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func (a *app) exitCode(err error) int {
	var usage *usageError
	var invalid *settings.Error
	switch {
	case !a.running || stderrors.As(err, &usage) || stderrors.As(err, &invalid):
		return ExitUsage
	case problem.Is(err, problem.ConfigInvalid) || stderrors.Is(err, fs.ErrNotExist):
		return ExitUsage
	case problem.Is(err, problem.ConfigConflict):
		return ExitConflict
	default:
		return ExitFailed
	}
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "pimentoshore",
		Short:         "Operate pimentoshore",
		Long:          "Operate pimentoshore: its inventory and rules, planned stops, and what it does and why.",
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRun: func(*cobra.Command, []string) {
			a.running = true
		},
	}
	root.AddCommand(
		a.validateCommand(), a.hashKeyCommand(), a.applyCommand(), a.diffCommand(), a.historyCommand(),
		a.statusCommand(), a.explainCommand(), a.logsCommand(), a.drainCommand(), a.undrainCommand(), a.stopCommand(),
		a.loadCommand(), a.demoCommand(), a.standinCommand(),
	)
	return root
}

// progress writes a progress line to the error output.
func (a *app) progress(format string, args ...any) {
	fmt.Fprintf(a.Err, format+"\n", args...)
}
