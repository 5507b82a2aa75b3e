package lease

import "time"

// Event is an input of Step.
type Event interface{ isEvent() }

// Tick only advances the time. It should be sent several times per RetryEvery.
type Tick struct{}

// RowsRead answers ReadRows. All rows come from one snapshot of the table.
type RowsRead struct {
	// Read is the ID of the ReadRows that this answers.
	Read uint64
	// Era is the era of the store that has answered. A store that came back from an
	// older copy begins another era, without the rows of this lease.
	Era uint64
	// Row is nil, and Revision 0, if the lease row does not exist.
	Row      *Row
	Revision uint64
	// Registrations contains the data centre's registrations by key, or only
	// this VM's own if ReadRows did not ask for all.
	Registrations []Registration
	// VMsKnown is whether the platform's list of VMs was read too. VMs contains
	// the data centre's entry VMs in that list, live or leaving; it may contain
	// other VMs.
	VMsKnown bool
	VMs      []string
}

// RowRelayed reports that another node has read the lease row at a revision. It
// is ignored unless it is newer than the row known here. The row may have
// changed since; the condition of each write guards against that.
type RowRelayed struct {
	Era      uint64
	Row      Row
	Revision uint64
}

// RowRequested reports that another node has requested the row from this one and
// relies on this node's reads.
type RowRequested struct{}

// PeersAnswer reports that other nodes answer this one, so that it learns from them
// when the row can be read again. It counts for peersAnswerPeriod.
type PeersAnswer struct {
	// Reader is whether this node reads for the other ones.
	Reader bool
}

// ReadFailed reports that a ReadRows failed.
type ReadFailed struct{ Read uint64 }

// Outcome is the known result of a write.
type Outcome int

// Outcomes of a write.
const (
	Applied    Outcome = iota // written
	Conflict                  // a condition failed; certainly not written
	NotWritten                // certainly not written
	Unknown                   // the answer was lost
)

// WriteAnswered answers WriteRow. Each WriteRow is answered once; one whose
// answer never comes is answered with Unknown.
type WriteAnswered struct {
	Token   string
	Outcome Outcome
	// Revision of the row if Outcome is Applied.
	Revision uint64
}

// PromiseRequested is a holder's request received by this candidate.
type PromiseRequested struct{ Request PromiseRequest }

// PromiseAnswered is a candidate's reply to AskPromise.
type PromiseAnswered struct{ Reply PromiseReply }

// RowChanged is a peer's hint, sent on Released, that the lease row has changed.
// It only makes the next read happen at once; it is no proof of a change.
type RowChanged struct{}

// Stop begins a planned stop: the lease is released, and this process never
// takes it again.
type Stop struct {
	// KeepRegistered keeps the registration of a process that still serves. A later
	// Stop without it removes the registration.
	KeepRegistered bool
}

func (Tick) isEvent()             {}
func (RowsRead) isEvent()         {}
func (RowRelayed) isEvent()       {}
func (RowRequested) isEvent()     {}
func (PeersAnswer) isEvent()      {}
func (ReadFailed) isEvent()       {}
func (WriteAnswered) isEvent()    {}
func (PromiseRequested) isEvent() {}
func (PromiseAnswered) isEvent()  {}
func (RowChanged) isEvent()       {}
func (Stop) isEvent()             {}

// Effect is an action for the embedding program to carry out.
type Effect interface{ isEffect() }

// ReadRows reads the lease row and registrations in one snapshot.
type ReadRows struct {
	ID  uint64
	Key string
	// Own is the key of this VM's registration.
	Own string
	// All is whether to read all registrations, whose keys begin with Key.
	All bool
	// VMs is whether to read the platform's list of VMs too.
	VMs bool
}

// WriteRow writes the lease row of an era if it is at Revision. It must not be
// repeated by the embedding program, whatever its outcome.
type WriteRow struct {
	Era      uint64
	Key      string
	Revision uint64
	Row      Row
}

// RegisterCandidate writes this VM's registration of an era if that row is at
// Revision. The outcome need not be reported; the next read shows it.
type RegisterCandidate struct {
	Era       uint64
	Key       string
	Revision  uint64
	Candidate Candidate
}

// RemoveCandidate deletes a registration of an era if it is at Revision. Its
// outcome need not be reported.
type RemoveCandidate struct {
	Era      uint64
	Key      string
	Revision uint64
}

// AskPromise sends a request to the named candidate.
type AskPromise struct {
	Candidate string
	Request   PromiseRequest
}

// AnswerPromise answers the PromiseRequested of the same Step. The promise
// starts at that Step, so it is safe to send the reply late or to lose it.
type AnswerPromise struct{ Reply PromiseReply }

// BecameHolder reports that this VM now coordinates its data centre.
type BecameHolder struct{ Grant Grant }

// LostLease reports that this VM no longer coordinates.
type LostLease struct {
	Term   uint64
	Reason LossReason
}

// Released reports that this VM's lease is released in the row. The program
// should notify the data centre's other candidates, so that one of them takes
// over at once.
type Released struct{ Term uint64 }

// LossReason says why a lease was lost.
type LossReason string

// Reasons for the loss of a lease.
const (
	Lapsed     LossReason = "lapsed"     // it ran out before it was extended
	Superseded LossReason = "superseded" // another candidate took over
	Stopped    LossReason = "stopped"    // released by a planned stop
)

func (ReadRows) isEffect()          {}
func (WriteRow) isEffect()          {}
func (RegisterCandidate) isEffect() {}
func (RemoveCandidate) isEffect()   {}
func (AskPromise) isEffect()        {}
func (AnswerPromise) isEffect()     {}
func (BecameHolder) isEffect()      {}
func (LostLease) isEffect()         {}
func (Released) isEffect()          {}

// Grant is the right to coordinate for a time.
type Grant struct {
	Term uint64
	// Until is the end of the lease on this node's clock.
	Until time.Time
	// UnfencedFrom is the earliest time to send an order to a VM that does not
	// check fencing. From then on no order of an earlier holder can take effect.
	UnfencedFrom time.Time
}
