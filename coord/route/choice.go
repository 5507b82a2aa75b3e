package route

import "github.com/pimentoshore/pimentoshore/coord/budget"

// MaxRefusals bounds how often one request is refused elsewhere.
const MaxRefusals = 4

// Request is what the choice of an endpoint depends on.
type Request struct {
	// Target is the model or service asked for.
	Target string
	// Prefix holds the hashes of the prompt's prefix blocks, shortest prefix
	// first; empty means no locality.
	Prefix []uint64
	// Priority below 0 leaves some of each endpoint's share to others.
	Priority int
	// Tried names endpoints, nodes and data centres that have failed this
	// request and are not chosen again.
	Tried []string
	// Refusals counts the nodes and data centres that refused this request.
	// After MaxRefusals it is served by this node or not at all, so that
	// refused requests do not multiply in the network.
	Refusals int
	// LocalOnly is set on a request that another node forwarded; it is
	// served from this node's own shares or not at all.
	LocalOnly bool
	// DataCentreOnly forbids spilling to another data centre.
	DataCentreOnly bool
}

// Action says where a request goes.
type Action int

// Actions of a choice.
const (
	// Dispatch sends the request to an endpoint from this node.
	Dispatch Action = iota
	// Forward sends it to a home node of this data centre.
	Forward
	// Spill sends it to an entry VM of another data centre.
	Spill
)

// Choice is where one attempt of a request goes. It is handed back in the
// event that ends the attempt.
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
	// PrefixHit says that the prompt's prefix is probably cached there.
	PrefixHit bool
	// candidate is the chosen one, also after it has been removed.
	candidate *candidate
}
