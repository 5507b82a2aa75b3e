package updates

import "time"

const (
	// demandWindow is the time over which a node's own demand is averaged.
	demandWindow = 3 * time.Second
	// demandTTL is how long a rate that another node has reported counts.
	demandTTL = time.Second
	// maxRate is the largest rate of requests a second that is believed.
	maxRate = 1e9
)

// Demand computes which part of the requests of all nodes this node gets. With its
// requests for updates a node reports the rate of its own requests, together with
// that of the nodes which ask it; the answers contain the rate of all.
type Demand struct {
	// own is the average rate of this node's requests a second, as of ownAt, when
	// it had got ownCount in all.
	own      float64
	ownAt    time.Time
	ownCount int64
	// requesters contains the rates that the nodes which ask this one have reported.
	requesters map[string]reportedRate
	// total is the rate of all requests according to the node that this one asks.
	total reportedRate
}

// reportedRate is a rate in requests a second, and when it was reported.
type reportedRate struct {
	rate float64
	at   time.Time
}

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand { return &Demand{requesters: make(map[string]reportedRate)} }

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

// RecordRequester records the rate that a node which asks this one has reported. A
// rate that no node can have is ignored.
func (d *Demand) RecordRequester(now time.Time, vm string, rate float64) {
	if vm == "" || !isRate(rate) {
		return
	}
	if _, known := d.requesters[vm]; !known && len(d.requesters) >= maxRequesters {
		return
	}
	d.requesters[vm] = reportedRate{rate, now}
}

// RecordTotal records the rate of all nodes' requests, from an answer of another
// node. A rate that no node can have is ignored.
func (d *Demand) RecordTotal(now time.Time, rate float64) {
	if isRate(rate) {
		d.total = reportedRate{rate, now}
	}
}

// isRate reports whether a number may be a rate of requests a second. It is false for
// NaN.
func isRate(rate float64) bool { return rate >= 0 && rate <= maxRate }

// Below returns the rate of this node's requests and of those of the nodes that
// ask it.
func (d *Demand) Below(now time.Time) float64 {
	rate := d.own
	for vm, reported := range d.requesters {
		if now.Sub(reported.at) >= demandTTL {
			delete(d.requesters, vm)
			continue
		}
		rate += reported.rate
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
// false if that is unknown: no request has come, or no other node has reported its
// rate.
func (d *Demand) Share(now time.Time) (share float64, ok bool) {
	total := d.Total(now)
	if total <= 0 || total <= d.own {
		return 0, false
	}
	return d.own / total, true
}
