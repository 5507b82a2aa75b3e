package cli

import (
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/operator"
)

func (a *app) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show groups, stranded VMs, coordinators and configuration",
		Long: "Show which groups are whole, which VMs are in no group and why, which data centre is out,\n" +
			"who coordinates each, and which configuration each node has. Every node that can be reached is asked.",
		Example: "  pimentoshore status --operators 10.0.0.1:7001\n  pimentoshore status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := newOperatorClient(a.access)
			if err != nil {
				return err
			}
			gathered, err := client.gather(cmd.Context())
			if err != nil {
				return err
			}
			if len(gathered.Silent) > 0 {
				a.progress("no status of its own from %s: its load is not counted; name it with --operators", strings.Join(gathered.Silent, ", "))
			}
			status := gathered.Status
			return a.print(status, func(w io.Writer) { writeStatus(w, status) })
		},
	}
	a.operatorFlags(cmd)
	a.outputFlag(cmd)
	return cmd
}

func writeStatus(w io.Writer, s operator.Status) {
	platform := "reachable"
	if !s.PlatformReachable {
		platform = "unreachable for " + age(s.PlatformAge)
	}
	fmt.Fprintf(w, "answered by %s; platform %s\n\n", s.Node, platform)
	writeNodes(w, s.Nodes)
	for _, dc := range s.DataCentres {
		writeDataCentre(w, dc)
	}
}

func writeNodes(w io.Writer, nodes []operator.Node) {
	rows := make([][]string, 0, len(nodes))
	for _, n := range nodes {
		state := "up"
		if n.Stopping {
			state = "stopping"
		}
		number := strconv.FormatUint(n.Configuration, 10)
		rows = append(rows, []string{n.VM, n.DataCentre, state, number, age(n.ConfigurationAge), age(n.LastHeard)})
	}
	writeTable(w, []string{"NODE", "DATA CENTRE", "STATE", "CONFIGURATION", "AGE", "HEARD"}, rows)
}

func writeDataCentre(w io.Writer, dc operator.DataCentre) {
	state := "in"
	if dc.Out {
		state = "out"
	}
	fmt.Fprintf(w, "\n%s: %s, coordinator %s, term %d, %d of %d groups serve, %d accelerators stranded\n",
		dc.Name, state, orDash(dc.Coordinator), dc.Term, serving(dc.Groups), len(dc.Groups), stranded(dc.Unassigned))
	if dc.Degraded != "" {
		fmt.Fprintf(w, "  held back: %s\n", dc.Degraded)
	}
	if len(dc.Groups) > 0 {
		writeGroups(w, dc.Groups)
	}
	if len(dc.Services) > 0 {
		writeServices(w, dc.Services)
	}
	if len(dc.Unassigned) > 0 {
		writeUnassigned(w, dc.Unassigned)
	}
}

func serving(groups []operator.Group) int {
	n := 0
	for _, g := range groups {
		if g.State == operator.GroupServing || g.State == operator.GroupWarming {
			n++
		}
	}
	return n
}

func stranded(vms []operator.UnassignedVM) int {
	n := 0
	for _, vm := range vms {
		if vm.Healthy {
			n += vm.Accelerators
		}
	}
	return n
}

func writeGroups(w io.Writer, groups []operator.Group) {
	rows := make([][]string, 0, len(groups))
	for _, g := range groups {
		rows = append(rows, []string{
			g.Name, g.Model, string(g.State), strings.Join(g.Members, ","), loadCell(g.InFlight, g.Limit), orDash(g.Reason),
		})
	}
	writeTable(w, []string{"GROUP", "MODEL", "STATE", "MEMBERS", "LOAD", "REASON"}, rows)
}

func writeServices(w io.Writer, endpoints []operator.ServiceEndpoint) {
	rows := make([][]string, 0, len(endpoints))
	for _, e := range endpoints {
		state := "down"
		if e.Serving {
			state = "serving"
		}
		rows = append(rows, []string{e.VM, e.Service, state, loadCell(e.InFlight, e.Limit), orDash(e.Reason)})
	}
	writeTable(w, []string{"ENDPOINT", "SERVICE", "STATE", "LOAD", "REASON"}, rows)
}

func writeUnassigned(w io.Writer, vms []operator.UnassignedVM) {
	rows := make([][]string, 0, len(vms))
	for _, vm := range vms {
		health := "unhealthy"
		if vm.Healthy {
			health = "healthy"
		}
		rows = append(rows, []string{vm.VM, vm.FabricDomain, health, strconv.Itoa(vm.Accelerators), vm.Reason})
	}
	writeTable(w, []string{"IN NO GROUP", "FABRIC DOMAIN", "HEALTH", "ACCELERATORS", "REASON"}, rows)
}

func loadCell(inFlight, limit int) string { return fmt.Sprintf("%d/%d", inFlight, limit) }

func (a *app) explainCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "explain",
		Short:   "Say why a VM is in no group, or what became of a request",
		Example: "  pimentoshore explain vm praha-a-3\n  pimentoshore explain request 0f6c1b4e",
		Args:    cobra.NoArgs,
		RunE:    needSubcommand,
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
			var e operator.RequestExplanation
			return a.explain(cmd, operator.ExplainRequestPath+url.PathEscape(args[0]), &e, func(w io.Writer) { writeRequest(w, e) })
		},
	}
	for _, c := range []*cobra.Command{vm, request} {
		a.operatorFlags(c)
		a.outputFlag(c)
		cmd.AddCommand(c)
	}
	return cmd
}

// needSubcommand refuses a command that only groups others.
func needSubcommand(cmd *cobra.Command, _ []string) error {
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

func writeVM(w io.Writer, e operator.VMExplanation) {
	fmt.Fprintf(w, "%s: %s VM of %s, fabric domain %s, group %s\n", e.VM, e.Role, e.DataCentre, orDash(e.FabricDomain), orDash(e.Group))
	if e.ReportAge < 0 {
		fmt.Fprintln(w, "it has not reported")
	} else {
		fmt.Fprintf(w, "it reported %s in group %s, %s ago\n", orDash(e.ReportedState), orDash(e.ReportedGroup), age(e.ReportAge))
	}
	writeReasons(w, e.Reasons)
}

func writeRequest(w io.Writer, e operator.RequestExplanation) {
	fmt.Fprintf(w, "%s: %s of account %s was %s\n", e.Request, e.Target, e.Account, e.Outcome)
	if e.Kind != "" {
		fmt.Fprintf(w, "problem %s, ran: %s\n", e.Kind, e.Ran)
	}
	fmt.Fprintf(w, "hops: %s\n", orDash(strings.Join(e.Hops, " > ")))
	writeReasons(w, e.Reasons)
}

func writeReasons(w io.Writer, reasons []operator.Reason) {
	for _, r := range reasons {
		fmt.Fprintf(w, "- %s; %s\n", r.Cause, r.Remedy)
	}
}
