// Package member defines what an endpoint VM reports about itself and the
// orders that its data centre's coordinator sends to it.
package member

import "time"

// State is the stage of a VM's engine.
type State string

// States of an engine.
const (
	Idle    State = "idle"    // not in a group
	Loading State = "loading" // loading weights or joining its group
	Ready   State = "ready"   // serving as part of its group
)

// Fence establishes an order among the commands of successive coordinators.
type Fence struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Before reports whether f is older than g.
func (f Fence) Before(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// Report is a VM's report about itself.
type Report struct {
	VM string `json:"vm"`
	// Incarnation changes whenever the engine restarts.
	Incarnation string `json:"incarnation"`
	State       State  `json:"state"`
	// Group, Generation, Model and Rank are zero while the VM is idle.
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Model      string `json:"model,omitempty"`
	Rank       int    `json:"rank,omitempty"`
	// Fence is the newest fence that the VM has accepted.
	Fence Fence `json:"fence"`
	// InFlight and Completed count requests. They may lag behind the actual
	// numbers.
	InFlight  int    `json:"in_flight"`
	Completed uint64 `json:"completed"`
	// StepLatency is the VM's recent time per token.
	StepLatency time.Duration `json:"step_latency_ns,omitempty"`
}

// Action is the action that an order requests.
type Action string

// Actions of an order.
const (
	Join  Action = "join"  // join a group at a generation
	Leave Action = "leave" // leave any group and become idle
)

// Order is a command to a VM.
type Order struct {
	VM         string `json:"vm"`
	Action     Action `json:"action"`
	Fence      Fence  `json:"fence"`
	Group      string `json:"group,omitempty"`
	Generation uint64 `json:"generation,omitempty"`
	Model      string `json:"model,omitempty"`
	Rank       int    `json:"rank,omitempty"`
	// Members lists the group's VMs by rank.
	Members []string `json:"members,omitempty"`
}
