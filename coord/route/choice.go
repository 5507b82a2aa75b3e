package route

import "github.com/pimentoshore/pimentoshore/coord/budget"

// MaxRefusals is the number of refusals by other nodes after which a request is
// no longer sent to any other node.
const MaxRefusals = 4

// Request holds the properties of a request that Pick depends on.
type Request struct {
	// Target is the requested model or service.
	Target string
	// Prefix holds the hashes of the prompt's prefix blocks, shortest prefix
	// first. If it is empty, cached prefixes are not considered.
	Prefix []uint64
	// Priority below 0 leaves part of each share free for other requests.
	Priority int
	// Tried names the endpoints, nodes and data centres at which this request
	// has failed. They are not chosen again.
	Tried []string
	// Refusals counts the nodes and data centres that refused this request.
	// After MaxRefusals of them only endpoints of this node are chosen, so
	// that refused requests do not multiply the traffic between nodes.
	Refusals int
	// LocalOnly is set on a request that another node forwarded. Only
	// endpoints in which this node has a share are chosen for it.
	LocalOnly bool
	// DataCentreOnly forbids spilling to another data centre.
	DataCentreOnly bool
}

// Action is the way in which a request is sent on.
type Action int

// Actions.
const (
	// Dispatch sends the request to an endpoint from this node.
	Dispatch Action = iota
	// Forward sends it to a home node of this data centre.
	Forward
	// Spill sends it to an entry VM of another data centre.
	Spill
)

// Choice is the destination of one attempt of a request. The caller passes it
// back in the event that ends the attempt.
type Choice struct {
	Action Action
	Target string
	// Endpoint, Generation and Ticket are set for Dispatch.
	Endpoint   string
	Generation uint64
	Ticket     budget.Ticket
	// Node is set for Forward and Spill, DataCentre for Spill.
	Node       string
	DataCentre string
	// PrefixHit is set if the endpoint probably caches the prompt's prefix.
	PrefixHit bool
	// candidate is the chosen candidate. It stays valid after its removal.
	candidate *candidate
}
