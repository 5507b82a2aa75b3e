package daemon

import (
	"context"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/probe"
)

// Reports implements peers.Handler.
func (n *Node) Reports(req probe.Request) probe.Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownProbes.Answer(time.Now(), req)
}

// pullReports pulls the results of other nodes' probes. n.mu must be held.
func (n *Node) pullReports(probers map[string]bool) {
	for vm := range n.followers {
		if !probers[vm] {
			delete(n.followers, vm)
		}
	}
	for vm := range probers {
		f, ok := n.followers[vm]
		if !ok {
			f = probe.NewFollower()
			n.followers[vm] = f
		}
		node, known := n.gossip.Get(vm)
		if known && !n.pullsInFlight[vm] {
			n.pullsInFlight[vm] = true
			req := f.Request()
			n.spawn(func(ctx context.Context) { n.pullReportsFrom(ctx, f, vm, node.Address, req) })
		}
	}
}

func (n *Node) pullReportsFrom(ctx context.Context, f *probe.Follower, vm, address string, req probe.Request) {
	sent := time.Now()
	answer, err := n.peers.Reports(ctx, address, req)
	n.locked(func(now time.Time) {
		delete(n.pullsInFlight, vm)
		if err != nil {
			n.log.Debug("pulling reports from a prober failed", "prober", vm, "error", err)
			return
		}
		for _, s := range f.Merge(now, sent, req, answer) {
			if s.Refused {
				n.recordRefusal(now, s.SentAt, s.Report.VM)
			} else {
				n.recordReport(now, s.SentAt, s.Report)
			}
		}
	})
}
