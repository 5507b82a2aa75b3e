package fleet

import (
	"fmt"
	"slices"
	"time"
)

// Stage is how far a VM is in its group.
type Stage string

// Stages of a VM in a group.
const (
	NoGroup Stage = ""
	Joining Stage = "joining" // loads the model's weights
	Ready   Stage = "ready"
	Open    Stage = "open"    // serves as the group's head
	Closing Stage = "closing" // finishes its work as the group's head
	Broken  Stage = "broken"  // a head that stood still for too long
)

// Membership is a VM's own account of the group it is in.
type Membership struct {
	Group string
	// Epoch orders the formations of groups.
	Epoch uint64
	// Rank is the VM's place in the list of members; 0 is the head.
	Rank  int
	Stage Stage
}

// Formation is one formation of a group.
type Formation struct {
	Group string
	Epoch uint64
}

// Formation returns the one that the VM is in.
func (m *Membership) Formation() Formation { return Formation{m.Group, m.Epoch} }

// Load is the work at a VM as of its last report.
type Load struct {
	Running, Waiting int
	// Pace is over 1 while the VM is slow.
	Pace float64
}

// State is what a VM says of itself, in its row or in a report.
type State struct {
	// Born tells the VM's starts apart: the time of the newest one, in Unix
	// milliseconds. It is 0 if the VM did not say.
	Born int64
	// Orders is the number of orders that this start has accepted. Rows don't
	// tell it.
	Orders uint64
	// Busy is whether an order is being carried out.
	Busy bool
	// Model is the one whose weights the VM holds in its accelerators.
	Model  string
	Staged []string // models whose weights are on the host
	Domain string   // of the fabric
	Membership
}

// HasStaged reports whether the model's weights are on the VM's host.
func (s *State) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// Row is a VM as the platform lists it.
type Row struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Release is the version of the software that the VM runs.
	Release  string
	Draining bool
	// ColdLeft is how much longer the VM bears little load.
	ColdLeft time.Duration
	// Engine is whether State is filled in.
	Engine bool
	State
}

// VM is what is known of an endpoint VM.
type VM struct {
	ID      string
	Service string
	// Address is empty once another VM has it.
	Address    string
	DataCentre string
	Slots      int
	// Release is the version of the software that the VM runs.
	Release string
	Engine  bool
	// Listed is whether the platform lists the VM now.
	Listed   bool
	Draining bool // by its newest row
	// Leaving is whether this start has said in an answer that it leaves. No
	// row takes that back: rows may be older than they arrive.
	Leaving bool
	// LeavingAt is when this node learned that.
	LeavingAt time.Time
	// ColdUntil is when the VM bears its full load.
	ColdUntil time.Time
	// ListedAt is when the newest row arrived.
	ListedAt time.Time

	State
	Load
	rowBorn int64 // as of the newest row
	// pending is the newest row's state while a report's goes before it.
	pending *State
	// LoadedModel is the model of the newest group that this start was in, whose
	// weights it still has in its accelerators.
	LoadedModel string
	// ReportedAt is when the newest answered probe was sent.
	ReportedAt time.Time
	// ReceivedAt is when this node took the newest answer in, which may have
	// come by way of other nodes.
	ReceivedAt time.Time
	// FailedProbes counts probes without an answer since ReportedAt.
	FailedProbes int
	// FailedSince is when the first of them was sent.
	FailedSince time.Time
}

// Departing reports whether the VM is about to end, by its row or by its own
// answers.
func (vm *VM) Departing() bool { return vm.Draining || vm.Leaving }

// Report is a VM's answer to a probe.
type Report struct {
	State
	Load
	// Leaving is whether the answer said that the VM leaves.
	Leaving bool `json:",omitempty"`
}

// MaxPause bounds the pause that a VM may ask for.
const MaxPause = 10 * time.Minute

// PausedError means that a VM wants no probes and orders for a time. It is no
// sign that the VM is lost.
type PausedError struct {
	VM  string
	For time.Duration
}

// Error names the VM and the time.
func (e *PausedError) Error() string {
	return fmt.Sprintf("endpoint %s wants nothing more for %s; wait that long", e.VM, e.For)
}
