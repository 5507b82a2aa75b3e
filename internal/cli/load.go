package cli

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/load"
)

func (a *app) loadCommand() *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "load FILE",
		Short: "Send a workload and report latencies, refusals and fairness",
		Long: "Send the workload of a settings file, open loop, and report the first-token time, the time between\n" +
			"tokens, whole answers, refusals by reason, fairness over accounts, and what stand-ins counted.",
		Example: "  pimentoshore load examples/load-steady.toml\n  pimentoshore load examples/load-burst.toml --output json --plot burst.png",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w, err := load.ReadWorkload(args[0])
			if err != nil {
				return err
			}
			results := load.Run(cmd.Context(), w, func(p load.Progress) {
				a.progress("%d of %d requests sent, %d ended", p.Sent, p.Total, p.Ended)
			})
			report := load.Summarize(w, results)
			if err := report.ReadEndpoints(cmd.Context(), w, results); err != nil {
				return err
			}
			if plot != "" {
				if err := report.Plot(plot); err != nil {
					return err
				}
				a.progress("wrote %s", plot)
			}
			return a.print(report, func(out io.Writer) { report.WriteText(out) })
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "PNG file for a plot of the latencies")
	a.outputFlag(cmd)
	return cmd
}
