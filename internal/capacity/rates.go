package capacity

import "time"

// Rates of the daemon's periodic work at its default settings, a second.
const (
	exchangeRate = 2.0  // exchanges
	usageRate    = 0.5  // budget.Usage to one ledger, at every fourth exchange
	probeRate    = 2.0  // probes of a VM, pulls of a prober
	tickRate     = 10.0 // ticks of the state machines
	digestRate   = 1.0  // config.Digest
	headRate     = 1.0  // reads of the configuration's head by a reader
	askRate      = 0.5  // requests for a promise to a rival in an outage
	listRate     = 0.2  // reads of the platform's list of VMs by a coordinator
	retryRate    = 1.5  // failing reads of the lease by a candidate in an outage
)

const (
	homes         = 2    // home nodes of an endpoint
	configReaders = 2    // of a data centre
	retained      = 256  // changes kept by a follower
	maxClaims     = 8192 // claim.DefaultMaxEntries
	claimRate     = 250  // claim transactions of all nodes together
	// hops is the number of entry VMs that a request passes: the one that the
	// balancer chose and a home node.
	hops = 2
	// tellBytes are the sender and the kind that a peers.Message names.
	tellBytes = 30
	// ordersPerMember are a member's orders when its group is formed again.
	ordersPerMember = 2
)

// scale is a size worked out for one state of the system.
type scale struct {
	Size
	s       Slopes
	nodes   float64 // of a data centre
	vms     float64
	groups  float64
	traffic Traffic
}

func newScale(s Slopes, size Size) scale {
	nodes, vms, groups := size.PerDataCentre()
	return scale{
		Size: size, s: s, nodes: float64(nodes), vms: float64(vms), groups: float64(groups),
		traffic: s.Traffic[size.Nodes],
	}
}

// cpu returns the part of a core that events at a rate take.
func cpu(rate float64, each time.Duration) float64 { return rate * each.Seconds() }

func perDay(n float64) float64 { return n / day.Seconds() }

// tell returns the bytes of a message between entry VMs.
func (c scale) tell(body int) float64 {
	return float64(body + tellBytes + c.s.Bytes.CallHeader)
}

// usageBytes are those of a node's usage messages to one ledger.
func (c scale) usageBytes() float64 { return usageRate * c.tell(c.s.Bytes.Usage) }

// changes is the number of configuration changes a second.
func (c scale) changes() float64 { return perDay(c.ChangesPerDay) }
