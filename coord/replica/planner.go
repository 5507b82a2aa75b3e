package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// silentProbes and silentFor are what a member's silence must last to
	// count it as lost; a head's must last for headSilentFor, since taking
	// its members away can't be undone.
	silentProbes  = 2
	silentFor     = 500 * time.Millisecond
	headSilentFor = 1200 * time.Millisecond
	// freshFor is how old the last answered probe of a VM may be that joins
	// a group. It is less than the time for which a table prefers reports to
	// rows, so that no old row makes a VM seem free.
	freshFor = 1400 * time.Millisecond
	// retryPause is the pause before a VM gets another order.
	retryPause = 150 * time.Millisecond
	// answerTimeout bounds the wait for an order's answer beyond the
	// embedding program's own timeout.
	answerTimeout = 2 * time.Second
	// settleFor is how long an accepted order may take to show in reports.
	settleFor = 400 * time.Millisecond
	// reportLagMost is more than the age of a report's figures.
	reportLagMost = 600 * time.Millisecond
	// adoptGrace is how long a group of an earlier planner may be
	// incomplete before its VMs are taken out of it.
	adoptGrace = 800 * time.Millisecond
	// adoptMost bounds the wait for the first answers of all VMs.
	adoptMost = 3 * time.Second
	// gatherQuiet is how long no VM may appear at the first start before
	// groups are formed, gatherMost when they are formed all the same.
	gatherQuiet = 700 * time.Millisecond
	gatherMost  = 4 * time.Second
	// closeFor bounds the wait for a head to finish its work.
	closeFor = 9 * time.Second
	// donorCloseFor is the same for a group whose VMs are needed elsewhere.
	donorCloseFor = 3 * time.Second
	// stallMargin is added to the time after which a head that stands still
	// gives up.
	stallMargin = time.Second
	// maxRefusals is how many refused orders a forming group may see.
	maxRefusals = 6
	// openMargin is added to the time that a head takes to serve.
	openMargin = 300 * time.Millisecond
	// epochBits leaves room below the term for the epochs of one planner.
	epochBits = 24
)

// Options set up a Planner.
type Options struct {
	// Service is the service whose VMs are planned for.
	Service string
	// Epochs numbers the groups. Planners of one term share it.
	Epochs *Epochs
	// Stall is how long a head stands still without a member until it gives
	// up.
	Stall time.Duration
	// SpareShare is the part of the VMs that is kept out of groups to
	// replace members.
	SpareShare float64
	// LoadWindow and LoadOverage bound the starts of loads: in any window no
	// more than its length times the rate times the overage.
	LoadWindow time.Duration
}

// Epochs numbers groups, so that no two share a number: those of a later term
// are higher. One value must be used for all of a term, also when the lease
// lapses and is regained within it.
type Epochs struct {
	term, last uint64
}

// NewEpochs returns the epochs of a term.
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
	// evacuated data centres get no work and no new groups.
	evacuated map[string]bool
	// traffic is whether requests have begun, from when on loads are slow and
	// limited. Any planner but the first takes it that they have.
	traffic bool

	members  map[string]*member
	groups   map[groupKey]*Group
	released map[groupKey]bool // groups whose members are free
	strays   map[groupKey]time.Time
	darkAt   map[string]time.Time // by data centre
	loads    []time.Time          // starts of loads
	demand   demand

	started time.Time
	// rebalancedAt is when groups were last given up for another model's.
	rebalancedAt time.Time
	// deficitSince is when a model began to have fewer groups than it should.
	deficitSince time.Time
	// grewAt is when the newest VM appeared.
	grewAt    time.Time
	lastOrder uint64
	out       []Order
}

// member is a VM with what the planner knows beyond its reports.
type member struct {
	*fleet.VM
	// State is what the VM last reported to a probe. It hides that of the
	// table, which may come from a row that is older.
	fleet.State
	heardAt time.Time
	pending *pending
	// retryAt is when the next order may be sent.
	retryAt time.Time
	// settleAt is when the newest order was accepted.
	settleAt time.Time
	// acceptedOrders is the number of orders that the start acceptedBorn is
	// known to have accepted.
	acceptedOrders uint64
	acceptedBorn   int64
	group          *Group
	// coolsUntil is when the VM may join another group, after its head could
	// not be asked.
	coolsUntil time.Time
	promise    promise
	// freeSince is since when the VM could have joined a group, zero if it
	// can't.
	freeSince time.Time
	// loading is the model whose load this planner has started.
	loading   string
	loadSince time.Time
}

// New returns a planner over the table, which the caller keeps up to date.
func New(opts Options, table *fleet.Table) *Planner {
	return &Planner{
		opts: opts, table: table, traffic: opts.Epochs.Term() > 1,
		members:  make(map[string]*member),
		groups:   make(map[groupKey]*Group),
		released: make(map[groupKey]bool),
		strays:   make(map[groupKey]time.Time),
		darkAt:   make(map[string]time.Time),
		demand:   demand{use: make(map[string]float64)},
	}
}

// Configure sets the engine's figures and the data centres that are to get no
// work.
func (p *Planner) Configure(engine *catalog.Engine, evacuated map[string]bool) {
	p.engine, p.evacuated = engine, evacuated
}

// SetTrafficStarted says that requests have begun.
func (p *Planner) SetTrafficStarted() { p.traffic = true }

// Tick runs the systems and returns the orders to send.
func (p *Planner) Tick(now time.Time) []Order {
	if p.engine == nil {
		return nil
	}
	if p.started.IsZero() {
		p.started = now
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
	out := p.out
	p.out = nil
	return out
}

// sync follows the table of VMs.
func (p *Planner) sync(now time.Time) {
	for _, vm := range p.table.All() {
		if !vm.Engine || vm.Service != p.opts.Service {
			continue
		}
		m := p.members[vm.ID]
		if m == nil {
			m = &member{VM: vm}
			p.members[vm.ID] = m
			p.grewAt = now
		}
		m.VM = vm
		if m.acceptedBorn != vm.Born {
			m.restarted(vm.Born)
		}
		m.takeReport()
		if m.pending != nil && now.Sub(m.pending.sentAt) > answerTimeout {
			p.RecordOutcome(now, m.pending.order.ID, m.ID, Unknown)
		}
		m.trackLoad(now, p.engine)
	}
	for id := range p.members {
		if p.table.Get(id) == nil {
			delete(p.members, id)
		}
	}
}

// takeReport takes over the state of a new report. A VM that has not answered
// yet is known by its row.
func (m *member) takeReport() {
	if m.ReportedAt.IsZero() || !m.ReportedAt.Equal(m.heardAt) {
		m.State = m.VM.State
		m.heardAt = m.ReportedAt
	}
}

func (m *member) restarted(born int64) {
	m.acceptedBorn, m.acceptedOrders = born, 0
	m.pending = nil
	m.coolsUntil, m.retryAt = time.Time{}, time.Time{}
	m.loading = ""
}

// trackLoad ends a load that has shown its effect or can't be under way any
// more.
func (m *member) trackLoad(now time.Time, e *catalog.Engine) {
	if m.loading == "" {
		return
	}
	model := e.Model(m.loading)
	late := model == nil || now.Sub(m.loadSince) > 4*model.LoadTime
	if late || m.HasStaged(m.loading) {
		m.loading = ""
	}
}

// accepted returns the number of orders that the VM has accepted: as reported,
// or more if the newest was accepted after the figures of the report.
func (m *member) accepted() uint64 {
	if m.heardAt.Sub(m.settleAt) >= reportLagMost {
		return m.Orders
	}
	return max(m.Orders, m.acceptedOrders)
}

// idle reports whether the VM may get an order.
func (m *member) idle(now time.Time) bool { return m.pending == nil && !now.Before(m.retryAt) }

// silent reports whether the VM has not answered probes for d. One that is no
// longer listed is not probed.
func (m *member) silent(now time.Time, d time.Duration) bool {
	if !m.Listed && now.Sub(m.ReportedAt) >= max(d, freshFor) && now.Sub(m.ListedAt) >= UnlistedProbed {
		return true
	}
	return m.FailedProbes >= silentProbes && now.Sub(m.FailedSince) >= d
}

// UnlistedProbed is how long VMs are to be probed after they were taken off the
// platform's list, also if they don't answer.
const UnlistedProbed = 12 * time.Second

// leaving reports whether the VM is about to end.
func (m *member) leaving() bool { return m.Departing() || !m.Listed }

// Groups returns the groups by epoch, for reports.
func (p *Planner) Groups() []*Group { return p.sorted() }
