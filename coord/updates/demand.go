package updates

import "time"

const (
	// demandWindow is the time over which a node's own demand is averaged.
	demandWindow = 3 * time.Second
	// demandTTL is how long what another node has told counts.
	demandTTL = time.Second
)

// Demand knows which part of the requests of all nodes this node gets. Nodes tell
// the node that they ask for updates the rate of their own requests, together with
// that of the nodes which ask them, and hear with its answer the rate of all.
type Demand struct {
	// own is the average rate of this node's requests a second, as of ownAt, when
	// it had got ownCount in all.
	own      float64
	ownAt    time.Time
	ownCount int64
	// requesters contains what the nodes that ask this one have told.
	requesters map[string]toldRate
	// total is what the node that this one asks has told.
	total toldRate
}

// toldRate is a rate in requests a second, and when it was told.
type toldRate struct {
	rate float64
	at   time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand { return &Demand{requesters: make(map[string]toldRate)} }

// Count updates this node's own rate from the number of its requests so far.
func (d *Demand) Count(now time.Time, count int64) {
	elapsed := now.Sub(d.ownAt)
	if d.ownAt.IsZero() {
		d.ownAt, d.ownCount = now, count
		return
	}
	if elapsed < demandWindow/10 {
		return
	}
	rate := float64(count-d.ownCount) / elapsed.Seconds()
	weight := min(1, elapsed.Seconds()/demandWindow.Seconds())
	d.own += weight * (rate - d.own)
	d.ownAt, d.ownCount = now, count
}

// Told records the rate that a node which asks this one has told.
func (d *Demand) Told(now time.Time, vm string, rate float64) {
	if vm == "" {
		return
	}
	if _, known := d.requesters[vm]; !known && len(d.requesters) >= maxRequesters {
		return
	}
	d.requesters[vm] = toldRate{rate, now}
}

// Heard records the rate of all nodes' requests, from an answer of another node.
func (d *Demand) Heard(now time.Time, rate float64) { d.total = toldRate{rate, now} }

// Below returns the rate of this node's requests and of those of the nodes that
// ask it.
func (d *Demand) Below(now time.Time) float64 {
	rate := d.own
	for vm, told := range d.requesters {
		if now.Sub(told.at) >= demandTTL {
			delete(d.requesters, vm)
			continue
		}
		rate += told.rate
	}
	return rate
}

// Total returns the rate of all nodes' requests, as far as it is known here.
func (d *Demand) Total(now time.Time) float64 {
	below := d.Below(now)
	if now.Sub(d.total.at) >= demandTTL {
		return below
	}
	return max(d.total.rate, below)
}

// Share returns which part of all nodes' requests this node gets, from 0 to 1. ok is
// false if it can't tell: no request has come, or no other node has been heard of.
func (d *Demand) Share(now time.Time) (share float64, ok bool) {
	total := d.Total(now)
	if total <= 0 || total <= d.own {
		return 0, false
	}
	return d.own / total, true
}
