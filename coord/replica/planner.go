package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/engineload"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// A member counts as lost after minSilentProbes failed probes over at least
	// silenceTimeout, or refusalTimeout if its host refuses connections. A head needs
	// headSilenceTimeout, because taking its members away cannot be undone. A VM may
	// be silent for a second or so and go on.
	minSilentProbes    = 2
	silenceTimeout     = 1500 * time.Millisecond
	refusalTimeout     = 500 * time.Millisecond
	headSilenceTimeout = 1800 * time.Millisecond
	// maxProbeAge is the maximum age of a VM's last answered probe when it
	// joins a group. It is shorter than the time for which a table prefers
	// reports to rows, so that a stale row cannot make a VM appear free.
	maxProbeAge = 1400 * time.Millisecond
	// retryPause is the delay before a VM is sent another order.
	retryPause = 150 * time.Millisecond
	// answerTimeout limits the wait for an order's answer, in addition to the
	// embedding program's own timeout.
	answerTimeout = 2 * time.Second
	// settleTime is how long an accepted order may take to show in reports.
	settleTime = 400 * time.Millisecond
	// maxReportLag is an upper bound on the age of the figures in a report.
	maxReportLag = 600 * time.Millisecond
	// adoptGrace is how long a group of an earlier planner may be incomplete
	// before its VMs are removed from it.
	adoptGrace = 800 * time.Millisecond
	// adoptTimeout limits the wait for the first answers of all VMs.
	adoptTimeout = 3 * time.Second
	// At the first start, groups are formed once no new VM has appeared for
	// startupQuiet, and after startupTimeout in any case.
	startupQuiet   = 700 * time.Millisecond
	startupTimeout = 4 * time.Second
	// closeTimeout limits the wait for a head to finish its requests.
	closeTimeout = 9 * time.Second
	// donorCloseTimeout is the same limit for a group whose VMs are needed
	// elsewhere.
	donorCloseTimeout = 3 * time.Second
	// stallMargin is added to Options.Stall, after which a stalled head gives
	// up.
	stallMargin = time.Second
	// maxRefusals is how many refused orders a forming group may accumulate.
	maxRefusals = 6
	// openMargin is added to the time that a head needs to start serving.
	openMargin = 300 * time.Millisecond
	// epochBits is the number of low bits of an epoch that number the groups of
	// a term. The bits above hold the term.
	epochBits = 24
)

// Options configures a Planner.
type Options struct {
	// Service is the service whose VMs are planned.
	Service string
	// Epochs numbers the groups. Planners of one term share it.
	Epochs *Epochs
	// Stall is how long a head stalls without one of its members before it
	// gives up.
	Stall time.Duration
	// SpareShare is the fraction of VMs kept out of groups as replacements.
	SpareShare float64
	// LoadWindow limits how many loads start: in any window of this length, no
	// more than the length times the engine's LoadsPerSecond.
	LoadWindow time.Duration
}

// Epochs numbers groups uniquely. Numbers of a later term are higher. One value
// must be used for a whole term, even if the lease lapses and is regained
// within it.
type Epochs struct {
	term, last uint64
}

// NewEpochs returns the epochs of the given term.
func NewEpochs(term uint64) *Epochs { return &Epochs{term: term} }

// Term returns the term of the epochs.
func (e *Epochs) Term() uint64 { return e.term }

func (e *Epochs) next() uint64 {
	e.last++
	return e.term<<epochBits | e.last
}

// Planner plans the groups of one service. It is not safe for concurrent use.
type Planner struct {
	opts   Options
	table  *fleet.Table
	engine *catalog.Engine
	// evacuated holds the data centres that get no requests and no new groups.
	evacuated map[string]bool
	// hasTraffic is whether requests have started. From then on loads are slow
	// and rate-limited. Every planner after the first term assumes that they
	// have.
	hasTraffic bool

	members         map[string]*member
	groups          map[groupKey]*Group
	released        map[groupKey]bool // groups whose members were freed
	incompleteSince map[groupKey]time.Time
	unreachableAt   map[string]time.Time // by data centre
	loadStarts      []time.Time          // recent starts of loads
	demand          demand
	load            shareState
	// workloads holds the mean requests and objectives by model, one per route.
	workloads map[string][]engineload.Workload

	startedAt time.Time
	// rebalancedAt is when groups were last dissolved in favour of another
	// model.
	rebalancedAt time.Time
	// deficitSince is when a model's group count fell below its target.
	deficitSince time.Time
	// lastNewVMAt is when the newest VM appeared.
	lastNewVMAt time.Time
	lastOrder   uint64
	out         []Order
}

// member is a VM with the planner's own state for it.
type member struct {
	*fleet.VM
	// State is the VM's last report to a probe. It shadows the table's state,
	// which may come from an older row.
	fleet.State
	reportedAt time.Time
	pending    *pending
	// retryAt is the earliest time for the next order.
	retryAt time.Time
	// acceptedAt is when the VM last accepted an order or already had its
	// effect.
	acceptedAt time.Time
	// acceptedOrders is the number of orders that the VM is known to have
	// accepted since its start acceptedBorn.
	acceptedOrders uint64
	acceptedBorn   int64
	group          *Group
	// cooldownUntil is when the VM may join another group, if the head of its
	// last one could not be reached.
	cooldownUntil time.Time
	donation      donation
	// groupModel is the model of the last group that this planner formed with the
	// VM or adopted, and modelChangedAt when it last changed.
	groupModel     string
	modelChangedAt time.Time
	// freeSince is when the VM became free, or zero if it is not.
	freeSince time.Time
	// standbyAt is when the VM was last ordered to join a standby group.
	standbyAt time.Time
	// loading is the model that this planner has told the VM to load, or empty.
	loading   string
	loadSince time.Time
}

// New returns a planner over the table. The caller keeps the table up to date.
func New(opts Options, table *fleet.Table) *Planner {
	return &Planner{
		opts: opts, table: table, hasTraffic: opts.Epochs.Term() > 1,
		members:         make(map[string]*member),
		groups:          make(map[groupKey]*Group),
		released:        make(map[groupKey]bool),
		incompleteSince: make(map[groupKey]time.Time),
		unreachableAt:   make(map[string]time.Time),
		demand:          demand{use: make(map[string]float64)},
	}
}

// Configure sets the engine parameters and the data centres that are being
// evacuated.
func (p *Planner) Configure(engine *catalog.Engine, evacuated map[string]bool) {
	p.engine, p.evacuated = engine, evacuated
}

// SetTrafficStarted records that requests have started.
func (p *Planner) SetTrafficStarted() { p.hasTraffic = true }

// Tick runs one planning step and returns the orders to send.
func (p *Planner) Tick(now time.Time) []Order {
	if p.engine == nil {
		return nil
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.sync(now)
	p.adopt(now)
	p.assess(now)
	p.dissolve(now)
	p.advance(now)
	p.sampleDemand(now)
	p.assemble(now)
	p.rebalance(now)
	p.stage(now)
	p.standBy(now)
	out := p.out
	p.out = nil
	return out
}

// sync updates the members from the table of VMs.
func (p *Planner) sync(now time.Time) {
	for _, vm := range p.table.All() {
		if !vm.Engine || vm.Service != p.opts.Service {
			continue
		}
		m := p.members[vm.ID]
		if m == nil {
			m = &member{VM: vm}
			p.members[vm.ID] = m
			p.lastNewVMAt = now
		}
		m.VM = vm
		if m.acceptedBorn != vm.Born {
			m.resetAfterRestart(vm.Born)
		}
		m.updateState()
		if m.pending != nil && now.Sub(m.pending.sentAt) > answerTimeout {
			p.RecordOutcome(now, m.pending.order.ID, m.ID, Unknown)
		}
		m.clearFinishedLoad(now, p.engine)
	}
	for id := range p.members {
		if p.table.Get(id) == nil {
			delete(p.members, id)
		}
	}
}

// updateState copies the state of a new report. Until a VM has answered a
// probe, the state of its row is used.
func (m *member) updateState() {
	if m.ReportedAt.IsZero() || !m.ReportedAt.Equal(m.reportedAt) {
		m.State = m.VM.State
		m.reportedAt = m.ReportedAt
	}
}

func (m *member) resetAfterRestart(born int64) {
	m.acceptedBorn, m.acceptedOrders = born, 0
	m.pending = nil
	m.cooldownUntil, m.retryAt = time.Time{}, time.Time{}
	m.loading = ""
}

// clearFinishedLoad ends a load whose weights are staged, or which has taken
// too long to be still running.
func (m *member) clearFinishedLoad(now time.Time, e *catalog.Engine) {
	if m.loading == "" {
		return
	}
	model := e.Model(m.loading)
	expired := model == nil || now.Sub(m.loadSince) > 4*model.LoadTime
	if expired || m.HasStaged(m.loading) {
		m.loading = ""
	}
}

// acceptedOrderCount returns the number of orders that the VM has accepted.
// This is the reported number, or the planner's own count if that is higher and
// the last order was accepted too recently for the report to include it.
func (m *member) acceptedOrderCount() uint64 {
	if m.reportedAt.Sub(m.acceptedAt) >= maxReportLag {
		return m.Orders
	}
	return max(m.Orders, m.acceptedOrders)
}

// canTakeOrder reports whether the VM can be sent an order.
func (m *member) canTakeOrder(now time.Time) bool { return m.pending == nil && !now.Before(m.retryAt) }

// isSilent reports whether the VM has not answered probes for d. An unlisted VM
// is no longer probed after UnlistedProbed, so the age of its last answer
// decides.
func (m *member) isSilent(now time.Time, d time.Duration) bool {
	if !m.Listed && now.Sub(m.ReportedAt) >= max(d, maxProbeAge) && now.Sub(m.ListedAt) >= UnlistedProbed {
		return true
	}
	if m.Refused {
		d = min(d, refusalTimeout)
	}
	return m.FailedProbes >= minSilentProbes && now.Sub(m.FailedSince) >= d
}

// UnlistedProbed is how long a VM is still probed after the platform removed it
// from its list, even if it doesn't answer.
const UnlistedProbed = 12 * time.Second

// isLeaving reports whether the VM is about to shut down.
func (m *member) isLeaving() bool { return m.Departing() || !m.Listed }

// Groups returns the groups by epoch.
func (p *Planner) Groups() []*Group { return p.sortedGroups() }
