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
	// DataCentre is the data centre whose groups a Manager decides.
	DataCentre string
	// ReportTTL is how long a report counts as fresh, measured from the
	// sending of its probe. All nodes of a data centre use the same value.
	ReportTTL time.Duration
	// ReconcileGrace is the longest time that a new coordinator waits for the
	// table's row and for a report of every VM before its first order.
	ReconcileGrace time.Duration
	// RepairGrace is how long a silent member may pause before it is replaced.
	RepairGrace time.Duration
	// RegroupAfter is how long a shortage must last before a group is
	// dissolved to make room for another.
	RegroupAfter time.Duration
	// OrderTimeout is how long an answer to an order is awaited. It is also
	// the pause before an order is repeated.
	OrderTimeout time.Duration
	// OrderMaxDelay is the longest time after sending in which an order may
	// still take effect on a VM that does not check fencing.
	OrderMaxDelay time.Duration
	// LoadTimeout is how long a group may take to become whole.
	LoadTimeout time.Duration
	// LoadBackoff is how long a VM is not used after it failed to load.
	LoadBackoff time.Duration
	// DrainSettle is how long routers may take to learn of a drain. DrainGrace
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
	// MaxLoads bounds the number of groups that load weights at the same time.
	MaxLoads int
	// Disable switches mechanisms off, for tests and measurements.
	Disable Mechanism
}

// Mechanism is a set of safeguards and rules that Options can switch off.
type Mechanism uint32

// Mechanisms.
const (
	// LeaveBeforeJoin: a VM is ordered to join only after it has reported that
	// it left its previous group.
	LeaveBeforeJoin Mechanism = 1 << iota
	// RejoinWait: a VM that left a group joins another only after every older
	// report of it has expired on all nodes.
	RejoinWait
	// FenceWait: VMs that don't check fencing get no order until the previous
	// coordinator's orders can no longer take effect.
	FenceWait
	// Reconcile: a new coordinator adopts the running groups.
	Reconcile
	// TermGeneration: generations contain the coordinator's term.
	TermGeneration
	// PauseGrace: a silent member has RepairGrace to return before it is
	// replaced.
	PauseGrace
	// LoadLimit: at most MaxLoads groups load at once.
	LoadLimit
	// WriteBeforeJoin: a group is written to the row before its first join
	// order, as long as the table can be reached.
	WriteBeforeJoin
	// Spares: broken groups are repaired with VMs that are in no group.
	Spares
	// Regroup: groups are merged or dissolved where other groups gain more
	// from their VMs.
	Regroup
	// StragglerSwap: stragglers and members that pause often are replaced.
	StragglerSwap
	// GracefulDrain: a group finishes its work in flight before a planned
	// change.
	GracefulDrain
	// DiscountOwnPause: time in which the coordinator itself was paused does
	// not count as silence of the VMs.
	DiscountOwnPause
	// MatchPlace: a group is whole only if its members' reports name the
	// group, generation, model and rank.
	MatchPlace
)

func (o Options) enabled(m Mechanism) bool {
	return o.Disable&m == 0
}

// withDefaults returns the options with zero values replaced by the defaults.
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
