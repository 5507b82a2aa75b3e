package group

import "github.com/pimentoshore/pimentoshore/coord/member"

// Effect is an output of Manager.Step. Effects are carried out in order.
type Effect interface{ effect() }

// ReadRow asks to read the row at RowKey; RowRead or RowReadFailed answers.
type ReadRow struct{}

// WriteRow asks to write the row at RowKey if it is still at the revision;
// RowWritten answers.
type WriteRow struct {
	Revision uint64
	Token    string
	Value    []byte
}

// SendOrder asks to send an order to a VM; OrderDone answers.
type SendOrder struct {
	Order member.Order
}

// Notice is a kind of progress.
type Notice string

// Notices.
const (
	NoticeForming   Notice = "forming"   // the group got a new generation
	NoticeWhole     Notice = "whole"     // every member reports in place
	NoticeBroken    Notice = "broken"    // a member is missing
	NoticeDraining  Notice = "draining"  // routers must send it no new work
	NoticeDrained   Notice = "drained"   // no work is in flight
	NoticeUndrained Notice = "undrained" // routers may send it work again
	NoticeDissolved Notice = "dissolved" // the group no longer exists
	NoticeReleased  Notice = "released"  // the VM may be stopped
	NoticeReady     Notice = "ready"     // the coordinator has reconciled and decides
	NoticeDeposed   Notice = "deposed"   // the row holds a later term
)

// Progress tells routers and operators what happened to a group or a VM.
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
