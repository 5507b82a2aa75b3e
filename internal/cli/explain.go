package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/operator"
)

func (a *app) explainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "explain",
		Short:   "Say why a VM is in no group, or what became of a request",
		Example: "  pimentoshore explain vm praha-a-3\n  pimentoshore explain request 0f6c1b4e",
		Args:    cobra.NoArgs,
		RunE:    requireSubcommand,
	}
	vm := &cobra.Command{
		Use:     "vm NAME",
		Short:   "Say what a VM does and why",
		Example: "  pimentoshore explain vm praha-a-3",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e operator.VMExplanation
			return a.explain(cmd, operator.ExplainVMPath+url.PathEscape(args[0]), &e, func(w io.Writer) { writeVM(w, e) })
		},
	}
	request := &cobra.Command{
		Use:     "request ID",
		Short:   "Say what became of a recent request",
		Example: "  pimentoshore explain request 0f6c1b4e",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.explainRequest(cmd.Context(), args[0])
		},
	}
	for _, c := range []*cobra.Command{vm, request} {
		a.operatorFlags(c)
		a.outputFlag(c)
		cmd.AddCommand(c)
	}
	return cmd
}

// requireSubcommand returns a usage error. Commands that only group others
// run it.
func requireSubcommand(cmd *cobra.Command, _ []string) error {
	return &usageError{message: fmt.Sprintf("%s needs a subcommand; see %s --help", cmd.CommandPath(), cmd.CommandPath())}
}

func (a *app) explain(cmd *cobra.Command, path string, dst any, table func(io.Writer)) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	if err := client.get(cmd.Context(), path, dst); err != nil {
		return err
	}
	return a.print(dst, table)
}

// explainRequest asks every reachable node, because only the nodes that
// handled a request keep a record of it.
func (a *app) explainRequest(ctx context.Context, id string) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	e, err := client.findRequest(ctx, operator.ExplainRequestPath+url.PathEscape(id))
	if err != nil {
		return err
	}
	return a.print(e, func(w io.Writer) { writeRequest(w, e) })
}

func writeVM(w io.Writer, e operator.VMExplanation) {
	fmt.Fprintf(w, "%s: %s VM of %s, fabric domain %s, group %s\n", e.VM, e.Role, e.DataCentre, valueOrDash(e.FabricDomain), valueOrDash(e.Group))
	if e.ReportAge < 0 {
		fmt.Fprintln(w, "it has not reported")
	} else {
		fmt.Fprintf(w, "it reported %s in group %s, %s ago\n", valueOrDash(e.ReportedState), valueOrDash(e.ReportedGroup), formatAge(e.ReportAge))
	}
	writeReasons(w, e.Reasons)
}

func writeRequest(w io.Writer, e operator.RequestExplanation) {
	fmt.Fprintf(w, "%s: %s of account %s was %s\n", e.Request, e.Target, e.Account, e.Outcome)
	if e.Kind != "" {
		fmt.Fprintf(w, "problem %s, ran: %s\n", e.Kind, e.Ran)
	}
	fmt.Fprintf(w, "hops: %s\n", valueOrDash(strings.Join(e.Hops, " > ")))
	writeReasons(w, e.Reasons)
}

func writeReasons(w io.Writer, reasons []operator.Reason) {
	for _, r := range reasons {
		fmt.Fprintf(w, "- %s; %s\n", r.Cause, r.Remedy)
	}
}
