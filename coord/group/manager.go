package group

import "time"

// stage is what the manager is doing.
type stage uint8

const (
	stageOff         stage = iota // holds no lease
	stageReconciling              // compares the row with the reports
	stageActive                   // decides
)

// maxRounds bounds how often one step looks at what its own decisions
// changed; the rest waits for the next step.
const maxRounds = 8

// Manager decides the groups of one data centre while its node holds the
// coordinator lease.
type Manager struct {
	opts  Options
	stage stage

	number  uint64 // of the configuration
	dcOut   bool
	dcStop  bool
	leaving []string
	stops   map[string]bool
	// groupStops holds the members of each group at its planned stop.
	groupStops map[string][]string

	vms      map[string]*vm
	vmList   []*vm // by name
	domains  map[string]*domain
	domList  []*domain // by name
	models   map[string]*modelState
	order    []*modelState // in document order
	smallest int           // size of the smallest group that may run here
	groups   []*groupState // by ID
	byID     map[string]*groupState
	roomy    []*domain // with free VMs for a group, by name
	strays   map[strayKey]*stray

	ages         ageList
	alarms       alarmHeap
	alarmSeq     uint64
	dirtyVMs     []*vm
	dirtyGroups  []*groupState
	dirtyDomains []*domain
	dirtyStrays  []*stray
	unbalanced   bool      // the number of groups may differ from the wanted one
	balanceAt    time.Time // when to look at it again; zero if not needed

	term         uint64
	fencer       Fencer
	unfencedFrom time.Time
	gainedAt     time.Time
	// listeningFrom is since when the VMs' silence counts: when the manager
	// began to decide, or came back from a pause of its own.
	listeningFrom time.Time
	steppedAt     time.Time
	unseen        int    // VMs without a report since gainedAt
	generations   uint64 // made in this term
	newest        uint64 // highest generation seen

	row         rowState
	writes      uint64 // of the row, for its tokens
	awaitingRow []*groupState
	queue       []*groupState // waits for a load slot
	loads       int
	regroupAt   time.Time // when a regrouping is weighed; zero if nothing changed
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
		strays:  map[strayKey]*stray{},

		groupStops: map[string][]string{},
	}
}

// Step takes in one event and returns what is to be done, in order. Its cost
// follows what the event and the time since the last step changed.
func (m *Manager) Step(now time.Time, ev Event) []Effect {
	m.effects = nil
	if now.Sub(m.steppedAt) >= m.opts.ReportTTL && m.opts.enabled(OwnPause) {
		m.resume(now)
	}
	m.steppedAt = now
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

// resume goes on after a pause of the manager's own.
func (m *Manager) resume(now time.Time) {
	m.listeningFrom = now
	if m.stage == stageReconciling {
		m.awaitReports(now)
	}
}

// Visits returns the number of table rows that all steps so far have looked
// at.
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
		m.gain(now, ev)
	case LeaseLost:
		m.lose(now)
	case RowRead:
		m.rowRead(now, ev)
	case RowReadFailed:
		m.rowReadFailed(now)
	case RowWritten:
		m.rowWritten(now, ev)
	case Reported:
		m.reported(now, &ev)
	case *Reported:
		m.reported(now, ev)
	case ProbeRefused:
		m.probeRefused(now, ev)
	case OrderDone:
		m.orderDone(now, ev)
	case LeavingVMs:
		m.leavingVMs(now, ev)
	case StopRequested:
		m.requestStop(now, ev)
	case StopCancelled:
		m.cancelStop(now, ev)
	}
}

// decide runs the systems over what is marked, until nothing is.
func (m *Manager) decide(now time.Time) {
	for range maxRounds {
		if !m.round(now) {
			break
		}
	}
	m.regroup(now)
	m.startLoads(now)
	for _, v := range m.dirtyVMs {
		v.dirty = false
		m.visits++
		m.drive(v, now)
	}
	m.dirtyVMs = m.dirtyVMs[:0]
}

// round runs each system once and reports whether there was anything to do.
func (m *Manager) round(now time.Time) bool {
	if len(m.dirtyStrays)+len(m.dirtyGroups)+len(m.dirtyDomains) == 0 && !m.unbalanced {
		return false
	}
	m.adoptStrays(now)
	m.assessGroups(now)
	if m.unbalanced {
		m.unbalanced = false
		m.balance(now)
	}
	m.visitDomains(now)
	return true
}

// assessGroups looks at each marked group.
func (m *Manager) assessGroups(now time.Time) {
	dirty := m.dirtyGroups
	m.dirtyGroups = nil
	for _, g := range dirty {
		g.dirty = false
		if !g.gone {
			m.visits++
			m.assess(g, now)
		}
	}
	if m.dirtyGroups == nil {
		m.dirtyGroups = dirty[:0]
	}
}

// visitDomains repairs and assembles in each marked domain.
func (m *Manager) visitDomains(now time.Time) {
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
	if len(dirty) > 0 && !m.closed() {
		m.assemble(now)
	}
}

// closed reports whether no groups may be formed or repaired.
func (m *Manager) closed() bool {
	return m.dcOut || m.dcStop
}
