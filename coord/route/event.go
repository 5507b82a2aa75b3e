package route

import "time"

// Event is an observation that is applied to a Table by Step.
type Event interface{ event() }

// Endpoint is a group or a service VM of this data centre, or one of another
// data centre in which this node holds a guest share.
type Endpoint struct {
	Name        string
	Incarnation string
	// Target is the model or service that the endpoint serves.
	Target     string
	Generation uint64
	// Guest is set on an endpoint of another data centre.
	Guest bool
	// Serving is set while the endpoint can take requests: it is whole, not
	// draining, and none of its VMs is out.
	Serving bool
}

func (e Endpoint) tier() tier {
	if e.Guest {
		return guest
	}
	return local
}

// EndpointUpdated adds an endpoint or replaces its data.
type EndpointUpdated struct{ Endpoint Endpoint }

// EndpointRemoved removes an endpoint.
type EndpointRemoved struct{ Name string }

// LoadReported is an endpoint's delayed report of its load.
type LoadReported struct {
	Endpoint    string
	Incarnation string
	// InFlight counts the requests in flight of all nodes.
	InFlight int
	// Limit is the number of concurrent requests that the endpoint can take
	// at present; 0 if unknown.
	Limit int
	// StepLatency is the recent time per token; 0 if unknown.
	StepLatency time.Duration
}

// PeerReported is a home node's delayed report of its shares of one target.
type PeerReported struct {
	Node     string
	Target   string
	Limit    int
	InFlight int
}

// PeerRemoved removes a node of this data centre that is stopping or no longer
// live.
type PeerRemoved struct{ Node string }

// RemoteReported is a delayed summary of one target in another data centre.
type RemoteReported struct {
	DataCentre string
	Target     string
	Limit      int
	InFlight   int
	// Node is the entry VM to which requests for the target are sent.
	Node string
}

// RemoteRemoved removes another data centre that is out or unreachable. When
// it is reported again, its load is increased gradually.
type RemoteRemoved struct{ DataCentre string }

// FirstToken reports that the answer to a request has begun.
type FirstToken struct {
	Choice Choice
	Took   time.Duration // since the start of the attempt
}

// Completed reports that a request got its whole answer. It releases the
// ticket of a Dispatch choice.
type Completed struct {
	Choice Choice
	Took   time.Duration // since the start of the attempt
	// FirstTokenReported is set if FirstToken was reported before.
	FirstTokenReported bool
	// Incarnation is the one named in the answer, if any.
	Incarnation string
}

// Reason is the way in which an attempt failed.
type Reason int

// Reasons of failed attempts.
const (
	// Refused means that the endpoint or node answered that it cannot take
	// the request.
	Refused Reason = iota
	// Broken means that the connection failed, or that the answer was
	// incomplete or an error. If the answer named no incarnation, the
	// endpoint may have restarted.
	Broken
	// FailedDownstream means that the node to which the request was sent answered,
	// but that the request failed at the destination chosen by that node.
	FailedDownstream
	// Cancelled means that the caller went away. It implies nothing about the
	// endpoint.
	Cancelled
)

// Failed reports that a request ended without a whole answer. It releases the
// ticket of a Dispatch choice.
type Failed struct {
	Choice Choice
	Reason Reason
	// FirstTokenReported is set if FirstToken was reported before.
	FirstTokenReported bool
	// Incarnation is the one named in the answer, if any.
	Incarnation string
}

// CacheEvent lists the prefix blocks that an endpoint has stored in its cache
// or removed from it. Events may arrive late or get lost.
type CacheEvent struct {
	Endpoint    string
	Incarnation string
	Stored      []uint64
	Removed     []uint64
	// Cleared is set if the whole cache was cleared before Stored.
	Cleared bool
}

// Tick advances time-dependent state. It is cheap when nothing is due.
type Tick struct{}

func (EndpointUpdated) event() {}
func (EndpointRemoved) event() {}
func (LoadReported) event()    {}
func (PeerReported) event()    {}
func (PeerRemoved) event()     {}
func (RemoteReported) event()  {}
func (RemoteRemoved) event()   {}
func (FirstToken) event()      {}
func (Completed) event()       {}
func (Failed) event()          {}
func (CacheEvent) event()      {}
func (Tick) event()            {}
