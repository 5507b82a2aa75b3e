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
	return n.seen.Answer(time.Now(), req)
}

// pullReports asks other nodes for what their probes have seen. mu is held.
func (n *Node) pullReports(probers map[string]bool) {
	for vm := range n.followed {
		if !probers[vm] {
			delete(n.followed, vm)
		}
	}
	for vm := range probers {
		f, ok := n.followed[vm]
		if !ok {
			f = probe.NewFollower()
			n.followed[vm] = f
		}
		node, known := n.gossip.Get(vm)
		if known && !n.pulling[vm] {
			n.pulling[vm] = true
			req := f.Request()
			n.spawn(func(ctx context.Context) { n.pullFrom(ctx, f, vm, node.Address, req) })
		}
	}
}

func (n *Node) pullFrom(ctx context.Context, f *probe.Follower, vm, address string, req probe.Request) {
	sent := time.Now()
	answer, err := n.peers.Reports(ctx, address, req)
	n.locked(func(now time.Time) {
		delete(n.pulling, vm)
		if err != nil {
			n.log.Debug("a prober did not answer", "prober", vm, "error", err)
			return
		}
		for _, s := range f.Merge(now, sent, req, answer) {
			if s.Refused {
				n.refused(now, s.SentAt, s.Report.VM)
			} else {
				n.observe(now, s.SentAt, s.Report)
			}
		}
	})
}
