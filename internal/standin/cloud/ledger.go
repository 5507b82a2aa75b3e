package cloud

import (
	"fmt"
	"sync"
	"time"
)

// stall is how long a head stands still without a member until it gives up.
const stall = 5 * time.Second

// Run is one run of a request at an endpoint.
type Run struct {
	Endpoint string
	Account  string
	At       time.Time
}

// Ledger takes note of what endpoints run and of the rules of groups that are
// broken. It's shared by the endpoints of one site.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string][]Run // by the request's ID
	broken []string
	groups map[groupName]*groupRecord
}

type groupName struct {
	name  string
	epoch uint64
}

// nameOf returns the group of an engine's membership, or none.
func nameOf(group map[string]any) groupName {
	if group == nil {
		return groupName{}
	}
	return groupName{group["name"].(string), group["epoch"].(uint64)}
}

type groupRecord struct {
	members []string
	ready   map[string]bool // members that have been ready at any time
	open    bool            // or standing still
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

// All calls f with each request's ID and runs.
func (l *Ledger) All(f func(id string, runs []Run)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.runs {
		f(id, runs)
	}
}

// Broken returns the broken rules of groups.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

func (l *Ledger) ran(id, endpoint, account string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], Run{endpoint, account, time.Now()})
}

func (l *Ledger) group(name groupName) *groupRecord {
	g := l.groups[name]
	if g == nil {
		g = &groupRecord{ready: make(map[string]bool), stalled: make(chan struct{})}
		l.groups[name] = g
	}
	return g
}

// joins notes that a VM joins a group. It may join the one that it is in anew,
// with other members, but not leave one whose head serves.
func (l *Ledger) joins(vm string, from, to groupName, members []string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.groups[from]; old != nil && from.name != to.name && old.open {
		l.broken = append(l.broken, fmt.Sprintf("%s joins %v while the head of %v serves", vm, to, from))
	}
	l.group(to).members = members
}

func (l *Ledger) becomesReady(vm string, name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(name).ready[vm] = true
}

func (l *Ledger) opens(name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(name)
	g.open = true
	for _, member := range g.members {
		if !g.ready[member] {
			l.broken = append(l.broken, fmt.Sprintf("%v opens though %s was never ready", name, member))
		}
	}
}

func (l *Ledger) closes(name groupName) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(name).open = false
}

// closesHead closes the group of a head's membership, if it is one.
func (l *Ledger) closesHead(group map[string]any) {
	if l == nil || group == nil || group["rank"] != 0 {
		return
	}
	l.closes(nameOf(group))
}

// lost notes that a VM has started again: the group that it was in stands
// still.
func (l *Ledger) lost(name groupName) {
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

// stalled returns a channel that is closed once the group stands still.
func (l *Ledger) stalled(name groupName) <-chan struct{} {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group(name).stalled
}
