package replica

import "time"

// Activity is what a VM does, or what it waits for.
type Activity string

// Activities of VMs.
const (
	// Serves is for members of groups that serve.
	Serves Activity = "serves"
	// Joins is for members of groups that form or are about to serve.
	Joins Activity = "joins"
	// Finishes is for members of groups that are being dissolved.
	Finishes Activity = "finishes"
	// CoolsDown is for VMs that wait until the head of their last group has
	// certainly given up.
	CoolsDown Activity = "cools down"
	// Loads is for free VMs that load weights.
	Loads Activity = "loads"
	// HasNoWeights and IsSpare are for free VMs without and with weights.
	HasNoWeights Activity = "has no weights"
	IsSpare      Activity = "is spare"
	// IsAway is for VMs that are silent or leave.
	IsAway Activity = "is away"
)

// AllActivities lists the activities.
var AllActivities = []Activity{Serves, Joins, Finishes, CoolsDown, Loads, HasNoWeights, IsSpare, IsAway}

// activity returns what a VM does now.
func (m *member) activity(now time.Time) Activity {
	switch {
	case m.leaving() || m.silent(now, silentFor):
		return IsAway
	case m.group != nil && m.group.Phase == Serving:
		return Serves
	case m.group != nil && m.group.Phase == Dissolving:
		return Finishes
	case m.group != nil:
		return Joins
	case now.Before(m.coolsUntil):
		return CoolsDown
	case m.loading != "":
		return Loads
	case len(m.Staged) == 0 && m.LoadedModel == "":
		return HasNoWeights
	}
	return IsSpare
}

// Activities counts the listed VMs by what they do.
func (p *Planner) Activities(now time.Time) map[Activity]int {
	out := make(map[Activity]int)
	for _, m := range p.members {
		if m.Listed {
			out[m.activity(now)]++
		}
	}
	return out
}
