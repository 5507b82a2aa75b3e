package news

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/lease"
)

// Operators is what operators have put in force.
type Operators struct {
	// Version is where the next read goes on.
	Version uint64
	// Catalog is nil if it has not changed.
	Catalog *catalog.Catalog `json:",omitempty"`
	// Whole is whether Evacuated names all data centres that are to get no
	// work; otherwise it holds the changes alone.
	Whole     bool
	Evacuated map[string]bool `json:",omitempty"`
}

// VMs is what the platform lists of endpoint VMs.
type VMs struct {
	// Version is where the next read goes on.
	Version uint64
	// Whole is whether Rows are all VMs; otherwise they are the changed ones.
	Whole   bool
	Rows    []fleet.Row `json:",omitempty"`
	Removed []string    `json:",omitempty"`
}

// Report is what a VM answered to a probe.
type Report struct {
	VM string
	// Age is the time since the probe was sent.
	Age time.Duration
	fleet.Report
}

// Leaving is a start of a VM that has said in an answer that it leaves.
type Leaving struct {
	VM   string
	Born int64
}

// Lease is a row of a lease at a revision.
type Lease struct {
	Row      lease.Row
	Revision uint64
}

// Position is what a node has already.
type Position struct {
	// Operators and VMs are versions of the platform, and Lease the revision
	// of the row of the planner's lease.
	Operators, VMs, Lease uint64
	// Mark is an answer's mark, for the node that gave it, and Told the
	// version of VMs that the same node told last; both are 0 for others.
	Mark        int64
	ReceivedVMs uint64
	// Suspects are the heads at whose groups requests make no progress.
	Suspects []Suspect
}

// Answer is what a node tells another that asks.
type Answer struct {
	// Known is whether the node has read what operators and VMs publish at
	// all; if not, nothing else is filled in.
	Known bool
	// Borrowed is whether the node itself can't read from the platform, and
	// has what it knows from a node that may be the one that asks.
	Borrowed bool
	// OperatorsAge and VMsAge are the times since the reads were sent that
	// the knowledge comes from: later changes may be missing.
	OperatorsAge, VMsAge time.Duration
	// Operators and VMs are nil if the node knows less than the one that asks.
	Operators *Operators `json:",omitempty"`
	VMs       *VMs       `json:",omitempty"`
	// RegainedAge is the time since the platform's list of VMs could be read
	// again after an outage, and nil without one.
	RegainedAge *time.Duration `json:",omitempty"`
	Reports     []Report       `json:",omitempty"`
	// Leaving are VMs that said since the mark of the question that they leave.
	Leaving []Leaving `json:",omitempty"`
	// Suspects are the heads at whose groups some node's requests make no
	// progress.
	Suspects []Suspect `json:",omitempty"`
	// Broken are the groups found to lack a VM, as seen from the node's data
	// centre.
	Broken []fleet.Formation `json:",omitempty"`
	// Lease is the row of the planner's lease, nil if it is not newer.
	Lease *Lease `json:",omitempty"`
	// Mark is the Position.Reports of the next question.
	Mark int64
}
