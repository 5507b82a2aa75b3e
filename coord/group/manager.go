package group

import "time"

// stage is the manager's stage of coordination.
type stage uint8

const (
	stageOff         stage = iota // holds no lease
	stageReconciling              // reads the row and waits for reports
	stageActive                   // decides on groups and sends orders
)

// maxRounds bounds the rounds of decisions in one step. Changes that are still
// unprocessed wait for the next step.
const maxRounds = 8

// Manager decides the groups of one data centre while its node holds the
// coordinator lease.
type Manager struct {
	opts  Options
	stage stage

	configNumber uint64 // number of the latest Configuration
	dcOut        bool
	dcStop       bool
	leaving      []string
	stops        map[string]bool
	// groupStops maps a group's ID to its members at the time of its planned
	// stop.
	groupStops map[string][]string

	vms               map[string]*vm
	vmList            []*vm // sorted by name
	domains           map[string]*domain
	domList           []*domain // sorted by name
	models            map[string]*modelState
	modelList         []*modelState // in inventory order
	smallestGroupSize int           // over the models allowed here; 0 if there are none
	groups            []*groupState // sorted by ID
	byID              map[string]*groupState
	candidates        []*domain // domains with enough free VMs for a group, sorted by name
	strays            map[groupKey]*stray

	ages         ageList
	alarms       alarmHeap
	alarmSeq     uint64
	dirtyVMs     []*vm
	dirtyGroups  []*groupState
	dirtyDomains []*domain
	dirtyStrays  []*stray
	unbalanced   bool      // the number of groups may differ from the wanted one
	balanceAt    time.Time // when balance has to run again; zero if not needed

	term         uint64
	fencer       Fencer
	unfencedFrom time.Time
	reportsSince time.Time
	// listeningSince is when the manager began to decide or resumed after a
	// pause of its own. VMs are not considered silent for any time before it.
	listeningSince    time.Time
	lastStepAt        time.Time
	unreported        int    // VMs without a report since reportsSince
	generationCount   uint64 // generations issued in this term
	highestGeneration uint64 // highest generation seen

	row         rowState
	writes      uint64 // row writes so far, for unique tokens
	awaitingRow []*groupState
	queue       []*groupState // groups that wait for a load slot
	loads       int
	regroupAt   time.Time // when regroup may run; zero if not scheduled
	scratch     []time.Duration
	view        []Group
	viewVersion uint64
	visits      uint64
	effects     []Effect
}

// New returns a manager that holds no lease.
func New(opts Options) *Manager {
	return &Manager{
		opts:    opts.withDefaults(),
		stops:   map[string]bool{},
		vms:     map[string]*vm{},
		domains: map[string]*domain{},
		models:  map[string]*modelState{},
		byID:    map[string]*groupState{},
		strays:  map[groupKey]*stray{},

		groupStops: map[string][]string{},
	}
}

// Step processes one event and returns the effects to carry out, in order. Its
// cost is proportional to what changed through the event and the time since
// the last step.
func (m *Manager) Step(now time.Time, ev Event) []Effect {
	m.effects = nil
	if now.Sub(m.lastStepAt) >= m.opts.ReportTTL && m.opts.enabled(DiscountOwnPause) {
		m.handleOwnPause(now)
	}
	m.lastStepAt = now
	m.handle(now, ev)
	m.expireReports(now)
	m.fireAlarms(now)
	if m.stage == stageReconciling {
		m.reconcile(now)
	}
	if !m.balanceAt.IsZero() && !now.Before(m.balanceAt) {
		m.balanceAt = time.Time{}
		m.unbalanced = true
	}
	if m.stage == stageActive {
		m.decide(now)
	}
	if m.stage != stageOff {
		_, tick := ev.(Tick)
		m.stepRow(now, tick)
	}
	return m.effects
}

// handleOwnPause restarts the measurement of the VMs' silence after the
// manager itself was paused.
func (m *Manager) handleOwnPause(now time.Time) {
	m.listeningSince = now
	if m.stage == stageReconciling {
		m.awaitReports(now)
	}
}

// Visits returns the total number of table entries that all steps so far have
// visited.
func (m *Manager) Visits() uint64 {
	return m.visits
}

func (m *Manager) emit(e Effect) {
	m.effects = append(m.effects, e)
}

func (m *Manager) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Configuration:
		m.configure(now, ev)
	case LeaseGained:
		m.startCoordinating(now, ev)
	case LeaseLost:
		m.stopCoordinating(now)
	case RowRead:
		m.handleRowRead(now, ev)
	case RowReadFailed:
		m.handleRowReadFailed(now)
	case RowWritten:
		m.handleRowWritten(now, ev)
	case Reported:
		m.handleReport(now, &ev)
	case *Reported:
		m.handleReport(now, ev)
	case ProbeRefused:
		m.handleProbeRefused(now, ev)
	case OrderDone:
		m.handleOrderDone(now, ev)
	case LeavingVMs:
		m.setLeavingVMs(now, ev)
	case StopRequested:
		m.requestStop(now, ev)
	case StopCancelled:
		m.cancelStop(now, ev)
	}
}

// decide runs rounds of decisions until nothing is marked for evaluation, at most
// maxRounds of them, and then sends the marked VMs the orders that they need.
func (m *Manager) decide(now time.Time) {
	for range maxRounds {
		if !m.decideOnce(now) {
			break
		}
	}
	m.regroup(now)
	m.startLoads(now)
	for _, v := range m.dirtyVMs {
		v.dirty = false
		m.visits++
		m.orderVM(v, now)
	}
	m.dirtyVMs = m.dirtyVMs[:0]
}

// decideOnce runs one round of decisions. It returns false if nothing was
// marked.
func (m *Manager) decideOnce(now time.Time) bool {
	if len(m.dirtyStrays)+len(m.dirtyGroups)+len(m.dirtyDomains) == 0 && !m.unbalanced {
		return false
	}
	m.adoptStrays(now)
	m.assessGroups(now)
	if m.unbalanced {
		m.unbalanced = false
		m.balance(now)
	}
	m.updateDomains(now)
	return true
}

// assessGroups assesses each marked group.
func (m *Manager) assessGroups(now time.Time) {
	dirty := m.dirtyGroups
	m.dirtyGroups = nil
	for _, g := range dirty {
		g.dirty = false
		if !g.removed {
			m.visits++
			m.assess(g, now)
		}
	}
	if m.dirtyGroups == nil {
		m.dirtyGroups = dirty[:0]
	}
}

// updateDomains repairs groups in each marked domain and then forms new ones.
func (m *Manager) updateDomains(now time.Time) {
	dirty := m.dirtyDomains
	m.dirtyDomains = nil
	for _, d := range dirty {
		d.dirty = false
		m.visits++
		m.repairDomain(d, now)
	}
	if m.dirtyDomains == nil {
		m.dirtyDomains = dirty[:0]
	}
	if len(dirty) > 0 && !m.isClosed() {
		m.assemble(now)
	}
}

// isClosed reports whether no groups may be formed or repaired.
func (m *Manager) isClosed() bool {
	return m.dcOut || m.dcStop
}
