package capacity

import "time"

// Rates per second of the daemon's periodic work at its default settings.
const (
	exchangeRate = 2.0  // exchanges
	usageRate    = 0.5  // budget.Usage messages to one ledger, sent at every fourth exchange
	probeRate    = 2.0  // probes of a VM; pulls of reports from a prober
	tickRate     = 10.0 // ticks of the state machines
	digestRate   = 1.0  // config.Digest messages
	headReadRate = 1.0  // reads of the head of the configuration by a reader
	promiseRate  = 0.5  // requests for a promise to a rival candidate in an outage
	listReadRate = 0.2  // reads of the platform's list of VMs by a coordinator
	retryRate    = 1.5  // failed reads of the lease by a candidate in an outage
)

const (
	homeNodes       = 2    // home nodes per endpoint
	configReaders   = 2    // configuration readers per data centre
	retainedChanges = 256  // changes kept by a follower
	maxClaims       = 8192 // claim.DefaultMaxEntries
	claimRate       = 250  // claim transactions per second of all nodes together
	// hops is the number of entry VMs that a request passes: the one that the
	// load balancer chose and a home node.
	hops = 2
	// envelopeBytes is the size of the sender and the kind in a peers.Message.
	envelopeBytes = 30
	// ordersPerMember is the number of orders to each member when its group is
	// formed again.
	ordersPerMember = 2
)

// scale combines a size, the slopes and the numbers that follow from the size.
type scale struct {
	Size
	slopes  Slopes
	nodes   float64 // entry VMs per data centre
	vms     float64 // endpoint VMs per data centre
	groups  float64 // per data centre
	traffic Traffic
}

func newScale(s Slopes, size Size) scale {
	nodes, vms, groups := size.PerDataCentre()
	return scale{
		Size: size, slopes: s, nodes: float64(nodes), vms: float64(vms), groups: float64(groups),
		traffic: s.Traffic[size.Nodes],
	}
}

// coreFraction returns the fraction of a core that events at a rate per second
// take.
func coreFraction(rate float64, each time.Duration) float64 { return rate * each.Seconds() }

// perSecond converts a number per day to a rate per second.
func perSecond(n float64) float64 { return n / day.Seconds() }

// messageBytes returns the bytes of a message between entry VMs whose body has
// the given size.
func (c scale) messageBytes(body int) float64 {
	return float64(body + envelopeBytes + c.slopes.Bytes.CallHeader)
}

// usageByteRate returns the bytes per second of a node's usage messages to one
// ledger.
func (c scale) usageByteRate() float64 { return usageRate * c.messageBytes(c.slopes.Bytes.Usage) }

// changeRate returns the number of configuration changes per second.
func (c scale) changeRate() float64 { return perSecond(c.ChangesPerDay) }
