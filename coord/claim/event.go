package claim

import (
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// Call is a call with an idempotency key, as it arrives at a node.
type Call struct {
	// ID identifies the waiting caller to the embedding program; it is unique
	// on the node.
	ID          uint64
	Key         Key
	Fingerprint string
	// Ticket is set if the idempotency key is a ticket.
	Ticket *Ticket
	// First states that nothing has run under the key according to the caller:
	// it has sent no other call with the key, or each was answered "not run". A
	// refusal that could not look the key up may say "not run" only if First is
	// set.
	First bool
}

// Event is an input of State.Step.
type Event interface{ event() }

// Events of a State.
type (
	// Tick makes State handle the timers that are due.
	Tick struct{}
	// Arrived is a call received from a caller or forwarded by a peer.
	Arrived struct{ Call Call }
	// Cancelled reports that a caller no longer waits. Its call may still run.
	Cancelled struct{ Call uint64 }
	// Committed answers Commit. Revision is that of the written rows if the
	// transaction was applied.
	Committed struct {
		Batch    uint64
		Outcome  table.Outcome
		Revision uint64
	}
	// RowsRead answers Read, with a row for each key.
	RowsRead struct {
		Read uint64
		Rows []table.Row
	}
	// ReadFailed reports that a Read failed.
	ReadFailed struct{ Read uint64 }
	// NotSent reports that an attempt certainly did not reach the endpoint, or
	// that the endpoint refused it without running it.
	NotSent struct {
		Key     Key
		Attempt string
		Err     *problem.Error
	}
	// Sent reports that an attempt may have reached the endpoint.
	Sent struct {
		Key     Key
		Attempt string
	}
	// Answered reports the complete response to an attempt.
	Answered struct {
		Key     Key
		Attempt string
		Outcome Outcome
	}
	// Failed reports that an attempt failed after it may have been sent.
	Failed struct {
		Key     Key
		Attempt string
	}
	// PeerAsked is an AskPeer request received from a peer. RequestID identifies
	// the request to the embedding program.
	PeerAsked struct {
		RequestID   uint64
		Key         Key
		Incarnation string
	}
	// PeerReplied answers AskPeer.
	PeerReplied struct {
		Key   Key
		From  Node
		Reply Reply
	}
	// ForwardFailed reports that a Forward returned no answer.
	ForwardFailed struct {
		Call   Call
		Reason ForwardReason
	}
	// Stop asks the node to write its claims to the table and stop.
	Stop struct{}
)

func (Tick) event()          {}
func (Arrived) event()       {}
func (Cancelled) event()     {}
func (Committed) event()     {}
func (RowsRead) event()      {}
func (ReadFailed) event()    {}
func (NotSent) event()       {}
func (Sent) event()          {}
func (Answered) event()      {}
func (Failed) event()        {}
func (PeerAsked) event()     {}
func (PeerReplied) event()   {}
func (ForwardFailed) event() {}
func (Stop) event()          {}

// ForwardReason is the reason why a Forward failed.
type ForwardReason string

// Reasons for a failed Forward.
const (
	// IssuerUnreachable means that the call was certainly not sent to the
	// issuer.
	IssuerUnreachable ForwardReason = "unreachable"
	// IssuerSilent means that the call may have reached the issuer, which did
	// not answer.
	IssuerSilent ForwardReason = "silent"
	// IssuerGone means that the VM runs a newer incarnation, has stopped, or is
	// no longer in the platform's list.
	IssuerGone ForwardReason = "gone"
)

// ReplyKind is the state of a key that a peer reports.
type ReplyKind string

// Kinds of a Reply.
const (
	ReplySettled     ReplyKind = "settled"     // Record is final
	ReplyReleased    ReplyKind = "released"    // the call was certainly not sent
	ReplyNotFound    ReplyKind = "not-found"   // not in the peer's memory; the row has newer state
	ReplyGone        ReplyKind = "gone"        // the requested incarnation has ended
	ReplyUnreachable ReplyKind = "unreachable" // no reply (set by the asking node), or the peer has too many waiters
)

// Reply answers AskPeer.
type Reply struct {
	Kind   ReplyKind `json:"kind"`
	Record *Record   `json:"record,omitempty"`
}

// Effect is an output of State.Step for the embedding program to carry out.
type Effect interface{ effect() }

// Effects of a State. The embedding program must answer each Commit, Read,
// AskPeer and Forward with its event, after a timeout if necessary.
type (
	// Commit requests a single attempt at a transaction.
	Commit struct {
		Batch uint64
		Txn   table.Txn
	}
	// Read requests rows by key from one snapshot of the table.
	Read struct {
		Read uint64
		Keys []string
	}
	// Dispatch requests that a call is sent to an endpoint once.
	Dispatch struct {
		Key     Key
		Call    uint64
		Attempt string
	}
	// Forward requests that a call is forwarded to the issuer of its ticket.
	Forward struct {
		Call Call
		To   Node
	}
	// AskPeer requests the outcome of a key from its claimant.
	AskPeer struct {
		Key Key
		To  Node
	}
	// ReplyPeer answers PeerAsked.
	ReplyPeer struct {
		RequestID uint64
		Reply     Reply
	}
	// Answer ends a call with either an outcome or an error.
	Answer struct {
		Call    uint64
		Outcome *Outcome
		Err     *problem.Error
	}
	// Stopped reports that all claims are in the table and that the node will
	// not make any others.
	Stopped struct{}
)

func (Commit) effect()    {}
func (Read) effect()      {}
func (Dispatch) effect()  {}
func (Forward) effect()   {}
func (AskPeer) effect()   {}
func (ReplyPeer) effect() {}
func (Answer) effect()    {}
func (Stopped) effect()   {}
