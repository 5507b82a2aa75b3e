package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Stage is the stage of a VM in its group.
type Stage string

// Stages of a VM in a group.
const (
	NoGroup Stage = ""
	Joining Stage = "joining" // loading the model's weights
	Ready   Stage = "ready"
	Open    Stage = "open"    // serving as the group's head
	Closing Stage = "closing" // finishing its work as the group's head
	Broken  Stage = "broken"  // a head that made no progress for too long
)

// Membership is what a VM reports about the group it is in.
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

// standbyPrefix begins the names of standby groups.
const standbyPrefix = "standby-"

// StandbyName returns the name of a standby group: a group of one VM that never
// serves. A VM joins it to load its model's weights into its accelerators, so
// that it can replace a lost member without a delay.
func StandbyName(id string) string { return standbyPrefix + id }

// IsStandby reports whether the VM is in a standby group.
func (m *Membership) IsStandby() bool { return strings.HasPrefix(m.Group, standbyPrefix) }

// Formation returns the formation that the VM is in.
func (m *Membership) Formation() Formation { return Formation{m.Group, m.Epoch} }

// Load is the work at a VM according to its last report.
type Load struct {
	Running, Waiting int
	// Pace is greater than 1 while the VM is slow.
	Pace float64
	// MemoryShort is whether little memory for tokens is left. It is the outcome, not
	// the numbers, because each node passes on the reports of all groups.
	MemoryShort bool `json:",omitempty"`
}

// memoryShortFraction is the fraction of the memory for tokens in use from which it
// counts as short: a request of usual length may not fit in the rest.
const memoryShortFraction = 0.9

// IsMemoryShort reports whether the memory for tokens is short if the given number
// of them is in use out of a total, 0 if that is unknown.
func IsMemoryShort(used, total float64) bool { return total > 0 && used >= memoryShortFraction*total }

// State is what a VM states about itself in its row or in a report.
type State struct {
	// Born identifies the VM's newest start by its time, in Unix milliseconds.
	// It is 0 if the VM did not state it.
	Born int64
	// Orders is the number of orders that this start has accepted. Rows
	// don't contain it.
	Orders uint64
	// Busy is whether the VM is executing an order.
	Busy bool
	// Model is the model whose weights are in the VM's accelerators.
	Model  string
	Staged []string // models whose weights are on the host
	Domain string   // fabric domain
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
	// ColdLeft is how much longer the VM can take only little load.
	ColdLeft time.Duration
	// Engine is whether State is filled in.
	Engine bool
	State
}

// VM is one node's view of an endpoint VM.
type VM struct {
	ID      string
	Service string
	// Address is empty while another VM has the same address.
	Address    string
	DataCentre string
	Slots      int
	// Release is the version of the software that the VM runs.
	Release string
	Engine  bool
	// Registered is whether the platform has a row of the VM now, and Listed whether
	// it does and the VM has its address.
	Registered bool
	Listed     bool
	Draining   bool // according to its newest row
	// Leaving is whether this start has announced in an answer that it is
	// leaving. No row clears it, because a row may have been written before the
	// announcement.
	Leaving bool
	// LeavingAt is when this node received that announcement.
	LeavingAt time.Time
	// Limit is what this start has announced that it takes.
	Limit Limit
	// ColdUntil is when the VM can take its full load.
	ColdUntil time.Time
	// ColdSaidAt is when the VM last said that it is cold, and for how long.
	// WarmSaidAt is when it last said in an answer that it isn't: a row may be older.
	ColdSaidAt, WarmSaidAt time.Time
	// ListedAt is when the newest row arrived, or when the VM was unlisted.
	ListedAt time.Time

	State
	Load
	rowBorn    int64  // Born of the newest row
	rowAddress string // Address of the newest row
	// displacedAt is when another VM was found to have the address of the row, or zero.
	displacedAt time.Time
	// keepsAddress is whether the VM is certain to have its address.
	keepsAddress bool
	// rowColdLeft is ColdLeft of the newest row.
	rowColdLeft time.Duration
	// pendingState is the newest row's state while a report takes precedence
	// over it.
	pendingState *State
	// earlier is the newest row if it names an earlier start than the row before
	// it, or nil.
	earlier *earlierRow
	// LoadedModel is the model of the newest group that this start was in. Its
	// weights are still in the VM's accelerators.
	LoadedModel string
	// ReportedAt is when the newest answered probe was sent.
	ReportedAt time.Time
	// ReceivedAt is when this node received the newest answer, which other nodes
	// may have relayed.
	ReceivedAt time.Time
	// FailedProbes counts probes without an answer since ReportedAt.
	FailedProbes int
	// FailedSince is when the first of them was sent.
	FailedSince time.Time
	// Refused is whether the VM's host has refused a connection since
	// ReportedAt: it is reachable, but this start has ended.
	Refused bool
}

// earlierRow is a row of an earlier start, and when the first such row arrived.
type earlierRow struct {
	Row
	since time.Time
}

// Limit is the rate of requests that a VM takes from all nodes together. It holds
// until the VM answers without naming one.
type Limit struct {
	// PerSecond is 0 if there is no limit.
	PerSecond float64
	// At is when the newest answer that named it, or named none any more, arrived.
	At time.Time
	// ChangedAt is when this node learned of the value, or last published
	// that it still holds.
	ChangedAt   time.Time
	publishedAt time.Time // At of the answer that ChangedAt stands for
}

const (
	// limitRefresh is how often it is published that a limit still holds, and
	// limitTTL how long it holds without an answer that names it.
	limitRefresh = 5 * time.Second
	limitTTL     = 30 * time.Second
)

// IsInForce reports whether the limit holds.
func (l *Limit) IsInForce(now time.Time) bool {
	return l.PerSecond > 0 && now.Sub(l.At) < limitTTL
}

// Departing reports whether the VM is about to stop, according to its row or to
// its own answers.
func (vm *VM) Departing() bool { return vm.Draining || vm.Leaving }

// Report is a VM's answer to a probe.
type Report struct {
	State
	Load
	// Leaving is whether the answer announced that the VM is leaving.
	Leaving bool `json:",omitempty"`
	// Warmth is what the VM has said of it, or nil if it hasn't.
	Warmth *Warmth `json:",omitempty"`
}

// MaxPause is the longest pause that a VM may request.
const MaxPause = 10 * time.Minute

// PausedError means that a VM requested to receive no probes and orders for a
// time. It does not mean that the VM is lost.
type PausedError struct {
	VM  string
	For time.Duration
}

// Error returns a message with the VM and the length of the pause.
func (e *PausedError) Error() string {
	return fmt.Sprintf("endpoint %s requested a pause of %s; retry after that time", e.VM, e.For)
}
