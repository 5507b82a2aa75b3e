package group

// Code is the class of a Reason. Its value is stable.
type Code string

// Codes about a group or one of its members.
const (
	OK             Code = "ok"
	NotReporting   Code = "not-reporting"   // no fresh report
	EngineRefused  Code = "engine-refused"  // the VM refused the last probe's connection
	TurnedCold     Code = "turned-cold"     // the member restarted and is in no group
	InOtherGroup   Code = "in-other-group"  // the member reports another group, generation, model or rank
	StillLoading   Code = "loading"         // the member loads its weights
	NotJoined      Code = "not-joined"      // the member is idle and has not been told to join yet
	GroupDraining  Code = "draining"        // the group gets no new work
	NoSpare        Code = "no-spare"        // members are missing and the fabric domain has no spare
	LoadQueued     Code = "load-queued"     // waits until fewer groups load
	EmptyGroup     Code = "empty"           // the group has no members
	DataCentreOut  Code = "data-centre-out" // operators took the data centre out
	VMOut          Code = "vm-out"          // operators took the VM out
	VMLeaving      Code = "vm-leaving"      // the platform is about to take the VM away
	VMStopping     Code = "vm-stopping"     // a planned stop was asked for
	LoadFailed     Code = "load-failed"     // the VM failed to load and is passed over for a while
	LeavingEarlier Code = "leaving-earlier" // the VM still reports a group that it has to leave
	NoModel        Code = "no-model"        // no model may run in the data centre
	TooFewInDomain Code = "too-few-in-domain"
	WantedReached  Code = "wanted-reached" // every wanted group exists; the VM is a spare
	Reconciling    Code = "reconciling"    // the coordinator is new and compares the table with the reports
	NoCoordinator  Code = "no-coordinator" // this node does not hold the lease
	Waiting        Code = "waiting"        // the next tick decides
)

// Reason says why a group is not whole or why a VM is in no group.
type Reason struct {
	Code Code
	// VM is the member at fault, if there is one.
	VM string
	// Need is the number of VMs that are missing, if that is the cause.
	Need int
}

// remedies says what an operator can do about a code.
var remedies = map[Code]string{
	OK:             "nothing to do",
	NotReporting:   "check the VM and the network to it",
	EngineRefused:  "start the engine on the VM",
	TurnedCold:     "wait; the group is formed again",
	InOtherGroup:   "wait; the VM is told to leave",
	StillLoading:   "wait for the weights to load",
	NotJoined:      "wait; the order to join follows",
	GroupDraining:  "wait for the work in flight, or undrain",
	NoSpare:        "bring the missing VM back or add a VM to the fabric domain",
	LoadQueued:     "wait, or raise the limit of concurrent loads",
	EmptyGroup:     "report it with the data centre's groups row",
	DataCentreOut:  "undrain the data centre",
	VMOut:          "undrain the VM",
	VMLeaving:      "wait for the platform to replace it",
	VMStopping:     "finish or cancel the planned stop",
	LoadFailed:     "check the engine's log; the VM is tried again later",
	LeavingEarlier: "check that the VM can be reached; it must report that it left",
	NoModel:        "allow a model in the data centre",
	TooFewInDomain: "add VMs to the fabric domain or lower the group size",
	WantedReached:  "nothing to do; it is a spare",
	Reconciling:    "wait a few seconds",
	NoCoordinator:  "ask the node that holds the lease",
	Waiting:        "wait for the next tick",
}

// Remedy says what an operator can do.
func (r Reason) Remedy() string {
	return remedies[r.Code]
}
