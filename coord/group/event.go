package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Event is an input of Manager.Step.
type Event interface{ event() }

// Tick makes the manager act on what has become due. Send one at least every
// second: a manager that gets no event for ReportTTL assumes that it was paused
// itself.
type Tick struct{}

// Configuration carries the accepted inventory. A configuration whose number
// is not higher than that of the last one is ignored.
type Configuration struct {
	Number   uint64
	Document *inventory.Document
}

// Fencer issues the fences for a lease holder's orders.
type Fencer interface {
	// Fence returns the next fence, or false if the lease may expire before an
	// order sent now is answered or has timed out.
	Fence(now time.Time) (member.Fence, bool)
}

// LeaseGained starts the coordinator's work.
type LeaseGained struct {
	Term   uint64
	Fencer Fencer
	// UnfencedFrom is when orders of earlier holders can no longer arrive. VMs
	// that don't check fencing get no order before that time.
	UnfencedFrom time.Time
}

// LeaseLost ends the coordinator's work. The manager sends no orders after it.
type LeaseLost struct{}

// RowRead answers ReadRow. Revision 0 means that the row does not exist.
type RowRead struct {
	Value    []byte
	Revision uint64
}

// RowReadFailed answers ReadRow when the platform cannot be reached.
type RowReadFailed struct{}

// WriteOutcome is the known result of a write of the row.
type WriteOutcome string

// Outcomes of a write.
const (
	WriteApplied    WriteOutcome = "applied"
	WriteConflict   WriteOutcome = "conflict"    // the row was at another revision
	WriteNotWritten WriteOutcome = "not-written" // the row was certainly not written
	WriteUnknown    WriteOutcome = "unknown"     // the answer was lost
)

// RowWritten answers WriteRow.
type RowWritten struct {
	Token   string
	Outcome WriteOutcome
	// Revision is the row's new revision if the write was applied.
	Revision uint64
}

// Reported carries a VM's report and when its probe was sent. The answer to an
// order is also passed as a Reported, with the time at which the order was
// sent. Step accepts a *Reported as well and does not retain it.
type Reported struct {
	Report member.Report
	SentAt time.Time
}

// ProbeRefused says that a VM refused the connection of a probe.
type ProbeRefused struct {
	VM     string
	SentAt time.Time
}

// OrderDone says that a SendOrder was answered or has failed. Whether an
// accepted order took effect is known from the VM's reports only.
type OrderDone struct {
	VM    string
	Fence member.Fence
	// Failed is set if the order was refused or its answer was lost.
	Failed bool
}

// LeavingVMs carries the platform's complete list of VMs that it is about to
// take away.
type LeavingVMs struct {
	Names []string
}

// Scope is what a planned stop applies to.
type Scope string

// Scopes of a planned stop.
const (
	ScopeVM         Scope = "vm"
	ScopeGroup      Scope = "group"
	ScopeDataCentre Scope = "data-centre"
)

// StopRequested requests a planned stop of a VM, the members of a group, or
// all VMs of the data centre. NoticeReleased tells when a VM may be stopped.
type StopRequested struct {
	Scope Scope
	Name  string
}

// StopCancelled cancels a planned stop.
type StopCancelled struct {
	Scope Scope
	Name  string
}

func (Tick) event()          {}
func (Configuration) event() {}
func (LeaseGained) event()   {}
func (LeaseLost) event()     {}
func (RowRead) event()       {}
func (RowReadFailed) event() {}
func (RowWritten) event()    {}
func (Reported) event()      {}
func (ProbeRefused) event()  {}
func (OrderDone) event()     {}
func (LeavingVMs) event()    {}
func (StopRequested) event() {}
func (StopCancelled) event() {}
