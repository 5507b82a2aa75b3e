package cloud

import (
	"fmt"
	"sync"
	"time"
)

// stallTimeout is how long the head of a group stays stalled after the loss of a
// member before it marks the group broken.
const stallTimeout = 5 * time.Second

// Run is one execution of a request at an endpoint.
type Run struct {
	Endpoint string
	Account  string
	At       time.Time
	// Group lists the members of the endpoint's group, if it has one.
	Group []string
}

// Ledger records which requests the endpoints run and which group rules are
// violated. The endpoints of one site share it. The recording methods
// do nothing on a nil Ledger.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string][]Run // by request ID
	violations []string
	groups     map[groupName]*groupRecord
}

type groupName struct {
	name  string
	epoch uint64
}

// groupNameOf returns the name and epoch of an engine's membership, or the zero
// value for nil.
func groupNameOf(group map[string]any) groupName {
	if group == nil {
		return groupName{}
	}
	return groupName{group["name"].(string), group["epoch"].(uint64)}
}

type groupRecord struct {
	members []string
	ready   map[string]bool // members that have ever been ready
	open    bool            // also while stalled
	stalled chan struct{}   // closed once a member is lost
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string][]Run), groups: make(map[groupName]*groupRecord)}
}

// Runs returns the runs of a request.
func (l *Ledger) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// All calls f with the ID and the runs of each request.
func (l *Ledger) All(f func(id string, runs []Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		f(id, runs)
	}
}

// Violations returns a description of each violation of the group rules.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.violations
}

func (l *Ledger) recordRun(id, endpoint, account string, group groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []string
	if g := l.groups[group]; g != nil {
		members = g.members
	}
	l.runs[id] = append(l.runs[id], Run{endpoint, account, time.Now(), members})
}

func (l *Ledger) group(name groupName) *groupRecord {
	g := l.groups[name]
	if g == nil {
		g = &groupRecord{ready: make(map[string]bool), stalled: make(chan struct{})}
		l.groups[name] = g
	}
	return g
}

// recordJoin records that a VM joins a group. A VM may rejoin its group with
// other members, but joining another group while the head of its old one serves
// is a violation.
func (l *Ledger) recordJoin(vm string, from, to groupName, members []string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.groups[from]; old != nil && from.name != to.name && old.open {
		l.violations = append(l.violations, fmt.Sprintf("%s joins %v while the head of %v serves", vm, to, from))
	}
	l.group(to).members = members
}

func (l *Ledger) recordReady(vm string, name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(name).ready[vm] = true
}

// recordOpen records that a group opens. It is a violation if a member has never
// been ready.
func (l *Ledger) recordOpen(name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	g.open = true
	for _, member := range g.members {
		if !g.ready[member] {
			l.violations = append(l.violations, fmt.Sprintf("%v opens though %s was never ready", name, member))
		}
	}
}

func (l *Ledger) recordClose(name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(name).open = false
}

// recordHeadClose records that a group closes if the membership is that of the
// group's head (rank 0).
func (l *Ledger) recordHeadClose(group map[string]any) {
	if l == nil || group == nil || group["rank"] != 0 {
		return
	}
	l.recordClose(groupNameOf(group))
}

// recordLoss records that a group has lost a member by a restart, which stalls
// the group.
func (l *Ledger) recordLoss(name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	select {
	case <-g.stalled:
	default:
		close(g.stalled)
	}
}

// stalled returns a channel that is closed once the group is stalled.
func (l *Ledger) stalled(name groupName) <-chan struct{} {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group(name).stalled
}
