package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/timeline"
)

func (a *app) logsCommand() *cobra.Command {
	var q timeline.Query
	cmd := &cobra.Command{
		Use:   "logs FILE...",
		Short: "Follow a request, an endpoint, a group or a part of prompts through saved logs of entry VMs",
		Long: "Follow a request, an endpoint, a group or a part of prompts through saved logs of entry VMs, in order of time.\n" +
			"A file named - is standard input. With --context, changes in what the nodes believed around that time are added.",
		Example: "  pimentoshore logs --request 77c187d485e8d005 entry-*.log\n" +
			"  pimentoshore logs --endpoint i-2dc44d14cc --context 2s entry-*.log",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			if q.Request == "" && q.Endpoint == "" && q.Group == "" && q.Part == "" {
				return &usageError{message: "nothing to follow; name it with --request, --endpoint, --group or --part"}
			}
			return a.followLogs(files, q)
		},
	}
	cmd.Flags().StringVar(&q.Request, "request", "", "ID of a request")
	cmd.Flags().StringVar(&q.Endpoint, "endpoint", "", "ID of an endpoint VM")
	cmd.Flags().StringVar(&q.Group, "group", "", "name of a group")
	cmd.Flags().StringVar(&q.Part, "part", "", "ID of a part of prompts")
	cmd.Flags().DurationVar(&q.Context, "context", 0, "how long before and after to add changes in what nodes believed")
	a.outputFlag(cmd)
	return cmd
}

func (a *app) followLogs(files []string, q timeline.Query) error {
	var all []timeline.Line
	for _, name := range files {
		lines, skipped, err := a.readLog(name)
		if err != nil {
			return errors.Annotatef(err, "reading %s; name saved logs of entry VMs", name)
		}
		if skipped > 0 {
			a.progress("%s: skipped %d lines that are not from an entry VM's log", name, skipped)
		}
		all = append(all, lines...)
	}
	found := timeline.Select(all, q)
	if len(found) == 0 {
		return errors.NotFoundf("line that names it among the %d read (search the logs of all entry VMs, and check left_out_before for lines left out)", len(all))
	}
	return a.print(found, func(w io.Writer) { writeTimeline(w, found) })
}

func (a *app) readLog(name string) ([]timeline.Line, int, error) {
	if name == "-" {
		return timeline.Read(a.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	return timeline.Read(f)
}

func writeTimeline(w io.Writer, lines []timeline.Line) {
	start := lines[0].Time
	fmt.Fprintln(w, "from", start.Format(time.RFC3339Nano))
	var rows [][]string
	for _, l := range lines {
		after := fmt.Sprintf("%.3f", l.Time.Sub(start).Seconds())
		rows = append(rows, []string{after, valueOrDash(l.VM), l.Level, l.Message, l.Details()})
	}
	writeTable(w, []string{"SECONDS", "VM", "LEVEL", "MESSAGE", "DETAILS"}, rows)
}
