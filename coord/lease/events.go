package lease

import "time"

// Event is an observation that Step takes in.
type Event interface{ isEvent() }

// Tick lets time pass. It should come several times per RetryEvery.
type Tick struct{}

// RowsRead answers ReadRows. All rows come from one snapshot of the table.
type RowsRead struct {
	// Read is the ID of the ReadRows that is answered.
	Read uint64
	// Row is nil, and Revision 0, if the lease row does not exist.
	Row      *Row
	Revision uint64
	// Registrations holds the data centre's registrations by key, or only
	// this VM's own if ReadRows did not ask for all.
	Registrations []Registration
	// VMsKnown says that the platform's list of VMs was read too. VMs names
	// those of the data centre's entry VMs that it contains, live or leaving;
	// it may name others.
	VMsKnown bool
	VMs      []string
}

// RowRelayed tells that another node has read the lease row at a revision. What
// is known of the row is never older for it; whether it still is the newest
// the table decides at each write.
type RowRelayed struct {
	Row      Row
	Revision uint64
}

// RowRequested tells that another node has asked this one for the row, and relies
// on its reads.
type RowRequested struct{}

// ReadFailed answers a ReadRows that got no answer.
type ReadFailed struct{ Read uint64 }

// Outcome is what is known about a write.
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

// PromiseRequested is a request of a holder that reached this candidate.
type PromiseRequested struct{ Request PromiseRequest }

// PromiseAnswered is a candidate's reply to AskPromise.
type PromiseAnswered struct{ Reply PromiseReply }

// RowChanged is a peer's hint that the lease row has changed, sent on Released. It brings the next read forward and proves nothing.
type RowChanged struct{}

// Stop begins a planned stop: the lease is released and never taken again.
type Stop struct{}

func (Tick) isEvent()             {}
func (RowsRead) isEvent()         {}
func (RowRelayed) isEvent()       {}
func (RowRequested) isEvent()     {}
func (ReadFailed) isEvent()       {}
func (WriteAnswered) isEvent()    {}
func (PromiseRequested) isEvent() {}
func (PromiseAnswered) isEvent()  {}
func (RowChanged) isEvent()       {}
func (Stop) isEvent()             {}

// Effect is something for the embedding program to carry out.
type Effect interface{ isEffect() }

// ReadRows asks for the lease row and registrations in one snapshot.
type ReadRows struct {
	ID  uint64
	Key string
	// Own is the key of this VM's registration.
	Own string
	// All asks for all registrations, whose keys begin with Key.
	All bool
	// VMs asks for the platform's list of VMs too.
	VMs bool
}

// WriteRow asks to write the lease row if it is at Revision. It must not be
// repeated by the embedding program, whatever its outcome.
type WriteRow struct {
	Key      string
	Revision uint64
	Row      Row
}

// RegisterCandidate asks to write this VM's registration if that row is at
// Revision. Its outcome need not be reported; the next read shows it.
type RegisterCandidate struct {
	Key       string
	Revision  uint64
	Candidate Candidate
}

// RemoveCandidate asks to delete a registration if it is at Revision. Its
// outcome need not be reported.
type RemoveCandidate struct {
	Key      string
	Revision uint64
}

// AskPromise asks to send a request to the named candidate.
type AskPromise struct {
	Candidate string
	Request   PromiseRequest
}

// AnswerPromise answers the PromiseRequested of the same Step. The promise runs
// from that Step, so a reply may be sent late or lost without harm.
type AnswerPromise struct{ Reply PromiseReply }

// BecameHolder says that this VM now coordinates its data centre.
type BecameHolder struct{ Grant Grant }

// LostLease says that this VM no longer coordinates.
type LostLease struct {
	Term   uint64
	Reason LossReason
}

// Released says that the row shows this VM's lease as released. Telling the
// data centre's other candidates lets one of them take over at once.
type Released struct{ Term uint64 }

// LossReason says why a lease was lost.
type LossReason string

// Reasons for the loss of a lease.
const (
	Lapsed     LossReason = "lapsed"     // it ran out before it was extended
	Superseded LossReason = "superseded" // another candidate took over
	Stopped    LossReason = "stopped"    // given up by a planned stop
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
	// UnfencedFrom is the earliest time for an order to a VM that does not
	// check fencing: by then no order of an earlier holder can take effect.
	UnfencedFrom time.Time
}
