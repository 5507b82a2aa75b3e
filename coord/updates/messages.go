package updates

import (
	"math"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

// Operators is an update of the settings that operators have put in force.
type Operators struct {
	// Era and Version are the revision from which the next read continues.
	Era     uint64 `json:",omitempty"`
	Version uint64
	// Catalog is nil if it has not changed.
	Catalog *catalog.Catalog `json:",omitempty"`
	// Unusable is the newest configuration if it can't be used, else nil. Nodes with
	// earlier software leave it out.
	Unusable *Unusable `json:",omitempty"`
	// Whole reports whether Evacuated contains every data centre that must not
	// get work; otherwise it contains only the changes.
	Whole     bool
	Evacuated map[string]bool `json:",omitempty"`
}

// Unusable is a configuration that can't be put in force as a whole.
type Unusable struct {
	Version int64
	// Accounts is a catalog with the newest client accounts that could be read, of this
	// configuration or an earlier one that couldn't be used either, or nil.
	Accounts *catalog.Catalog `json:",omitempty"`
	// AccountsUnknown is whether the configuration has no readable list of accounts.
	AccountsUnknown bool `json:",omitempty"`
}

// NewUnusable returns a configuration that can't be used, of which the version and a
// catalog with the client accounts can be read. accounts is nil if they can't be.
func NewUnusable(version int64, accounts *catalog.Catalog) *Unusable {
	if version > catalog.MaxVersion {
		version = UnreadableVersion
	}
	return &Unusable{Version: version, Accounts: accounts, AccountsUnknown: accounts == nil}
}

// UnreadableVersion stands for a version that can't be read or is out of range. It counts
// as newer than all others.
const UnreadableVersion = math.MaxInt64

// Revision returns the revision from which the next read continues.
func (u *Operators) Revision() Revision { return Revision{u.Era, u.Version} }

// VMs is an update of the platform's list of endpoint VMs.
type VMs struct {
	// Era and Version are the revision from which the next read continues.
	Era     uint64 `json:",omitempty"`
	Version uint64
	// Whole reports whether Rows contains all VMs; otherwise it contains only
	// the changed ones. No VM is in both Rows and Removed: see Changes.
	Whole   bool
	Rows    []fleet.Row `json:",omitempty"`
	Removed []string    `json:",omitempty"`
}

// Revision returns the revision from which the next read continues.
func (u *VMs) Revision() Revision { return Revision{u.Era, u.Version} }

// Quarantine is an update of the quarantined parts that the platform keeps.
type Quarantine struct {
	// Era and Version are the revision from which the next read continues.
	Era     uint64 `json:",omitempty"`
	Version uint64
	// Whole reports whether Rows contains all parts; otherwise it contains only
	// the changed ones. No part is in both Rows and Removed: see Changes.
	Whole   bool
	Rows    []quarantine.Row
	Removed []quarantine.Part
}

// Revision returns the revision from which the next read continues.
func (u *Quarantine) Revision() Revision { return Revision{u.Era, u.Version} }

// Report is a VM's answer to a probe.
type Report struct {
	VM string
	// Age is the time since the probe was sent.
	Age time.Duration
	fleet.Report
}

// Learned is what a node has learned of endpoint VMs from their answers to
// requests, or from other nodes.
type Learned struct {
	Announced []Announcement `json:",omitempty"`
	// Quarantine is what is known of ended endpoints, or nil.
	Quarantine *quarantine.Update `json:",omitempty"`
}

// IsEmpty reports whether nothing was learned.
func (l *Learned) IsEmpty() bool { return len(l.Announced) == 0 && l.Quarantine == nil }

// Announcement is what a start of a VM has said of itself in its answers.
type Announcement struct {
	VM   string
	Born int64
	// Leaving reports whether it is leaving.
	Leaving bool `json:",omitempty"`
	// Limit is the rate that it takes, or nil if it never named one.
	Limit *Limit `json:",omitempty"`
}

// Limit is the requests a second that a VM takes from all nodes together.
type Limit struct {
	// PerSecond is 0 if the VM names no limit any more.
	PerSecond float64
	// Age is the time since the answer.
	Age time.Duration
}

// Lease is the row of a lease and its revision in an era of the store.
type Lease struct {
	Row      lease.Row
	Era      uint64 `json:",omitempty"`
	Revision uint64
}

// Position describes the data that a requesting node already has.
type Position struct {
	// Operators and VMs are the revisions of these tables that it has, and Lease is
	// that of the row of the planner's lease.
	Operators, VMs, Lease Revision
	// CatalogVersion is the version of its configuration, and Catalog that
	// configuration if the node that is asked now has an older one.
	CatalogVersion int64
	Catalog        *catalog.Catalog
	// Mark is copied from the last answer (Answer.Mark) if that came from the
	// node that is asked now, and 0 otherwise.
	Mark int64
	// ReceivedVMs is the revision of the last list of VMs from the node that is
	// asked now, and zero if the last answer came from another node.
	ReceivedVMs Revision
	// Suspects are the heads of groups at which requests make no progress.
	Suspects []Suspect
	// Learned is what the requesting node has learned since its last request.
	Learned Learned
	// VM is the name of the requesting node, and Demand the rate of its requests
	// and of those of the nodes that ask it, per second.
	VM     string
	Demand float64
}

// Answer is a node's answer to another node's request.
type Answer struct {
	// Process identifies the process that answers. It changes with a restart.
	Process string `json:",omitempty"`
	// Known reports whether the node has the data of operators and VMs at all;
	// if not, no other field is set.
	Known bool
	// Borrowed reports whether the node can't read from the platform itself
	// and got its data from another node, which may be the requester.
	Borrowed bool
	// OperatorsAge and VMsAge are the times since the platform reads behind
	// the data were sent; changes after that may be missing.
	OperatorsAge, VMsAge time.Duration
	// Era is the era of the node's list of VMs.
	Era uint64 `json:",omitempty"`
	// CatalogVersion is the version of the node's configuration.
	CatalogVersion int64 `json:",omitempty"`
	// Operators and VMs are nil if the node's revision is older than the
	// requester's.
	Operators *Operators `json:",omitempty"`
	VMs       *VMs       `json:",omitempty"`
	// Returns comes with Operators. Nodes with earlier software leave it out.
	Returns *Returns `json:",omitempty"`
	// RegainedAge is the time since the platform's list of VMs became readable
	// again after an outage, or nil if there was none.
	RegainedAge *time.Duration `json:",omitempty"`
	Reports     []Report       `json:",omitempty"`
	// Learned is what the node has learned since the mark in the request.
	Learned Learned
	// Demand is the rate of all nodes' requests, per second.
	Demand float64 `json:",omitempty"`
	// Suspects are the heads of groups at which some node's requests make no
	// progress.
	Suspects []Suspect `json:",omitempty"`
	// Broken are the groups with a missing VM, as seen from the node's data
	// centre.
	Broken []fleet.Formation `json:",omitempty"`
	// Lease is the row of the planner's lease, or nil if it is not newer than
	// the requester's.
	Lease *Lease `json:",omitempty"`
	// Mark is sent back in the Position of the requester's next request to the
	// same node.
	Mark int64
}
