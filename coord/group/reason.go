package group

// Code identifies the kind of a Reason. The values are stable.
type Code string

// Codes about a group or one of its members.
const (
	OK             Code = "ok"
	NotReporting   Code = "not-reporting"   // no fresh report
	EngineRefused  Code = "engine-refused"  // the VM refused the last probe's connection
	TurnedCold     Code = "turned-cold"     // the member restarted and is in no group
	InOtherGroup   Code = "in-other-group"  // the member reports another group, generation, model or rank
	StillLoading   Code = "loading"         // the member loads its weights
	NotJoined      Code = "not-joined"      // the member is idle and has not been ordered to join yet
	GroupDraining  Code = "draining"        // the group is draining and gets no new work
	NoSpare        Code = "no-spare"        // members are missing and the fabric domain has no spare
	LoadQueued     Code = "load-queued"     // the group waits for a load slot
	EmptyGroup     Code = "empty"           // the group has no members
	DataCentreOut  Code = "data-centre-out" // operators marked the data centre out
	VMOut          Code = "vm-out"          // operators marked the VM out
	VMLeaving      Code = "vm-leaving"      // the platform is about to take the VM away
	VMStopping     Code = "vm-stopping"     // a planned stop is requested
	LoadFailed     Code = "load-failed"     // the VM failed to load and is not used for LoadBackoff
	LeavingEarlier Code = "leaving-earlier" // the VM has not left its earlier group yet
	NoModel        Code = "no-model"        // no model may run in the data centre
	TooFewInDomain Code = "too-few-in-domain"
	WantedReached  Code = "wanted-reached" // every wanted group exists; the VM is a spare
	Reconciling    Code = "reconciling"    // the coordinator is new and waits for the row and the reports
	NoCoordinator  Code = "no-coordinator" // this node does not hold the lease
	Waiting        Code = "waiting"        // the next tick decides
)

// Reason explains why a group is not whole or why a VM is in no group.
type Reason struct {
	Code Code
	// VM is the VM that causes the reason, if there is one.
	VM string
	// Need is the number of missing VMs, if VMs are missing.
	Need int
}

// remedies maps codes to advice for operators.
var remedies = map[Code]string{
	OK:             "nothing to do",
	NotReporting:   "check the VM and the network to it",
	EngineRefused:  "start the engine on the VM",
	TurnedCold:     "wait; the group is being formed again",
	InOtherGroup:   "wait; the VM will be ordered to leave",
	StillLoading:   "wait for the weights to load",
	NotJoined:      "wait; the VM will be ordered to join",
	GroupDraining:  "wait for the work in flight, or undrain the group",
	NoSpare:        "bring the missing VM back or add a VM to the fabric domain",
	LoadQueued:     "wait, or raise the limit of concurrent loads",
	EmptyGroup:     "file a bug report with the data centre's groups row",
	DataCentreOut:  "undrain the data centre",
	VMOut:          "undrain the VM",
	VMLeaving:      "wait for the platform to replace it",
	VMStopping:     "finish or cancel the planned stop",
	LoadFailed:     "check the engine's log; the VM will be tried again later",
	LeavingEarlier: "check that the VM can be reached; it must report that it has left",
	NoModel:        "allow a model in the data centre",
	TooFewInDomain: "add VMs to the fabric domain or lower the group size",
	WantedReached:  "nothing to do; it is a spare",
	Reconciling:    "wait a few seconds",
	NoCoordinator:  "send the request to the node that holds the lease",
	Waiting:        "wait for the next tick",
}

// Remedy returns advice for operators.
func (r Reason) Remedy() string {
	return remedies[r.Code]
}
