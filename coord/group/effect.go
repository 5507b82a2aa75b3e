package group

import "github.com/pimentoshore/pimentoshore/coord/member"

// Effect is an output of Manager.Step. Effects must be carried out in order.
type Effect interface{ effect() }

// ReadRow requests a read of the row at RowKey. The answer is RowRead or
// RowReadFailed.
type ReadRow struct{}

// WriteRow requests a write of the row at RowKey on the condition that it is
// still at the given revision. The answer is RowWritten.
type WriteRow struct {
	Revision uint64
	Token    string
	Value    []byte
}

// SendOrder requests the sending of an order to a VM. The answer is OrderDone.
type SendOrder struct {
	Order member.Order
}

// Notice is the kind of a Progress.
type Notice string

// Notices.
const (
	NoticeForming   Notice = "forming"   // the group was given a new generation
	NoticeWhole     Notice = "whole"     // every member reports in place
	NoticeBroken    Notice = "broken"    // a member is missing
	NoticeDraining  Notice = "draining"  // routers must not send new work to the group
	NoticeDrained   Notice = "drained"   // no work is in flight
	NoticeUndrained Notice = "undrained" // routers may send work to the group again
	NoticeDissolved Notice = "dissolved" // the group no longer exists
	NoticeReleased  Notice = "released"  // the VM may be stopped
	NoticeReady     Notice = "ready"     // the coordinator has reconciled and starts to decide
	NoticeDeposed   Notice = "deposed"   // the row has a later term, so there is a newer coordinator
)

// Progress tells routers and operators about a change of a group or a VM.
type Progress struct {
	Notice     Notice
	Group      string
	Generation uint64
	VM         string
}

func (ReadRow) effect()   {}
func (WriteRow) effect()  {}
func (SendOrder) effect() {}
func (Progress) effect()  {}
