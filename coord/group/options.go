package group

import (
	"cmp"
	"time"
)

// Default values of Options.
const (
	DefaultReportTTL      = 3 * time.Second
	DefaultReconcileGrace = 5 * time.Second
	DefaultRepairGrace    = 10 * time.Second
	DefaultRegroupAfter   = 30 * time.Second
	DefaultOrderTimeout   = 5 * time.Second
	DefaultOrderMaxDelay  = 15 * time.Second
	DefaultLoadTimeout    = 10 * time.Minute
	DefaultLoadBackoff    = 30 * time.Second
	DefaultDrainSettle    = 3 * time.Second
	DefaultDrainGrace     = 60 * time.Second
	DefaultRowRetry       = time.Second
	DefaultStragglerAfter = 30 * time.Second
	DefaultStragglerRatio = 2.0
	DefaultMaxLoads       = 4
	DefaultPauseWindow    = 10 * time.Minute
	DefaultMaxPauses      = 3
)

// Options configures Reports and Manager. Zero values take the defaults.
type Options struct {
	// DataCentre is the one whose groups a Manager decides.
	DataCentre string
	// ReportTTL is how long a report counts as fresh after its probe was
	// sent. All nodes of a data centre use the same value.
	ReportTTL time.Duration
	// ReconcileGrace is how long a new coordinator waits at most for the
	// table's row and for a report of every VM before its first order.
	ReconcileGrace time.Duration
	// RepairGrace is how long a silent member may pause before it is replaced.
	RepairGrace time.Duration
	// RegroupAfter is how long a lack must last before a group is dissolved
	// for the sake of another.
	RegroupAfter time.Duration
	// OrderTimeout is how long an order without an answer is waited for, and
	// the pause between two orders to one VM.
	OrderTimeout time.Duration
	// OrderMaxDelay is how long after its sending an order may still take
	// effect at a VM that does not check fencing.
	OrderMaxDelay time.Duration
	// LoadTimeout is how long a group may take to become whole.
	LoadTimeout time.Duration
	// LoadBackoff is how long a VM that failed to load is passed over.
	LoadBackoff time.Duration
	// DrainSettle is how long routers may take to hear of a drain; DrainGrace
	// is how long the work in flight may take to finish.
	DrainSettle time.Duration
	DrainGrace  time.Duration
	// RowRetry is the pause after a failed read or write of the row.
	RowRetry time.Duration
	// A member is a straggler once its step latency has been above
	// StragglerRatio times its peers' median for StragglerAfter.
	StragglerAfter time.Duration
	StragglerRatio float64
	// A member that paused MaxPauses times within PauseWindow, and broke its
	// group each time, is replaced like a straggler.
	PauseWindow time.Duration
	MaxPauses   int
	// MaxLoads bounds the groups that load weights at the same time.
	MaxLoads int
	// Disable switches mechanisms off, for tests and measurements.
	Disable Mechanism
}

// Mechanism is a set of safeguards and rules that Options can switch off.
type Mechanism uint32

// Mechanisms.
const (
	// ReportedLeave: a VM joins only after its own report says that it left.
	ReportedLeave Mechanism = 1 << iota
	// RejoinWait: a VM that left joins only when every older report of it
	// has expired on all nodes.
	RejoinWait
	// FenceWait: VMs that don't check fencing get no order before the
	// earlier coordinator's orders have run out.
	FenceWait
	// Reconcile: a new coordinator adopts the running groups.
	Reconcile
	// TermGeneration: generations hold the term.
	TermGeneration
	// PauseGrace: a silent member gets time to come back.
	PauseGrace
	// LoadLimit: at most MaxLoads groups load at once.
	LoadLimit
	// WriteFirst: a group's row is written before its first join order while
	// the table can be reached.
	WriteFirst
	// Spares: broken groups are repaired with VMs that are in no group.
	Spares
	// Regroup: groups are dissolved for the sake of others where it pays.
	Regroup
	// StragglerSwap: stragglers and members that pause often are replaced.
	StragglerSwap
	// GracefulDrain: a group finishes its work before planned changes.
	GracefulDrain
	// OwnPause: the time in which the coordinator itself stood still does not
	// count as silence of the VMs.
	OwnPause
	// MatchPlace: only reports that name the group, generation, model and
	// rank make a group whole.
	MatchPlace
)

func (o Options) enabled(m Mechanism) bool {
	return o.Disable&m == 0
}

// withDefaults fills in the zero values.
func (o Options) withDefaults() Options {
	o.ReportTTL = cmp.Or(o.ReportTTL, DefaultReportTTL)
	o.ReconcileGrace = cmp.Or(o.ReconcileGrace, DefaultReconcileGrace)
	o.RepairGrace = cmp.Or(o.RepairGrace, DefaultRepairGrace)
	o.RegroupAfter = cmp.Or(o.RegroupAfter, DefaultRegroupAfter)
	o.OrderTimeout = cmp.Or(o.OrderTimeout, DefaultOrderTimeout)
	o.OrderMaxDelay = cmp.Or(o.OrderMaxDelay, DefaultOrderMaxDelay)
	o.LoadTimeout = cmp.Or(o.LoadTimeout, DefaultLoadTimeout)
	o.LoadBackoff = cmp.Or(o.LoadBackoff, DefaultLoadBackoff)
	o.DrainSettle = cmp.Or(o.DrainSettle, DefaultDrainSettle)
	o.DrainGrace = cmp.Or(o.DrainGrace, DefaultDrainGrace)
	o.RowRetry = cmp.Or(o.RowRetry, DefaultRowRetry)
	o.PauseWindow = cmp.Or(o.PauseWindow, DefaultPauseWindow)
	o.StragglerAfter = cmp.Or(o.StragglerAfter, DefaultStragglerAfter)
	if o.StragglerRatio == 0 {
		o.StragglerRatio = DefaultStragglerRatio
	}
	if o.MaxPauses == 0 {
		o.MaxPauses = DefaultMaxPauses
	}
	if o.MaxLoads == 0 {
		o.MaxLoads = DefaultMaxLoads
	}
	return o
}
