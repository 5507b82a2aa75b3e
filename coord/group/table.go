package group

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// vm is one VM of the data centre that runs a model engine.
type vm struct {
	name          string
	domain        *domain
	checksFencing bool

	out      bool // taken out in the inventory
	leaving  bool // on the platform's list of leaving VMs
	stopping bool // a planned stop was asked for
	gone     bool // no longer in the inventory
	released bool // a released notice was given

	seen    bool // a report was seen since the lease was gained
	known   bool // a report was seen
	fresh   bool // the report is within its TTL
	refused bool // the last probe's connection was refused
	report  member.Report
	sentAt  time.Time
	// refusedAt is when the last refused probe was sent.
	refusedAt time.Time
	// leftAt is when the VM was first seen in no group.
	leftAt time.Time

	group  *groupState
	rank   int
	ready  bool // counted in group.ready
	placed bool // was seen in place at the group's generation
	// placedAs is the incarnation that was first seen in place. Another one
	// did not form the group with the other members.
	placedAs string
	stray    *stray
	// ended is the last place that this coordinator took from the VM.
	ended strayKey

	order       sentOrder
	passUntil   time.Time // passed over as a spare until then
	slow        bool      // was replaced as a straggler
	slowSince   time.Time
	pauses      int // that broke its group since pausesFrom
	pausesFrom  time.Time
	free        bool // listed in domain.free
	dirty       bool
	wake        wakeup
	older, next *vm // neighbours in the list by age of report
}

// fit reports whether the VM may be in a group.
func (v *vm) fit() bool {
	return !v.out && !v.leaving && !v.stopping && !v.gone
}

// urgent reports whether the VM's group has to be drained at once.
func (v *vm) urgent() bool {
	return v.out || v.leaving || v.gone
}

// present reports whether an engine answers on the VM.
func (v *vm) present() bool {
	return v.fresh && !v.refused
}

// inPlace reports whether the VM is present and reports its place, in the
// incarnation that took it.
func (v *vm) inPlace() bool {
	return v.present() && placedBy(v) && (!v.placed || v.placedAs == v.report.Incarnation)
}

// domain is one fabric domain of the data centre.
type domain struct {
	name    string
	size    int           // VMs in the inventory
	present int           // VMs that are present
	free    []*vm         // VMs that may join a group, by name
	needy   []*groupState // groups that lack members, by ID
	groups  []*groupState // by ID
	// departing VMs were members of a dissolved group; no group is formed
	// before they are idle or departUntil has passed.
	departing   []*vm
	departUntil time.Time
	// returnedAt is when a silent VM last came back.
	returnedAt time.Time
	// dark is set when fewer than half of the VMs were present, until the
	// ones that come back have done so.
	dark  bool
	dirty bool
}

// modelState is one model and the state of its groups in the data centre.
type modelState struct {
	inventory.Model
	position int  // in the document; earlier ones win ties
	allowed  bool // may run in the data centre
	groups   []*groupState
	whole    int // groups that are whole, not draining and not excluded
	excluded int // groups that don't count towards the wanted number
	// planned is the whole group that is changed by a planned stop, a straggler or
	// a configuration; there is one at a time.
	planned *groupState
	// plannedFrom is when the next such change may begin, so that routers
	// have heard that the last one's group is whole.
	plannedFrom time.Time
}

// counted is the number of groups that count towards the wanted number.
func (s *modelState) counted() int {
	return len(s.groups) - s.excluded
}

// unmet reports whether one more group is wanted.
func (s *modelState) unmet() bool {
	return s.allowed && (s.Groups == 0 || s.counted() < s.Groups)
}

// phase is the stage of a group.
type phase uint8

const (
	phaseForming phase = iota // members are to join
	phaseWhole                // every member is in place
	phaseBroken               // was whole, and a member is missing
)

// groupState is a group with what the coordinator knows of it.
type groupState struct {
	Group
	model   *modelState
	domain  *domain
	members []*vm
	phase   phase
	since   time.Time // when the phase began
	ready   int       // members in place and Ready
	need    int       // members to be replaced or paused
	gone    bool      // dissolved
	counts  bool      // counted in model.whole
	// excluded groups don't count towards the wanted number: they lack
	// spares, or are to be replaced by another group.
	excluded   bool
	excludedAt time.Time
	servedOnce bool // was whole at an earlier generation
	failures   int  // loads that timed out
	reload     bool // needs a new generation though no member is at fault

	queued   bool // waits for a load slot
	loading  bool // holds a load slot
	loadFrom time.Time

	cause   drainCause
	then    drainThen
	drainAt time.Time
	drained bool

	version  uint64 // of the table when the group last changed
	awaiting bool   // listed in Manager.awaitingRow

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

// touch brings everything derived from a VM's report and flags up to date.
func (m *Manager) touch(v *vm, now time.Time) {
	m.visits++
	m.touchReady(v)
	m.touchStray(v, now)
	m.touchFree(v, now)
	m.touchReleased(v)
}

func (m *Manager) touchReady(v *vm) {
	inPlace := v.inPlace()
	if inPlace && !v.placed {
		v.placed, v.placedAs = true, v.report.Incarnation
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

func (m *Manager) touchFree(v *vm, now time.Time) {
	free := v.present() && v.fit() && v.group == nil && v.report.Group == ""
	if free && now.Before(v.passUntil) {
		m.wakeVM(v, v.passUntil)
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
	m.touchRoomy(d)
	m.markDomain(d)
}

// touchRoomy keeps the list of domains that may hold one more group.
func (m *Manager) touchRoomy(d *domain) {
	if m.smallest > 0 && len(d.free) >= m.smallest {
		m.roomy = insertSorted(m.roomy, d, byDomainName)
	} else {
		m.roomy = removeSorted(m.roomy, d, byDomainName)
	}
}

func byDomainName(a, b *domain) int { return strings.Compare(a.name, b.name) }

// touchReleased tells operators that a VM which is to go may be stopped.
func (m *Manager) touchReleased(v *vm) {
	if v.fit() {
		v.released = false
		return
	}
	idle := v.group == nil && (!v.present() || v.report.Group == "")
	if m.stage != stageActive || v.released || v.gone || !idle {
		return
	}
	v.released = true
	m.emit(Progress{Notice: NoticeReleased, VM: v.name})
}

// assign puts a VM into a group at a rank.
func (m *Manager) assign(v *vm, g *groupState, rank int, now time.Time) {
	v.group, v.rank = g, rank
	v.ready, v.placed = false, false
	v.slowSince = time.Time{}
	v.pauses = 0
	m.touch(v, now)
	m.markVM(v)
}

// unassign takes a VM out of its group.
func (m *Manager) unassign(v *vm, now time.Time) {
	if v.group == nil {
		return
	}
	if v.ready {
		v.group.ready--
	}
	v.group, v.rank = nil, 0
	v.ready, v.placed = false, false
	m.touch(v, now)
	m.markVM(v)
}
