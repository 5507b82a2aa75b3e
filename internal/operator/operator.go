// Package operator defines the messages of the daemons' operator interface, which
// the command line uses.
package operator

import "time"

// Paths of the operator interface. Responses are JSON; errors are problem
// documents.
const (
	StatusPath         = "/operator/status"           // GET, returns Status
	ExplainVMPath      = "/operator/explain/vm/"      // GET, + VM, returns VMExplanation
	ExplainRequestPath = "/operator/explain/request/" // GET, + request id, returns RequestExplanation
	// StopPath accepts a POST without a body, starts the graceful shutdown of the
	// daemon that receives it and returns 202.
	StopPath = "/operator/stop"
	// The paths of planned stops accept a POST, + name. They take a VM, the
	// members of a group or a data centre out of service and return Stop with
	// 202. Any node accepts them; the status shows the progress.
	StopVMPath         = "/operator/stop/vm/"
	StopGroupPath      = "/operator/stop/group/"
	StopDataCentrePath = "/operator/stop/data-centre/"
)

// HeaderPassed marks a request that another node has forwarded. Such a request is
// not forwarded again.
const HeaderPassed = "Pimentoshore-Passed"

// Stop is an accepted planned stop. It remains in force until the VMs or the data
// centre are brought back, even if the coordinator changes.
type Stop struct {
	Scope string `json:"scope"` // "vm", "group" or "data-centre"
	Name  string `json:"name"`
	// VMs are the VMs taken out of service; empty for a data centre.
	VMs []string `json:"vms,omitempty"`
	// Configuration is the number of the configuration change.
	Configuration uint64 `json:"configuration"`
}

// Status is one node's view of the whole system.
type Status struct {
	// Node is the node that answers; it is one of Nodes.
	Node        string       `json:"node"`
	Nodes       []Node       `json:"nodes"`
	DataCentres []DataCentre `json:"data_centres"`
	// PlatformReachable is true if the node's last call to the table service
	// was answered. PlatformAge is the time since the last answered call.
	PlatformReachable bool          `json:"platform_reachable"`
	PlatformAge       time.Duration `json:"platform_age_ns"`
}

// Node is one entry VM.
type Node struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	// Operators is the address of the node's operator interface.
	Operators string `json:"operators,omitempty"`
	// Configuration is the number of the configuration in force on the node.
	// ConfigurationAge is the time since the newest successful read of the
	// platform that the node knows of; negative if there is none.
	Configuration    uint64        `json:"configuration"`
	ConfigurationAge time.Duration `json:"configuration_age_ns"`
	Stopping         bool          `json:"stopping,omitempty"`
	// LastHeard is the time since the answering node last saw this node's gossip
	// counter advance; 0 for the answering node itself.
	LastHeard time.Duration `json:"last_heard_ns"`
}

// DataCentre is the state of one data centre.
type DataCentre struct {
	Name string `json:"name"`
	Out  bool   `json:"out,omitempty"`
	// Coordinator is the entry VM that holds the lease, or empty if none is
	// known. Term is the term of the lease.
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	// Degraded is the reason why the coordinator cannot act fully, for example
	// that the platform is unreachable; empty if it can.
	Degraded string `json:"degraded,omitempty"`
	// Groups are sorted by name, Unassigned by VM.
	Groups     []Group        `json:"groups"`
	Unassigned []UnassignedVM `json:"unassigned"`
	// Services are the endpoints of plain services, sorted by VM.
	Services []ServiceEndpoint `json:"services,omitempty"`
}

// GroupState is the state of a group.
type GroupState string

// States of a group.
const (
	GroupServing  GroupState = "serving"
	GroupWarming  GroupState = "warming" // serves within a cold limit
	GroupLoading  GroupState = "loading" // members load or join
	GroupDraining GroupState = "draining"
	GroupDown     GroupState = "down" // a member is missing or differs
)

// Group is one replica of a model.
type Group struct {
	Name         string     `json:"name"`
	Model        string     `json:"model"`
	Generation   uint64     `json:"generation"`
	FabricDomain string     `json:"fabric_domain"`
	State        GroupState `json:"state"`
	// Reason explains a state other than serving.
	Reason string `json:"reason,omitempty"`
	// Members are its VMs by rank.
	Members []string `json:"members"`
	// InFlight and Limit are the values known to the answering node.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
}

// UnassignedVM is a model VM that is in no group.
type UnassignedVM struct {
	VM           string `json:"vm"`
	FabricDomain string `json:"fabric_domain"`
	Accelerators int    `json:"accelerators"`
	// Healthy is true if the VM reports and is not taken out of service, so that
	// its accelerators are stranded.
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason"`
}

// ServiceEndpoint is one VM of a plain service.
type ServiceEndpoint struct {
	VM       string `json:"vm"`
	Service  string `json:"service"`
	Serving  bool   `json:"serving"`
	Reason   string `json:"reason,omitempty"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
}

// VMExplanation describes what a VM does and why.
type VMExplanation struct {
	VM string `json:"vm"`
	// Node is the node that answers.
	Node         string `json:"node,omitempty"`
	Role         string `json:"role"`
	DataCentre   string `json:"data_centre"`
	FabricDomain string `json:"fabric_domain,omitempty"`
	// Group is empty if the VM is in none.
	Group string `json:"group,omitempty"`
	// ReportedState and ReportedGroup come from the VM's own report. ReportAge
	// is the time since the report was read; negative if there is none.
	ReportedState string        `json:"reported_state,omitempty"`
	ReportedGroup string        `json:"reported_group,omitempty"`
	ReportAge     time.Duration `json:"report_age_ns"`
	// Reasons explain why the VM is in no group or why its group does not serve,
	// the most important first. Reasons is empty if the VM serves.
	Reasons []Reason `json:"reasons,omitempty"`
}

// Reason is a cause and what an operator can do about it.
type Reason struct {
	Cause  string `json:"cause"`
	Remedy string `json:"remedy"`
}

// RequestExplanation describes the result of a recent request.
type RequestExplanation struct {
	Request string `json:"request"`
	// Node is the node that answers. Forwarded is true if it received the request
	// from another node, which knows the complete path.
	Node      string `json:"node,omitempty"`
	Forwarded bool   `json:"forwarded,omitempty"`
	// Account, Target (a model or service) and Outcome are as in the log. The
	// outcome is "answered", "refused", "failed" or "running".
	Account string `json:"account"`
	Target  string `json:"target"`
	Outcome string `json:"outcome"`
	// Kind and Ran are those of the problem document, if one was returned.
	Kind string `json:"kind,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Hops are the VMs on the request's path, the endpoint last.
	Hops    []string `json:"hops"`
	Reasons []Reason `json:"reasons,omitempty"`
}
