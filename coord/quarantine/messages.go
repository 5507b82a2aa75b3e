package quarantine

import "time"

// Start identifies one start of an endpoint VM.
type Start struct {
	VM string
	// Born is the time of the start in Unix milliseconds.
	Born int64
}

// PromptPart is a part at a position in prompts.
type PromptPart struct {
	Part Part
	// Depth is the number of parts before it, or the largest number if prompts
	// differ.
	Depth int
}

// End is the end of an endpoint while it held requests that it had not answered.
type End struct {
	// VMs are the VMs that served the requests: the one that received them, and
	// the other members of its group.
	VMs []Start
	// Age is the time since the requests broke off.
	Age time.Duration
	// Confirmed reports whether one of the VMs is known to have ended. Otherwise
	// only the connections to it may have failed.
	Confirmed bool
	Parts     []PromptPart
}

// AnsweredPart is the newest time at which an endpoint began to answer a request that
// contained a part, and survived it.
type AnsweredPart struct {
	Part Part
	Age  time.Duration
}

// Quarantined is a part that is no longer sent to endpoints.
type Quarantined struct {
	Part Part
	// Age is the time since the part was quarantined, and EndAge the time since
	// the newest end of an endpoint under it.
	Age, EndAge time.Duration
	// Ends are the endpoints that ended, oldest first, at most maxEndsListed.
	Ends []string
	// Trials is the number of trials of the part that ended an endpoint.
	Trials int `json:",omitempty"`
}

// Update is what a node tells another one.
type Update struct {
	Ends        []End          `json:",omitempty"`
	Answered    []AnsweredPart `json:",omitempty"`
	Quarantined []Quarantined  `json:",omitempty"`
}

// IsEmpty reports whether the update contains nothing.
func (u *Update) IsEmpty() bool {
	return len(u.Ends) == 0 && len(u.Answered) == 0 && len(u.Quarantined) == 0
}
