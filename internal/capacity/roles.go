package capacity

// Load is what a role costs a node.
type Load struct {
	CPU   float64 // of a core
	Bytes float64 // a second, sent and received
}

// Role is one part of what a node may do.
type Role struct {
	Name      string
	Mechanism string // package and type
	State     string
	Memory    float64 // bytes
	Messages  float64 // a second in the normal state
	Normal    Load
	// Lost is while a data centre is lost, at the nodes of the others, and
	// Outage while the platform is out.
	Lost, Outage Load
	Slopes       string
	// DataPlane marks a role whose cost is not part of control.
	DataPlane bool
	// Holders says how many nodes of a data centre have the role: "each",
	// "2" and so on.
	Holders string
}

// Roles works out every role at a size.
func Roles(s Slopes, size Size) []Role {
	c := newScale(s, size)
	return []Role{
		c.gateway(), c.router(), c.gossip(), c.prober(), c.mostProber(), c.home(), c.holder(),
		c.coordinator(), c.candidate(), c.reader(), c.follower(), c.claimWriter(), c.divider(),
	}
}

// same is a role's load that no state changes.
func same(r Role, l Load) Role {
	r.Normal, r.Lost, r.Outage = l, l, l
	return r
}

// lostFactor is by how much the others' requests grow when a data centre is
// lost.
func (c scale) lostFactor() float64 {
	return float64(c.DataCentres) / float64(c.DataCentres-1)
}

// shared returns a data plane role whose load grows when a data centre is
// lost.
func (c scale) shared(r Role, l Load) Role {
	r.DataPlane = true
	r = same(r, l)
	r.Lost.CPU *= c.lostFactor()
	return r
}

func (c scale) gateway() Role {
	requests := c.RequestsPerS / float64(c.Nodes)
	tokens := c.TokensPerS / float64(c.Nodes) * hops
	return c.shared(Role{
		Name: "callers' side", Mechanism: "internal/gateway.Server, coord/admit.Controller", Holders: "each",
		State: "requests under way; at most 256 waiting for a target", Messages: tokens,
		Slopes: "CPU.StreamEvent, CPU.Admit",
	}, Load{CPU: cpu(tokens, c.s.CPU.StreamEvent) + cpu(requests, c.s.CPU.Admit)})
}

func (c scale) router() Role {
	requests := c.RequestsPerS / float64(c.Nodes) * hops
	return c.shared(Role{
		Name: "router", Mechanism: "coord/route.Table", Holders: "each",
		State:  "a row for each node of the data centre, each other data centre and each endpoint served, of one model",
		Memory: (c.nodes + float64(c.DataCentres)) * float64(c.s.Memory.RoutePeer), Messages: requests,
		Slopes: "CPU.RoutePick, Memory.RoutePeer",
	}, Load{CPU: cpu(requests, c.s.CPU.RoutePick)})
}

func (c scale) gossip() Role {
	groups := float64(c.DataCentres) * c.groups * float64(c.s.Bytes.Group)
	t := c.traffic
	return same(Role{
		Name: "gossip", Mechanism: "coord/gossip.Table, internal/peers", Holders: "each",
		State:  "a row for each entry VM; the groups of all data centres",
		Memory: float64(c.Nodes)*float64(c.s.Memory.GossipNode) + groups, Messages: 2 * (exchangeRate + 1),
		Slopes: "Traffic.GossipWithin, GossipBetween, CPU; Memory.GossipNode, Bytes.Group",
	}, Load{CPU: t.CPU, Bytes: t.GossipWithin + t.GossipBetween})
}

func (c scale) probing(name string, vms float64) Role {
	rate := vms * probeRate
	return same(Role{
		Name: name, Mechanism: "coord/probe.Table, internal/endpoint.Client", Holders: "each",
		State: "the newest report of each VM", Memory: vms * float64(c.s.Memory.Report), Messages: rate,
		Slopes: "Bytes.Probe, CPU.Probe, Memory.Report",
	}, Load{CPU: cpu(rate, c.s.CPU.Probe), Bytes: rate * float64(c.s.Bytes.Probe)})
}

func (c scale) prober() Role { return c.probing("prober, mean", c.vms/c.nodes) }

func (c scale) mostProber() Role {
	r := c.probing("prober, most loaded", float64(c.traffic.MostProbed))
	r.Holders = "one"
	return r
}

func (c scale) home() Role {
	pulls := c.groups * homes / c.nodes * probeRate
	return same(Role{
		Name: "home node, relayed reports", Mechanism: "coord/probe.Follower, coord/group.Reports", Holders: "each",
		State: "the newest report of each member", Memory: c.groups * homes / c.nodes * float64(c.GroupSize) * float64(c.s.Memory.Report),
		Messages: 2 * pulls, Slopes: "Traffic.Reports, CPU.ReportsPull, Memory.Report",
	}, Load{CPU: cpu(pulls, c.s.CPU.ReportsPull), Bytes: c.traffic.Reports})
}

func (c scale) holder() Role {
	return same(Role{
		Name: "holder of shares", Mechanism: "coord/budget.Shares", Holders: "each",
		State: "its shares of endpoints and accounts", Messages: 2 * usageRate, Slopes: "Bytes.Usage, with a change in every report",
	}, Load{Bytes: 2 * c.usageBytes()})
}

func (c scale) coordinator() Role {
	holders := min(c.nodes, c.groups*homes)
	reports := c.vms * probeRate
	pulls := (c.nodes - 1) * probeRate
	formed := perDay(c.FailuresPerDay+c.RestartsPerDay) / float64(c.DataCentres) * float64(c.GroupSize) * ordersPerMember
	r := same(Role{
		Name: "coordinator", Mechanism: "coord/group.Manager, coord/budget.Ledger, coord/probe.Follower", Holders: "1",
		State:    "the VMs, groups and shares of its data centre",
		Memory:   c.vms*float64(c.s.Memory.GroupVM+c.s.Memory.Report) + c.groups*float64(c.s.Memory.LedgerRow),
		Messages: pulls + holders*usageRate + formed,
		Slopes:   "Traffic.Coordinator, CPU.GroupReport, GroupTick, ReportsPull, BudgetUsage; Bytes.Usage, Order, Promise; Memory.GroupVM, Report, LedgerRow",
	}, Load{
		CPU: cpu(pulls, c.s.CPU.ReportsPull) + cpu(reports, c.s.CPU.GroupReport) +
			cpu(tickRate, c.s.CPU.GroupTick) + cpu(holders*usageRate, c.s.CPU.BudgetUsage),
		Bytes: c.traffic.Coordinator + holders*c.usageBytes() + formed*float64(c.s.Bytes.Order),
	})
	r.Outage.Bytes += (c.nodes - 1) * askRate * c.tell(c.s.Bytes.Promise)
	return r
}

func (c scale) candidate() Role {
	r := same(Role{
		Name: "candidate", Mechanism: "coord/lease.Machine", Holders: "each",
		State: "the lease's row", Messages: c.s.LeaseReads / c.nodes, Slopes: "CPU.LeaseTick, LeaseReads, Bytes.Promise",
	}, Load{CPU: cpu(tickRate, c.s.CPU.LeaseTick)})
	r.Outage.Bytes = askRate * c.tell(c.s.Bytes.Promise)
	return r
}

func (c scale) reader() Role {
	return same(Role{
		Name: "configuration reader", Mechanism: "coord/config.State", Holders: "2",
		State: "as a follower", Messages: headRate, Slopes: "reads of the platform only; the rest as a follower",
	}, Load{})
}

func (c scale) follower() Role {
	digests := 2 * digestRate
	change := float64(c.s.Bytes.Change + c.s.Bytes.CallHeader)
	return same(Role{
		Name: "configuration follower", Mechanism: "coord/config.State", Holders: "each",
		State:  "the document in force, the one before while it is replaced, 256 changes",
		Memory: 2*float64(c.s.Memory.Document) + retained*float64(c.s.Bytes.Change), Messages: digests + 2*c.changes(),
		Slopes: "Bytes.Digest, Change; CPU.ConfigChange; Memory.Document",
	}, Load{
		CPU:   cpu(c.changes(), c.s.CPU.ConfigChange),
		Bytes: digests*c.tell(c.s.Bytes.Digest) + 2*c.changes()*change,
	})
}

func (c scale) claimWriter() Role {
	const calls = 10.0 // keyed calls a second on a node
	r := Role{
		Name: "claim writer, 10 keyed calls a second", Mechanism: "coord/claim.State", Holders: "each",
		State: "at most 8,192 keys", Memory: maxClaims * float64(c.s.Memory.ClaimEntry), Messages: 2 * calls,
		Slopes: "CPU.Claim, Memory.ClaimEntry; the rate is an example, the design size names none",
	}
	return c.shared(r, Load{CPU: cpu(calls, c.s.CPU.Claim)})
}

func (c scale) divider() Role {
	usages := float64(c.Nodes) * usageRate
	r := same(Role{
		Name: "accounts' divider", Mechanism: "coord/budget.Ledger", Holders: "1 of all",
		State: "each account's limit with its holders", Messages: usages, Slopes: "Bytes.Usage, CPU.BudgetUsage, with a change in every report",
	}, Load{CPU: cpu(usages, c.s.CPU.BudgetUsage), Bytes: float64(c.Nodes) * c.usageBytes()})
	r.Lost.CPU /= c.lostFactor()
	r.Lost.Bytes /= c.lostFactor()
	return r
}
