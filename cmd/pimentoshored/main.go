// Command pimentoshored is the entry daemon: it serves callers and, with the
// other entry VMs, coordinates the endpoints of its data centre.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/daemon"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func main() {
	os.Exit(run())
}

// run returns the exit code: 0 after a graceful stop, 2 for wrong settings
// and 1 for every other error.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var faults *settings.Error
	if errors.As(err, &faults) {
		return settings.ExitCode
	}
	return 1
}

func rootCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:           "pimentoshored",
		Short:         "Serves callers on an entry VM",
		Example:       "  pimentoshored --settings /etc/pimentoshore/daemon.toml",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := settings.Load(file)
			if err != nil {
				return err
			}
			return daemon.Serve(cmd.Context(), set, os.Stderr)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "pimentoshored.toml", "settings file (TOML)")
	cmd.AddCommand(entryCommand())
	return cmd
}
