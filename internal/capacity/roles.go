package capacity

// Load is the cost of a role for a node.
type Load struct {
	CPU   float64 // fraction of a core
	Bytes float64 // per second, sent and received
}

// Role is a function of a node and its cost.
type Role struct {
	Name      string
	Mechanism string // package and type
	State     string
	Memory    float64 // bytes
	Messages  float64 // per second in the normal state
	// Normal is the load if nothing has failed.
	Normal Load
	// Lost is the load at the remaining nodes while a data centre is lost, and
	// Outage the load during an outage of the platform.
	Lost, Outage Load
	Slopes       string
	// DataPlane marks a role whose cost does not count against the budgets of
	// control.
	DataPlane bool
	// Holders says how many nodes of a data centre have the role: "each",
	// "2" and so on.
	Holders string
}

// Roles returns all roles with their costs at a size.
func Roles(s Slopes, size Size) []Role {
	c := newScale(s, size)
	return []Role{
		c.gateway(), c.router(), c.gossip(), c.prober(), c.busiestProber(), c.homeNode(), c.shareHolder(),
		c.coordinator(), c.candidate(), c.configReader(), c.configFollower(), c.claimWriter(), c.accountsDivider(),
	}
}

// constantLoad returns a role with the same load in all states.
func constantLoad(r Role, l Load) Role {
	r.Normal, r.Lost, r.Outage = l, l, l
	return r
}

// lostFactor returns the factor by which the requests of the remaining data
// centres grow when a data centre is lost.
func (c scale) lostFactor() float64 {
	return float64(c.DataCentres) / float64(c.DataCentres-1)
}

// dataPlaneRole returns a data plane role whose load grows by lostFactor when a
// data centre is lost.
func (c scale) dataPlaneRole(r Role, l Load) Role {
	r.DataPlane = true
	r = constantLoad(r, l)
	r.Lost.CPU *= c.lostFactor()
	return r
}

func (c scale) gateway() Role {
	requests := c.RequestsPerS / float64(c.Nodes)
	tokens := c.TokensPerS / float64(c.Nodes) * hops
	return c.dataPlaneRole(Role{
		Name: "callers' side", Mechanism: "internal/gateway.Server, coord/admit.Controller", Holders: "each",
		State: "requests under way; at most 256 waiting for a target", Messages: tokens,
		Slopes: "CPU.StreamEvent, CPU.Admit",
	}, Load{CPU: coreFraction(tokens, c.slopes.CPU.StreamEvent) + coreFraction(requests, c.slopes.CPU.Admit)})
}

func (c scale) router() Role {
	requests := c.RequestsPerS / float64(c.Nodes) * hops
	return c.dataPlaneRole(Role{
		Name: "router", Mechanism: "coord/route.Table", Holders: "each",
		State:  "a row for each node of the data centre, each other data centre and each endpoint served, of one model",
		Memory: (c.nodes + float64(c.DataCentres)) * float64(c.slopes.Memory.RoutePeer), Messages: requests,
		Slopes: "CPU.RoutePick, Memory.RoutePeer",
	}, Load{CPU: coreFraction(requests, c.slopes.CPU.RoutePick)})
}

func (c scale) gossip() Role {
	groups := float64(c.DataCentres) * c.groups * float64(c.slopes.Bytes.Group)
	t := c.traffic
	return constantLoad(Role{
		Name: "gossip", Mechanism: "coord/gossip.Table, internal/peers", Holders: "each",
		State:  "a row for each entry VM; the groups of all data centres",
		Memory: float64(c.Nodes)*float64(c.slopes.Memory.GossipNode) + groups, Messages: 2 * (exchangeRate + 1),
		Slopes: "Traffic.GossipWithin, GossipBetween, CPU; Memory.GossipNode, Bytes.Group",
	}, Load{CPU: t.CPU, Bytes: t.GossipWithin + t.GossipBetween})
}

func (c scale) proberOf(name string, vms float64) Role {
	rate := vms * probeRate
	return constantLoad(Role{
		Name: name, Mechanism: "coord/probe.Table, internal/endpoint.Client", Holders: "each",
		State: "the newest report of each VM", Memory: vms * float64(c.slopes.Memory.Report), Messages: rate,
		Slopes: "Bytes.Probe, CPU.Probe, Memory.Report",
	}, Load{CPU: coreFraction(rate, c.slopes.CPU.Probe), Bytes: rate * float64(c.slopes.Bytes.Probe)})
}

func (c scale) prober() Role { return c.proberOf("prober, mean", c.vms/c.nodes) }

func (c scale) busiestProber() Role {
	r := c.proberOf("prober, most loaded", float64(c.traffic.MostProbed))
	r.Holders = "one"
	return r
}

func (c scale) homeNode() Role {
	pulls := c.groups * homeNodes / c.nodes * probeRate
	return constantLoad(Role{
		Name: "home node, relayed reports", Mechanism: "coord/probe.Follower, coord/group.Reports", Holders: "each",
		State: "the newest report of each member", Memory: c.groups * homeNodes / c.nodes * float64(c.GroupSize) * float64(c.slopes.Memory.Report),
		Messages: 2 * pulls, Slopes: "Traffic.Reports, CPU.ReportsPull, Memory.Report",
	}, Load{CPU: coreFraction(pulls, c.slopes.CPU.ReportsPull), Bytes: c.traffic.Reports})
}

func (c scale) shareHolder() Role {
	return constantLoad(Role{
		Name: "holder of shares", Mechanism: "coord/budget.Shares", Holders: "each",
		State: "its shares of endpoints and accounts", Messages: 2 * usageRate, Slopes: "Bytes.Usage, with a change in every report",
	}, Load{Bytes: 2 * c.usageByteRate()})
}

func (c scale) coordinator() Role {
	holders := min(c.nodes, c.groups*homeNodes)
	reports := c.vms * probeRate
	pulls := (c.nodes - 1) * probeRate
	orders := perSecond(c.FailuresPerDay+c.RestartsPerDay) / float64(c.DataCentres) * float64(c.GroupSize) * ordersPerMember
	r := constantLoad(Role{
		Name: "coordinator", Mechanism: "coord/group.Manager, coord/budget.Ledger, coord/probe.Follower", Holders: "1",
		State:    "the VMs, groups and shares of its data centre",
		Memory:   c.vms*float64(c.slopes.Memory.GroupVM+c.slopes.Memory.Report) + c.groups*float64(c.slopes.Memory.LedgerRow),
		Messages: pulls + holders*usageRate + orders,
		Slopes:   "Traffic.Coordinator, CPU.GroupReport, GroupTick, ReportsPull, BudgetUsage; Bytes.Usage, Order, Promise; Memory.GroupVM, Report, LedgerRow",
	}, Load{
		CPU: coreFraction(pulls, c.slopes.CPU.ReportsPull) + coreFraction(reports, c.slopes.CPU.GroupReport) +
			coreFraction(tickRate, c.slopes.CPU.GroupTick) + coreFraction(holders*usageRate, c.slopes.CPU.BudgetUsage),
		Bytes: c.traffic.Coordinator + holders*c.usageByteRate() + orders*float64(c.slopes.Bytes.Order),
	})
	r.Outage.Bytes += (c.nodes - 1) * promiseRate * c.messageBytes(c.slopes.Bytes.Promise)
	return r
}

func (c scale) candidate() Role {
	r := constantLoad(Role{
		Name: "candidate", Mechanism: "coord/lease.Machine", Holders: "each",
		State: "the lease's row", Messages: c.slopes.LeaseReads / c.nodes, Slopes: "CPU.LeaseTick, LeaseReads, Bytes.Promise",
	}, Load{CPU: coreFraction(tickRate, c.slopes.CPU.LeaseTick)})
	r.Outage.Bytes = promiseRate * c.messageBytes(c.slopes.Bytes.Promise)
	return r
}

func (c scale) configReader() Role {
	return constantLoad(Role{
		Name: "configuration reader", Mechanism: "coord/config.State", Holders: "2",
		State: "as a follower", Messages: headReadRate, Slopes: "reads of the platform only; the rest as a follower",
	}, Load{})
}

func (c scale) configFollower() Role {
	digests := 2 * digestRate
	change := float64(c.slopes.Bytes.Change + c.slopes.Bytes.CallHeader)
	return constantLoad(Role{
		Name: "configuration follower", Mechanism: "coord/config.State", Holders: "each",
		State:  "the document in force, the one before while it is replaced, 256 changes",
		Memory: 2*float64(c.slopes.Memory.Document) + retainedChanges*float64(c.slopes.Bytes.Change), Messages: digests + 2*c.changeRate(),
		Slopes: "Bytes.Digest, Change; CPU.ConfigChange; Memory.Document",
	}, Load{
		CPU:   coreFraction(c.changeRate(), c.slopes.CPU.ConfigChange),
		Bytes: digests*c.messageBytes(c.slopes.Bytes.Digest) + 2*c.changeRate()*change,
	})
}

func (c scale) claimWriter() Role {
	const calls = 10.0 // keyed calls per second on a node
	r := Role{
		Name: "claim writer, 10 keyed calls a second", Mechanism: "coord/claim.State", Holders: "each",
		State: "at most 8,192 keys", Memory: maxClaims * float64(c.slopes.Memory.ClaimEntry), Messages: 2 * calls,
		Slopes: "CPU.Claim, Memory.ClaimEntry; the rate is an example, the design size names none",
	}
	return c.dataPlaneRole(r, Load{CPU: coreFraction(calls, c.slopes.CPU.Claim)})
}

func (c scale) accountsDivider() Role {
	usages := float64(c.Nodes) * usageRate
	r := constantLoad(Role{
		Name: "accounts' divider", Mechanism: "coord/budget.Ledger", Holders: "1 of all",
		State: "each account's limit with its holders", Messages: usages, Slopes: "Bytes.Usage, CPU.BudgetUsage, with a change in every report",
	}, Load{CPU: coreFraction(usages, c.slopes.CPU.BudgetUsage), Bytes: float64(c.Nodes) * c.usageByteRate()})
	r.Lost.CPU /= c.lostFactor()
	r.Lost.Bytes /= c.lostFactor()
	return r
}
