package capacity

import "time"

// Slopes are what one event, message or row costs.
type Slopes struct {
	CPU     CPU
	Bytes   Bytes
	Memory  Memory
	Traffic map[int]Traffic // by number of entry VMs
	// LeaseReads and LeaseWrites are a data centre's calls to the platform's
	// table in a second, with the entry VMs of the design size.
	LeaseReads, LeaseWrites float64
}

// CPU holds the processor time of events.
type CPU struct {
	LeaseTick    time.Duration // lease.Machine.Step(Tick) at the holder
	GroupTick    time.Duration // group.Manager.Step(Tick), nothing due
	GroupReport  time.Duration // group.Manager.Step(Reported), unchanged
	RoutePick    time.Duration // route.Table: Pick and Completed
	Admit        time.Duration // admit.Controller: Offer and Release
	BudgetUsage  time.Duration // budget.Ledger.Usage of one changed entry
	Claim        time.Duration // claim.State: one call from Arrived to its recorded outcome
	ConfigChange time.Duration // config.State: adopting one change of the whole document
	ReportsPull  time.Duration // probe.Table, probe.Follower and encoding: a pull of one prober's rows on both sides
	Probe        time.Duration // endpoint.Client.Report, with the engine's stand-in
	StreamEvent  time.Duration // gateway: one streamed event through an entry VM
	// Idle is the part of a core that a whole daemon takes with one engine
	// and no requests.
	Idle float64
}

// Bytes holds the sizes of messages.
type Bytes struct {
	CallHeader int // of a call between entry VMs beside its bodies, both ways
	Probe      int // a probe of an engine, both ways
	Digest     int // config.Digest
	Usage      int // budget.Usage with one entry
	Promise    int // lease.PromiseRequest and lease.PromiseReply
	Order      int // member.Order of a group's member, and its answer
	Change     int // config.Change of one VM
	Document   int // config.Snapshot
	Group      int // a group as spread
}

// Memory holds the sizes of rows in memory, in bytes.
type Memory struct {
	Document   int // inventory.Document of all VMs
	GossipNode int // gossip.Table, each node
	GroupVM    int // group.Manager, each VM with its part of its group
	Report     int // group.Reports, each VM
	RoutePeer  int // route.Table, each node or data centre of a target
	LedgerRow  int // budget.Ledger, each endpoint with its holders
	ClaimEntry int // claim.State, each call under way
}

// Traffic is what control sends and receives at one number of entry VMs, in
// bytes a second for each node.
type Traffic struct {
	GossipWithin  float64
	GossipBetween float64
	// GossipMost is the highest of any node.
	GossipMost  float64
	Reports     float64 // a node that is not the coordinator
	Coordinator float64 // pulls of reports at the coordinator
	// CPU is the part of a core that a node's gossip, reports and their
	// encoding take, coordinators included.
	CPU float64
	// MostProbed is the highest number of VMs of which a node is the first prober.
	MostProbed int
}
