package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Loss says that the answer of a request may not go on at its target.
type Loss struct {
	Ticket *Ticket
	Reason LossReason
}

// LossReason is why an answer may not go on.
type LossReason string

// Reasons for a loss.
const (
	// LeftGroup means that the VM has restarted or no longer serves as the head
	// of its group.
	LeftGroup LossReason = "the VM serves no group any more"
	// Incomplete means that a VM of the group has left it or restarted.
	Incomplete LossReason = "the group has fewer VMs than its model needs"
	// Gone means that the VM was removed from the table.
	Gone LossReason = "the VM is gone"
	// Ended means that the VM or another one of its group has ended: its host refuses
	// connections, or the platform no longer lists it and it doesn't answer probes.
	Ended LossReason = "a VM has ended"
	// Unanswered means that the VM has not answered probes.
	Unanswered LossReason = "the VM does not answer probes"
	// MemberUnanswered means the same of another VM of the group.
	MemberUnanswered LossReason = "a VM of the group does not answer probes"
	// ReportedBroken means that another node has found so.
	ReportedBroken LossReason = "another node found that a VM of the group does not answer probes"
	// NoProgress means that no event of the answer has arrived for a while.
	NoProgress LossReason = "the answer makes no progress"
)

// IsCertain reports whether the answer certainly doesn't go on. A VM that is merely
// silent, in whatever way, may go on.
func (r LossReason) IsCertain() bool {
	switch r {
	case LeftGroup, Incomplete, Gone, Ended:
		return true
	}
	return false
}

// endedSilence is how long a VM that is no longer listed must have failed to answer
// probes to count as ended.
const endedSilence = 2 * time.Second

// hasEnded reports whether a VM that doesn't answer probes has certainly ended.
func hasEnded(now time.Time, vm *fleet.VM) bool {
	return vm.Refused || !vm.Listed && vm.FailedProbes >= deadProbes && now.Sub(vm.FailedSince) >= endedSilence
}

// appendLosses appends a loss for each ticket of the target.
func (t *Target) appendLosses(losses []Loss, reason LossReason) []Loss {
	for ticket := range t.tickets {
		losses = append(losses, Loss{ticket, reason})
	}
	return losses
}
