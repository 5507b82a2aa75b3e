package capacity

import "time"

// Size is a size of the system with the load and the failure rates that it is
// planned for.
type Size struct {
	Nodes         int // entry VMs
	VMs           int // endpoint VMs
	DataCentres   int
	Regions       int
	GroupSize     int
	RequestsPerS  float64
	TokensPerS    float64
	ChangesPerDay float64 // of the configuration
	// FailuresPerDay and RestartsPerDay count VMs.
	FailuresPerDay float64
	RestartsPerDay float64
}

// Design is the size that the system is designed for.
var Design = Size{
	Nodes: 920, VMs: 12_000, DataCentres: 29, Regions: 8, GroupSize: 32,
	RequestsPerS: 16_000, TokensPerS: 5_900_000, ChangesPerDay: 14_000,
	FailuresPerDay: 110, RestartsPerDay: 1_400,
}

// Budgets of control per node.
const (
	CoreBudget   = 0.032    // fraction of a core
	MemoryBudget = 64 << 20 // bytes
	ByteBudget   = 4_096    // bytes per second, sent and received
	// Budgets of the platform's table.
	ReadBudget  = 2_000 // per second
	WriteBudget = 300   // per second
)

const day = 24 * time.Hour

// PerDataCentre returns the numbers of entry VMs and endpoint VMs of a data
// centre, rounded up, and the number of whole groups that these endpoint VMs
// form.
func (s Size) PerDataCentre() (nodes, vms, groups int) {
	nodes = (s.Nodes + s.DataCentres - 1) / s.DataCentres
	vms = (s.VMs + s.DataCentres - 1) / s.DataCentres
	return nodes, vms, vms / s.GroupSize
}
