package capacity

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

const (
	percent = 100
	mib     = 1 << 20
)

// Page returns the measured part of the capacity page.
func Page(s Slopes, size Size) string {
	var b strings.Builder
	roles := Roles(s, size)
	b.WriteString("\n## Roles\n\nEach pair of figures is processor time in % of a core and bytes a second, sent and received.\n\n")
	b.WriteString("| role | nodes of a data centre | carried by | state | memory (MiB) | messages/s | normal | a data centre lost | platform outage | slopes |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range roles {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %.2f | %.1f | %s | %s | %s | %s |\n", r.Name, r.Holders, r.Mechanism, r.State,
			r.Memory/mib, r.Messages, r.Normal.format(r.DataPlane), r.Lost.format(r.DataPlane), r.Outage.format(r.DataPlane), r.Slopes)
	}
	b.WriteString(budgetTable(roles, s))
	b.WriteString(platformTable(s, size))
	b.WriteString(trafficTable(s))
	b.WriteString("\n## Slopes\n\n| slope | value |\n|---|---|\n")
	writeFields(&b, "CPU", reflect.ValueOf(s.CPU))
	writeFields(&b, "Bytes", reflect.ValueOf(s.Bytes))
	writeFields(&b, "Memory", reflect.ValueOf(s.Memory))
	fmt.Fprintf(&b, "| LeaseReads | %.1f a second for a data centre |\n| LeaseWrites | %.1f a second for a data centre |\n\n", s.LeaseReads, s.LeaseWrites)
	return b.String()
}

func (l Load) format(dataPlane bool) string {
	if dataPlane {
		return fmt.Sprintf("%.2f %%, data plane", l.CPU*percent)
	}
	return fmt.Sprintf("%.2f %%, %.0f B/s", l.CPU*percent, l.Bytes)
}

// nodeKind is a kind of node, defined by its roles.
type nodeKind struct {
	name  string
	roles []string
}

// budgetTable returns the table that compares the summed costs of the roles of
// each kind of node with the budgets.
func budgetTable(roles []Role, s Slopes) string {
	everywhere := []string{"gossip", "home node, relayed reports", "holder of shares", "candidate", "configuration follower"}
	kinds := []nodeKind{
		{"any node, without probes", everywhere},
		{"any node, mean", append(everywhere[:len(everywhere):len(everywhere)], "prober, mean")},
		{"node that probes most", append(everywhere[:len(everywhere):len(everywhere)], "prober, most loaded")},
		{"coordinator, mean prober", append(everywhere[:len(everywhere):len(everywhere)], "prober, mean", "coordinator")},
		{"accounts' divider, mean prober", append(everywhere[:len(everywhere):len(everywhere)], "prober, mean", "coordinator", "accounts' divider")},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\n## Against the budgets of control\n\nThe budgets are %.1f %% of a core, %d MiB and %d B/s. A daemon with one engine and no requests takes %.2f %% of a core; that is added to each line.\n\n",
		CoreBudget*percent, MemoryBudget/mib, ByteBudget, s.CPU.Idle*percent)
	b.WriteString("| node | core | memory (MiB) | bytes/s | bytes/s in a platform outage | verdict |\n|---|---|---|---|---|---|\n")
	for _, k := range kinds {
		core, memory, normal, outage := s.CPU.Idle, 0.0, 0.0, 0.0
		for _, r := range roles {
			for _, name := range k.roles {
				if r.Name == name {
					core += r.Normal.CPU
					memory += r.Memory
					normal += r.Normal.Bytes
					outage += r.Outage.Bytes
				}
			}
		}
		fmt.Fprintf(&b, "| %s | %.2f %% | %.1f | %.0f | %.0f | %s |\n", k.name, core*percent, memory/mib, normal, outage, verdict(core, memory, max(normal, outage)))
	}
	return b.String()
}

// verdict returns which budgets are exceeded and by how much, or that all are
// met.
func verdict(core, memory, bytes float64) string {
	var over []string
	if core > CoreBudget {
		over = append(over, fmt.Sprintf("core %.1f times the budget", core/CoreBudget))
	}
	if memory > MemoryBudget {
		over = append(over, fmt.Sprintf("memory %.1f times the budget", memory/MemoryBudget))
	}
	if bytes > ByteBudget {
		over = append(over, fmt.Sprintf("bytes %.1f times the budget", bytes/ByteBudget))
	}
	if len(over) == 0 {
		return "fits"
	}
	return "does not fit: " + strings.Join(over, ", ")
}

// platformTable returns the table of calls to the platform's table.
func platformTable(s Slopes, size Size) string {
	c := newScale(s, size)
	dataCentres := float64(size.DataCentres)
	formations := perSecond(size.FailuresPerDay + size.RestartsPerDay)
	reads := dataCentres*(s.LeaseReads+configReaders*headReadRate+listReadRate) + dataCentres*configReaders*c.changeRate()
	writes := dataCentres*s.LeaseWrites + c.changeRate() + formations*ordersPerMember
	var b strings.Builder
	b.WriteString("\n## The platform\n\n| | normal | a data centre lost | platform outage |\n|---|---|---|---|\n")
	fmt.Fprintf(&b, "| reads/s without claims | %.0f of %d | %.0f | none served; %.0f tried |\n", reads, ReadBudget, reads/c.lostFactor(), float64(size.Nodes)*retryRate)
	fmt.Fprintf(&b, "| writes/s without claims | %.1f of %d | %.1f | none served |\n", writes, WriteBudget, writes/c.lostFactor())
	fmt.Fprintf(&b, "| transactions/s left for claims | %.0f | %.0f | none |\n", WriteBudget-writes, WriteBudget-writes/c.lostFactor())
	fmt.Fprintf(&b, "| transactions/s that claims of all nodes may use | %d | %d | none |\n", claimRate, claimRate)
	return b.String()
}

func trafficTable(s Slopes) string {
	var b strings.Builder
	b.WriteString("\n## Traffic by size\n\nBytes a second of a node, sent and received.\n\n| entry VMs | gossip within a data centre | between | gossip, most | relayed reports | at the coordinator | most VMs probed by a node | core for these |\n|---|---|---|---|---|---|---|---|\n")
	for _, n := range []int{4, 32, Design.Nodes} {
		t := s.Traffic[n]
		fmt.Fprintf(&b, "| %d | %.0f | %.0f | %.0f | %.0f | %.0f | %d | %.3f %% |\n", n, t.GossipWithin, t.GossipBetween, t.GossipMost, t.Reports, t.Coordinator, t.MostProbed, t.CPU*percent)
	}
	return b.String()
}

// writeFields writes a row for each field of a struct of slopes. The page shows
// the names of the fields.
func writeFields(b *strings.Builder, name string, v reflect.Value) {
	for i := range v.NumField() {
		fmt.Fprintf(b, "| %s.%s | %s |\n", name, v.Type().Field(i).Name, formatSlope(v.Field(i).Interface()))
	}
}

func formatSlope(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return v.Round(time.Nanosecond).String()
	case float64:
		return fmt.Sprintf("%.2f %% of a core", v*percent)
	default:
		return fmt.Sprintf("%d bytes", v)
	}
}
