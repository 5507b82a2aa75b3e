package replica

import "time"

// Activity describes what a VM is doing or waiting for.
type Activity string

// Activities of a VM.
const (
	// ActivityServing is for members of serving groups.
	ActivityServing Activity = "serves"
	// ActivityJoining is for members of groups that are forming or about to
	// serve.
	ActivityJoining Activity = "joins"
	// ActivityFinishing is for members of groups that are being dissolved.
	ActivityFinishing Activity = "finishes"
	// ActivityCoolingDown is for VMs that wait until the head of their last
	// group must have given up.
	ActivityCoolingDown Activity = "cools down"
	// ActivityLoading is for free VMs that are loading weights.
	ActivityLoading Activity = "loads"
	// ActivityEmpty and ActivitySpare are for free VMs without and with
	// weights.
	ActivityEmpty Activity = "has no weights"
	ActivitySpare Activity = "is spare"
	// ActivityAway is for VMs that are silent or leaving.
	ActivityAway Activity = "is away"
)

// AllActivities lists every activity.
var AllActivities = []Activity{ActivityServing, ActivityJoining, ActivityFinishing, ActivityCoolingDown, ActivityLoading, ActivityEmpty, ActivitySpare, ActivityAway}

// activity returns the VM's current activity.
func (m *member) activity(now time.Time) Activity {
	switch {
	case m.isLeaving() || m.isSilent(now, silenceTimeout):
		return ActivityAway
	case m.group != nil && m.group.Phase == Serving:
		return ActivityServing
	case m.group != nil && m.group.Phase == Dissolving:
		return ActivityFinishing
	case m.group != nil:
		return ActivityJoining
	case now.Before(m.cooldownUntil):
		return ActivityCoolingDown
	case m.loading != "":
		return ActivityLoading
	case len(m.Staged) == 0 && m.LoadedModel == "":
		return ActivityEmpty
	}
	return ActivitySpare
}

// Activities counts the listed VMs by activity.
func (p *Planner) Activities(now time.Time) map[Activity]int {
	out := make(map[Activity]int)
	for _, m := range p.members {
		if m.Listed {
			out[m.activity(now)]++
		}
	}
	return out
}
