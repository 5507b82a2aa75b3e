// Package operator defines the messages of the daemons' operators'
// interface, which the command line reads.
package operator

import "time"

// Paths of the operators' interface. Answers are JSON, errors problem
// documents.
const (
	StatusPath         = "/operator/status"           // answers Status
	ExplainVMPath      = "/operator/explain/vm/"      // GET, + VM, answers VMExplanation
	ExplainRequestPath = "/operator/explain/request/" // GET, + request id, answers RequestExplanation
	// StopPath is a POST without a body that begins the graceful shutdown of
	// the daemon that receives it and answers 202.
	StopPath = "/operator/stop"
	// The paths of planned stops are POSTs, + name, that take a VM, the
	// members of a group or a data centre out and answer Stop with 202. Any
	// node takes them; the status tells the progress.
	StopVMPath         = "/operator/stop/vm/"
	StopGroupPath      = "/operator/stop/group/"
	StopDataCentrePath = "/operator/stop/data-centre/"
)

// HeaderPassed marks a request that another node has passed on, which is not
// passed on again.
const HeaderPassed = "Pimentoshore-Passed"

// Stop is an accepted planned stop. It holds until the VMs or the data centre
// are brought back, over changes of the coordinator as well.
type Stop struct {
	Scope string `json:"scope"` // "vm", "group" or "data-centre"
	Name  string `json:"name"`
	// VMs are taken out; none are listed for a data centre.
	VMs []string `json:"vms,omitempty"`
	// Configuration is the number of the change.
	Configuration uint64 `json:"configuration"`
}

// Status is what one node knows of the whole system.
type Status struct {
	// Node answers; it is one of Nodes.
	Node        string       `json:"node"`
	Nodes       []Node       `json:"nodes"`
	DataCentres []DataCentre `json:"data_centres"`
	// PlatformReachable says whether the node's last call to the table
	// service was answered, PlatformAge how long ago one was.
	PlatformReachable bool          `json:"platform_reachable"`
	PlatformAge       time.Duration `json:"platform_age_ns"`
}

// Node is one entry VM.
type Node struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	// Operators is the address of the node's operators' interface.
	Operators string `json:"operators,omitempty"`
	// Configuration is the number in force there; ConfigurationAge is how
	// long the node has known that it was the newest.
	Configuration    uint64        `json:"configuration"`
	ConfigurationAge time.Duration `json:"configuration_age_ns"`
	Stopping         bool          `json:"stopping,omitempty"`
	// LastHeard is how long ago the answering node heard from this one; 0
	// for itself.
	LastHeard time.Duration `json:"last_heard_ns"`
}

// DataCentre is the state of one data centre.
type DataCentre struct {
	Name string `json:"name"`
	Out  bool   `json:"out,omitempty"`
	// Coordinator is the entry VM that holds the lease, empty if none is
	// known; Term is the lease's.
	Coordinator string `json:"coordinator"`
	Term        uint64 `json:"term"`
	// Degraded says why the coordinator is held back, for instance that the
	// platform is unreachable; empty if it is not.
	Degraded string `json:"degraded,omitempty"`
	// Groups are in order of name, Unassigned in order of VM.
	Groups     []Group        `json:"groups"`
	Unassigned []UnassignedVM `json:"unassigned"`
	// Services are the plain services' endpoints in order of VM.
	Services []ServiceEndpoint `json:"services,omitempty"`
}

// GroupState is the stage of a group.
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
	// Reason says why the group is in a state other than serving.
	Reason string `json:"reason,omitempty"`
	// Members are its VMs by rank.
	Members []string `json:"members"`
	// InFlight and Limit are as the answering node knows them.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
}

// UnassignedVM is a model VM that is in no group.
type UnassignedVM struct {
	VM           string `json:"vm"`
	FabricDomain string `json:"fabric_domain"`
	Accelerators int    `json:"accelerators"`
	// Healthy says that the VM reports and is not out, so that its
	// accelerators are stranded.
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

// VMExplanation says what a VM does and why.
type VMExplanation struct {
	VM string `json:"vm"`
	// Node answers.
	Node         string `json:"node,omitempty"`
	Role         string `json:"role"`
	DataCentre   string `json:"data_centre"`
	FabricDomain string `json:"fabric_domain,omitempty"`
	// Group is empty if the VM is in none.
	Group string `json:"group,omitempty"`
	// ReportedState and ReportedGroup are the VM's own account, ReportAge
	// the time since it was read; negative if there is none.
	ReportedState string        `json:"reported_state,omitempty"`
	ReportedGroup string        `json:"reported_group,omitempty"`
	ReportAge     time.Duration `json:"report_age_ns"`
	// Reasons say why the VM is in no group or its group does not serve,
	// the most important first; empty if it serves.
	Reasons []Reason `json:"reasons,omitempty"`
}

// Reason is one cause with what an operator can do about it.
type Reason struct {
	Cause  string `json:"cause"`
	Remedy string `json:"remedy"`
}

// RequestExplanation says what became of a recent request.
type RequestExplanation struct {
	Request string `json:"request"`
	// Node answers. Forwarded says that it had the request from another
	// node, which knows the whole way.
	Node      string `json:"node,omitempty"`
	Forwarded bool   `json:"forwarded,omitempty"`
	// Account, Target (a model or service) and Outcome are as logged. The
	// outcome is "answered", "refused", "failed" or "running".
	Account string `json:"account"`
	Target  string `json:"target"`
	Outcome string `json:"outcome"`
	// Kind and Ran are those of the problem document, if one was answered.
	Kind string `json:"kind,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Hops are the VMs that the request passed, the endpoint last.
	Hops    []string `json:"hops"`
	Reasons []Reason `json:"reasons,omitempty"`
}
