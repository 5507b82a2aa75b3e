package group

import "time"

// Manager decides the groups of one data centre while its node holds the
// coordinator lease.
type Manager struct {
	opts Options
}

// New returns a manager that holds no lease.
func New(opts Options) *Manager {
	return &Manager{opts: opts.withDefaults()}
}

// Step takes in one event and returns what is to be done.
func (m *Manager) Step(_ time.Time, _ Event) []Effect {
	return nil
}

// Groups returns the groups in order of their IDs. The caller must not
// change the members.
func (m *Manager) Groups() []Group {
	return nil
}

// State is the condition of a group.
type State string

// States of a group.
const (
	StateWhole    State = "whole"
	StateForming  State = "forming"
	StateDraining State = "draining"
	StateBroken   State = "broken"
)

// GroupStatus is one group for operators.
type GroupStatus struct {
	Group Group
	State State
	Why   Reason
	// Since is when the state began.
	Since time.Time
}

// VMStatus says why a VM of the data centre is in no group.
type VMStatus struct {
	VM  string
	Why Reason
}

// Status is the coordinator's view of its data centre.
type Status struct {
	Coordinating bool
	Term         uint64
	// PlatformDown is set while the row cannot be read or written.
	PlatformDown bool
	Groups       []GroupStatus
	Stranded     []VMStatus
}

// Status returns the groups by ID and the VMs in no group by name.
func (m *Manager) Status(_ time.Time) Status {
	return Status{}
}
