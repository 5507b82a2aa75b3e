package capacity

import "time"

// Slopes holds the costs of single events, messages and rows.
type Slopes struct {
	CPU     CPU
	Bytes   Bytes
	Memory  Memory
	Traffic map[int]Traffic // by number of entry VMs
	// LeaseReads and LeaseWrites are the calls per second of a data centre to
	// the platform's table, with the entry VMs of the design size.
	LeaseReads, LeaseWrites float64
}

// CPU holds the processor time of single events. The page shows the names of
// the fields.
type CPU struct {
	LeaseTick    time.Duration // lease.Machine.Step(Tick) at the holder
	GroupTick    time.Duration // group.Manager.Step(Tick) with nothing due
	GroupReport  time.Duration // group.Manager.Step(Reported) with an unchanged report
	RoutePick    time.Duration // route.Table: Pick and Completed
	Admit        time.Duration // admit.Controller: Offer and Release
	BudgetUsage  time.Duration // budget.Ledger.Usage with one changed entry
	Claim        time.Duration // claim.State: one call, from Arrived until its outcome is recorded
	ConfigChange time.Duration // config.State: adopting one change of the whole document
	ReportsPull  time.Duration // probe.Table, probe.Follower and encoding: one pull of reports from a prober, both sides
	Probe        time.Duration // endpoint.Client.Report, including the stand-in engine
	StreamEvent  time.Duration // gateway: one streamed event through an entry VM
	// Idle is the fraction of a core that a whole daemon takes with one engine
	// and no requests.
	Idle float64
}

// Bytes holds the sizes of messages, in bytes. The page shows the names of the
// fields.
type Bytes struct {
	CallHeader int // a call between entry VMs without its bodies, both directions
	Probe      int // a probe of an engine, both directions
	Digest     int // config.Digest
	Usage      int // budget.Usage with one entry
	Promise    int // lease.PromiseRequest and lease.PromiseReply
	Order      int // member.Order to a member of a group, and its answer
	Change     int // config.Change of one VM
	Document   int // config.Snapshot
	Group      int // the members of a group, as gossip spreads them
}

// Memory holds the sizes of rows in memory, in bytes. The page shows the names
// of the fields.
type Memory struct {
	Document   int // inventory.Document of all VMs
	GossipNode int // gossip.Table, per node
	GroupVM    int // group.Manager, per VM, with its share of its group
	Report     int // group.Reports, per VM
	RoutePeer  int // route.Table, per node or data centre of a target
	LedgerRow  int // budget.Ledger, per endpoint, with its holders
	ClaimEntry int // claim.State, per call in flight
}

// Traffic is what control sends and receives for a number of entry VMs, in
// bytes per second and node.
type Traffic struct {
	GossipWithin  float64
	GossipBetween float64
	// GossipMost is the highest gossip traffic of any node.
	GossipMost  float64
	Reports     float64 // relayed reports at a node that is not the coordinator
	Coordinator float64 // pulls of reports at the coordinator
	// CPU is the mean fraction of a core that gossip, reports and their
	// encoding take at a node, including coordinators.
	CPU float64
	// MostProbed is the highest number of VMs that a node is the first prober of.
	MostProbed int
}
