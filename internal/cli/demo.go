package cli

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/demo"
)

func (a *app) demoCommand() *cobra.Command {
	var once bool
	var workload string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole system on loopback and send two requests",
		Long: "Run stand-ins and daemons of three data centres in this process, send a streamed chat completion and\n" +
			"a glove order, print the answers with their hops, and stay up until interrupted.",
		Example: "  pimentoshore demo --once\n  pimentoshore demo --workload demo-load.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.Run(cmd.Context(), demo.Options{
				StartDaemon: a.StartDaemon, Out: a.Out, Err: a.Err, Once: once, Timeout: timeout, Workload: workload,
			})
		},
	}
	cmd.Flags().BoolVar(&once, "once", false, "end after the two requests")
	cmd.Flags().StringVar(&workload, "workload", "", "file to write a workload for pimentoshore load to")
	cmd.Flags().DurationVar(&timeout, "timeout", time.Minute, "how long the start and the requests may take")
	return cmd
}
