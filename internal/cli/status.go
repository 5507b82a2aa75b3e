package cli

import (
	"fmt"
	"io"
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
			if len(gathered.Unreachable) > 0 {
				a.progress("no status of its own from %s: its load is not counted; name its address with --operators", strings.Join(gathered.Unreachable, ", "))
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
		platform = "unreachable for " + formatAge(s.PlatformAge)
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
		rows = append(rows, []string{n.VM, n.DataCentre, state, number, formatAge(n.ConfigurationAge), formatAge(n.LastHeard)})
	}
	writeTable(w, []string{"NODE", "DATA CENTRE", "STATE", "CONFIGURATION", "AGE", "HEARD"}, rows)
}

func writeDataCentre(w io.Writer, dc operator.DataCentre) {
	state := "in"
	if dc.Out {
		state = "out"
	}
	fmt.Fprintf(w, "\n%s: %s, coordinator %s, term %d, %d of %d groups serve, %d accelerators stranded\n",
		dc.Name, state, valueOrDash(dc.Coordinator), dc.Term, countServing(dc.Groups), len(dc.Groups), countStrandedAccelerators(dc.Unassigned))
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

// countServing counts the groups that serve requests, including those that are
// still warming.
func countServing(groups []operator.Group) int {
	n := 0
	for _, g := range groups {
		if g.State == operator.GroupServing || g.State == operator.GroupWarming {
			n++
		}
	}
	return n
}

// countStrandedAccelerators counts the accelerators of healthy VMs that are in
// no group.
func countStrandedAccelerators(vms []operator.UnassignedVM) int {
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
			g.Name, g.Model, string(g.State), strings.Join(g.Members, ","), loadCell(g.InFlight, g.Limit), valueOrDash(g.Reason),
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
		rows = append(rows, []string{e.VM, e.Service, state, loadCell(e.InFlight, e.Limit), valueOrDash(e.Reason)})
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
