package route

import "time"

// Event is an observation that a Table takes in through Step.
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
	// Serving is set while the endpoint is whole and neither leaving nor out.
	Serving bool
}

func (e Endpoint) tier() tier {
	if e.Guest {
		return guest
	}
	return local
}

// EndpointUpdated adds an endpoint or replaces what is known of it.
type EndpointUpdated struct{ Endpoint Endpoint }

// EndpointRemoved removes an endpoint.
type EndpointRemoved struct{ Name string }

// LoadReported is an endpoint's lagging report of its load.
type LoadReported struct {
	Endpoint    string
	Incarnation string
	// InFlight counts requests of all nodes.
	InFlight int
	// Limit is what the endpoint bears at present; 0 if unknown.
	Limit int
	// StepLatency is the recent time per token; 0 if unknown.
	StepLatency time.Duration
}

// PeerReported is a home node's lagging report of its shares of one target.
type PeerReported struct {
	Node     string
	Target   string
	Limit    int
	InFlight int
}

// PeerRemoved removes a node of this data centre that is stopping or gone.
type PeerRemoved struct{ Node string }

// RemoteReported is a lagging summary of one target in another data centre.
type RemoteReported struct {
	DataCentre string
	Target     string
	Limit      int
	InFlight   int
	// Node is the entry VM to which requests for the target are sent.
	Node string
}

// RemoteRemoved removes another data centre that is out or unreachable. When
// it is reported again, load returns to it gradually.
type RemoteRemoved struct{ DataCentre string }

// FirstToken says that the answer to a request has begun.
type FirstToken struct {
	Choice Choice
	Took   time.Duration
}

// Completed says that a request got its whole answer. It gives the ticket of
// a local choice back.
type Completed struct {
	Choice Choice
	Took   time.Duration
	// FirstTokenReported says that FirstToken was reported before.
	FirstTokenReported bool
	// Incarnation is the one named in the answer, if any.
	Incarnation string
}

// Reason says how a dispatch failed.
type Reason int

// Reasons of failed dispatches.
const (
	// Refused: the endpoint or node answered that it cannot take the request.
	Refused Reason = iota
	// Broken: the connection failed, the answer was cut or it was an error.
	// Without an incarnation in the answer, the endpoint may have restarted.
	Broken
	// FailedDownstream: the node that the request was sent to answered, but what
	// it sent the request on to failed.
	FailedDownstream
	// Cancelled: the caller went away. It says nothing about the endpoint.
	Cancelled
)

// Failed says that a request ended without a whole answer. It gives the
// ticket of a local choice back.
type Failed struct {
	Choice Choice
	Reason Reason
	// FirstTokenReported says that FirstToken was reported before.
	FirstTokenReported bool
	// Incarnation is the one named in the answer, if any.
	Incarnation string
}

// CacheEvent says which prefix blocks an endpoint has stored or dropped.
// Events come late and with gaps.
type CacheEvent struct {
	Endpoint    string
	Incarnation string
	Stored      []uint64
	Removed     []uint64
	// Cleared says that the whole cache was dropped before Stored.
	Cleared bool
}

// Tick lets time-dependent state advance. It is cheap when nothing is due.
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
