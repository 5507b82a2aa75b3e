package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) outputFlag(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&a.output, "output", "o", outputTable, "form of the result: table or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
}

// print writes a result as JSON or, for table output, with the given function.
func (a *app) print(value any, table func(io.Writer)) error {
	switch a.output {
	case outputJSON:
		encoder := json.NewEncoder(a.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case outputTable:
		table(a.Out)
		return nil
	default:
		return &usageError{message: fmt.Sprintf("--output %q is unknown; use table or json", a.output)}
	}
}

const columnGap = 2

// writeTable writes rows under a header in aligned columns.
func writeTable(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// valueOrDash returns "-" for an empty cell.
func valueOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatAge formats an age for a cell, rounded to 100 ms. A negative age means
// never.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(100 * time.Millisecond).String()
}
