package claim

import (
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// Call is one keyed call as it arrives at a node.
type Call struct {
	// ID is the embedding program's handle of the waiting caller, unique on
	// the node.
	ID          uint64
	Key         Key
	Fingerprint string
	// Ticket is set if the idempotency key is a ticket.
	Ticket *Ticket
	// First says that the caller vouches that nothing ran under the key: it
	// has sent no call with it, or was told "not run" each time. Only then may
	// a refusal that could not look the key up say "not run".
	First bool
}

// Event is an input of State.Step.
type Event interface{ event() }

// Events of a State.
type (
	// Tick runs the timers.
	Tick struct{}
	// Arrived is a call of a caller, or one forwarded by a peer.
	Arrived struct{ Call Call }
	// Cancelled says that a caller no longer waits. Its call may still run.
	Cancelled struct{ Call uint64 }
	// Committed answers Commit with the revision of its writes if applied.
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
	// ReadFailed says that a Read failed.
	ReadFailed struct{ Read uint64 }
	// NotSent says that an attempt certainly did not reach the endpoint, or
	// that the endpoint refused it without running it.
	NotSent struct {
		Key     Key
		Attempt string
		Err     *problem.Error
	}
	// Sent says that an attempt may have reached the endpoint.
	Sent struct {
		Key     Key
		Attempt string
	}
	// Answered carries the whole answer of an attempt.
	Answered struct {
		Key     Key
		Attempt string
		Outcome Outcome
	}
	// Failed says that an attempt broke off after it may have been sent.
	Failed struct {
		Key     Key
		Attempt string
	}
	// PeerAsked is a peer's AskPeer to this node. Ask is the embedding
	// program's handle of the peer's request.
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
	// ForwardFailed says that a Forward did not bring an answer.
	ForwardFailed struct {
		Call   Call
		Reason ForwardReason
	}
	// Stop asks the node to bring its claims into the table and stop.
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

// ForwardReason is why a Forward failed.
type ForwardReason string

// Reasons of a failed Forward.
const (
	// IssuerUnreachable: the call was certainly not sent to the issuer.
	IssuerUnreachable ForwardReason = "unreachable"
	// IssuerSilent: the call may have reached the issuer.
	IssuerSilent ForwardReason = "silent"
	// IssuerGone: the VM runs a newer incarnation, has stopped, or is gone
	// from the platform's list.
	IssuerGone ForwardReason = "gone"
)

// ReplyKind is what a peer says of a key.
type ReplyKind string

// Kinds of a Reply.
const (
	ReplySettled     ReplyKind = "settled"     // Record is final
	ReplyReleased    ReplyKind = "released"    // certainly not sent
	ReplyNotFound    ReplyKind = "not-found"   // the row says more by now
	ReplyGone        ReplyKind = "gone"        // the incarnation asked for has ended
	ReplyUnreachable ReplyKind = "unreachable" // made by the asker itself
)

// Reply answers a peer's question for a key.
type Reply struct {
	Kind   ReplyKind `json:"kind"`
	Record *Record   `json:"record,omitempty"`
}

// Effect is an output of State.Step for the embedding program to carry out.
type Effect interface{ effect() }

// Effects of a State. Each Commit, Read, AskPeer and Forward must be answered
// with its event, if need be after a timeout of the embedding program's.
type (
	// Commit asks for one attempt at a transaction.
	Commit struct {
		Batch uint64
		Txn   table.Txn
	}
	// Read asks for rows by key, from one snapshot of the table.
	Read struct {
		Read uint64
		Keys []string
	}
	// Dispatch asks to send the request of a call to an endpoint, once.
	Dispatch struct {
		Key     Key
		Call    uint64
		Attempt string
	}
	// Forward asks to pass a call on to the issuer of its ticket.
	Forward struct {
		Call Call
		To   Node
	}
	// AskPeer asks a claimant for the outcome of a key.
	AskPeer struct {
		Key Key
		To  Node
	}
	// ReplyPeer answers PeerAsked.
	ReplyPeer struct {
		RequestID uint64
		Reply     Reply
	}
	// Answer ends a call with an outcome, or else an error.
	Answer struct {
		Call    uint64
		Outcome *Outcome
		Err     *problem.Error
	}
	// Stopped says that all claims are in the table and none will follow.
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
