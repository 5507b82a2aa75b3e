package dispatch

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
	// Unanswered means that the VM has not answered probes.
	Unanswered LossReason = "the VM does not answer probes"
	// MemberUnanswered means the same of another VM of the group.
	MemberUnanswered LossReason = "a VM of the group does not answer probes"
	// ReportedBroken means that another node has found so.
	ReportedBroken LossReason = "another node found that a VM of the group does not answer probes"
	// NoProgress means that no event of the answer has arrived for a while.
	NoProgress LossReason = "the answer makes no progress"
)

// appendLosses appends a loss for each ticket of the target.
func (t *Target) appendLosses(losses []Loss, reason LossReason) []Loss {
	for ticket := range t.tickets {
		losses = append(losses, Loss{ticket, reason})
	}
	return losses
}
