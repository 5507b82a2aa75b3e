package group

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// vm is the state of one VM of the data centre that runs a model engine.
type vm struct {
	name          string
	domain        *domain
	checksFencing bool

	out             bool // marked out in the inventory
	leaving         bool // on the platform's list of leaving VMs
	stopping        bool // a planned stop is requested
	removed         bool // no longer in the inventory
	releaseNotified bool // NoticeReleased has been emitted

	reported  bool // has reported since Manager.reportsSince
	hasReport bool // has reported at least once
	fresh     bool // the report is younger than ReportTTL
	refused   bool // the last probe's connection was refused
	report    member.Report
	sentAt    time.Time
	// refusedAt is when the last refused probe was sent.
	refusedAt time.Time
	// leftAt is when the VM was first seen without a group.
	leftAt time.Time

	group      *groupState
	rank       int
	ready      bool // counted in groupState.ready
	wasInPlace bool // has been in place at the group's generation
	// placeIncarnation is the engine incarnation that was first seen in place.
	// A later incarnation is not part of the group that the members formed.
	placeIncarnation string
	stray            *stray
	// revoked is the last group and generation that this coordinator ended while
	// the VM was a member.
	revoked groupKey

	lastOrder    sentOrder
	skipUntil    time.Time // not used as a spare before this time
	wasStraggler bool      // has been replaced as a straggler
	slowSince    time.Time
	pauses       int // pauses since pausesSince that broke the group
	pausesSince  time.Time
	free         bool // listed in domain.free
	dirty        bool
	wake         wakeup
	older, newer *vm // neighbours in ageList
}

// isEligible reports whether the VM may be in a group.
func (v *vm) isEligible() bool {
	return !v.out && !v.leaving && !v.stopping && !v.removed
}

// needsUrgentDrain reports whether the VM's group has to be drained at once.
func (v *vm) needsUrgentDrain() bool {
	return v.out || v.leaving || v.removed
}

// isPresent reports whether the VM has a fresh report and accepts connections.
func (v *vm) isPresent() bool {
	return v.fresh && !v.refused
}

// isInPlace reports whether the VM is present and reports its assigned place,
// with the incarnation that first took it.
func (v *vm) isInPlace() bool {
	return v.isPresent() && reportMatchesPlace(v) && (!v.wasInPlace || v.placeIncarnation == v.report.Incarnation)
}

// domain is the state of one fabric domain of the data centre.
type domain struct {
	name       string
	size       int           // number of VMs in the inventory
	present    int           // number of VMs that are present
	free       []*vm         // VMs that may join a group, by name
	incomplete []*groupState // groups that lack members, by ID
	groups     []*groupState // by ID
	// departing lists former members of dissolved groups. No group is formed
	// until they are idle or departUntil has passed.
	departing   []*vm
	departUntil time.Time
	// returnedAt is when a silent VM last became present again.
	returnedAt time.Time
	// outage is set when fewer than half of the VMs are present. It is cleared
	// once no VM has returned for RepairGrace.
	outage bool
	dirty  bool
}

// modelState is one model and the state of its groups in the data centre.
type modelState struct {
	inventory.Model
	position int  // position in the inventory; the earlier model wins ties
	allowed  bool // may run in this data centre
	groups   []*groupState
	whole    int // number of groups that are whole, not draining and not excluded
	excluded int // number of groups that don't count towards the wanted number
	// planned is the whole group that is being changed because of a planned
	// stop, a straggler, a regrouping or a configuration change. Each model
	// has at most one.
	planned *groupState
	// nextPlannedAt is when the next planned change may begin. It gives
	// routers time to learn that the previously changed group is whole.
	nextPlannedAt time.Time
}

// countedGroups returns the number of groups that count towards the wanted
// number.
func (s *modelState) countedGroups() int {
	return len(s.groups) - s.excluded
}

// hasFormingGroup reports whether any group of the model is forming.
func (s *modelState) hasFormingGroup() bool {
	for _, g := range s.groups {
		if g.phase == phaseForming {
			return true
		}
	}
	return false
}

// wantsGroup reports whether one more group is wanted.
func (s *modelState) wantsGroup() bool {
	return s.allowed && (s.Groups == 0 || s.countedGroups() < s.Groups)
}

// phase is the stage of a group's life.
type phase uint8

const (
	phaseForming phase = iota // the members load or have yet to join
	phaseWhole                // every member is in place
	phaseBroken               // a member is missing, or loading failed
)

// groupState is a group and the coordinator's state of it.
type groupState struct {
	Group
	model         *modelState
	domain        *domain
	members       []*vm
	phase         phase
	since         time.Time // start of the phase
	ready         int       // number of members in place and Ready
	need          int       // number of members that are paused or to be replaced
	removed       bool      // no longer in Manager.groups
	countsAsWhole bool      // counted in modelState.whole
	// excluded groups don't count towards the wanted number: they lack spares,
	// or another group is to replace them.
	excluded     bool
	excludedAt   time.Time
	servedBefore bool // was whole at an earlier generation
	failures     int  // number of loads that timed out
	reload       bool // needs a new generation although no member is at fault

	queued        bool // in Manager.queue
	loading       bool // holds a load slot
	loadStartedAt time.Time

	cause          drainCause
	afterDrain     drainAction
	drainStartedAt time.Time
	drained        bool

	version     uint64 // table version of the group's last change
	awaitingRow bool   // listed in Manager.awaitingRow

	median   time.Duration
	medianAt time.Time
	dirty    bool
	wake     wakeup
}

func byName(a, b *vm) int { return strings.Compare(a.name, b.name) }

func byID(a, b *groupState) int { return strings.Compare(a.ID, b.ID) }

func insertSorted[T any](s []T, x T, cmp func(a, b T) int) []T {
	i, found := slices.BinarySearchFunc(s, x, cmp)
	if found {
		return s
	}
	return slices.Insert(s, i, x)
}

func removeSorted[T any](s []T, x T, cmp func(a, b T) int) []T {
	i, found := slices.BinarySearchFunc(s, x, cmp)
	if !found {
		return s
	}
	return slices.Delete(s, i, i+1)
}

func (m *Manager) markVM(v *vm) {
	if !v.dirty {
		v.dirty = true
		m.dirtyVMs = append(m.dirtyVMs, v)
	}
}

func (m *Manager) markGroup(g *groupState) {
	if g != nil && !g.dirty {
		g.dirty = true
		m.dirtyGroups = append(m.dirtyGroups, g)
	}
}

func (m *Manager) markDomain(d *domain) {
	if d != nil && !d.dirty {
		d.dirty = true
		m.dirtyDomains = append(m.dirtyDomains, d)
	}
}

// updateDerived recomputes all state that is derived from a VM's report and
// flags.
func (m *Manager) updateDerived(v *vm, now time.Time) {
	m.visits++
	m.updateReady(v)
	m.updateStray(v, now)
	m.updateFree(v, now)
	m.notifyReleased(v)
}

func (m *Manager) updateReady(v *vm) {
	inPlace := v.isInPlace()
	if inPlace && !v.wasInPlace {
		v.wasInPlace, v.placeIncarnation = true, v.report.Incarnation
	}
	ready := inPlace && v.report.State == member.Ready
	if v.group == nil || ready == v.ready {
		return
	}
	v.ready = ready
	if ready {
		v.group.ready++
	} else {
		v.group.ready--
	}
	m.markGroup(v.group)
}

func (m *Manager) updateFree(v *vm, now time.Time) {
	free := v.isPresent() && v.isEligible() && v.group == nil && v.report.Group == ""
	if free && now.Before(v.skipUntil) {
		m.wakeVMAt(v, v.skipUntil)
		free = false
	}
	if free == v.free {
		return
	}
	v.free = free
	d := v.domain
	if free {
		d.free = insertSorted(d.free, v, byName)
	} else {
		d.free = removeSorted(d.free, v, byName)
	}
	m.updateCandidate(d)
	m.markDomain(d)
}

// updateCandidate adds the domain to the candidates for one more group, or
// removes it.
func (m *Manager) updateCandidate(d *domain) {
	if m.smallestGroupSize > 0 && len(d.free) >= m.smallestGroupSize {
		m.candidates = insertSorted(m.candidates, d, byDomainName)
	} else {
		m.candidates = removeSorted(m.candidates, d, byDomainName)
	}
}

func byDomainName(a, b *domain) int { return strings.Compare(a.name, b.name) }

// notifyReleased emits a notice that a VM which must not be in a group may be
// stopped.
func (m *Manager) notifyReleased(v *vm) {
	if v.isEligible() {
		v.releaseNotified = false
		return
	}
	idle := v.group == nil && (!v.isPresent() || v.report.Group == "")
	if m.stage != stageActive || v.releaseNotified || v.removed || !idle {
		return
	}
	v.releaseNotified = true
	m.emit(Progress{Notice: NoticeReleased, VM: v.name})
}

// assign makes a VM a member of a group at a rank.
func (m *Manager) assign(v *vm, g *groupState, rank int, now time.Time) {
	v.group, v.rank = g, rank
	v.ready, v.wasInPlace = false, false
	v.slowSince = time.Time{}
	v.pauses = 0
	m.updateDerived(v, now)
	m.markVM(v)
}

// unassign removes a VM from its group.
func (m *Manager) unassign(v *vm, now time.Time) {
	if v.group == nil {
		return
	}
	if v.ready {
		v.group.ready--
	}
	v.group, v.rank = nil, 0
	v.ready, v.wasInPlace = false, false
	m.updateDerived(v, now)
	m.markVM(v)
}
