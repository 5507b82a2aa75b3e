package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/internal/peers"
)

// Kinds of messages between entry VMs.
const (
	kindDigest   = "config.digest"   // config.Digest
	kindPromise  = "lease.promise"   // promiseAsk, answered by lease.PromiseReply
	kindReleased = "lease.released"  // name of the lease
	kindAnnounce = "budget.announce" // budget.Announce, answered by budget.Usage
	kindGrants   = "budget.grants"   // []budget.Grant, answered by budget.Usage
	kindUsage    = "budget.usage"    // budget.Usage
	kindAsk      = "claim.ask"       // claimAsk, answered by claim.Reply
)

// messageTimeout bounds a message between entry VMs and, with its answer,
// the age at which it is still taken in.
const messageTimeout = time.Second

// sendTo tells another node something. A node's messages to itself are taken
// in at once. The answer, if any, is handed to then with mu held. mu is held.
func (n *Node) sendTo(vm, kind string, message any, then func(now time.Time, body []byte)) {
	body, err := json.Marshal(message)
	if err != nil {
		n.log.Error("a message could not be encoded", "kind", kind, "error", err)
		return
	}
	if vm == n.set.VM {
		n.spawn(func(context.Context) { n.tellSelf(kind, body, then) })
		return
	}
	node, ok := n.gossip.Get(vm)
	if !ok || node.Address == "" {
		return
	}
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		answer, err := n.peers.Tell(ctx, node.Address, peers.Message{Kind: kind, Body: body})
		if err != nil {
			n.log.Debug("a message was not answered", "kind", kind, "to", vm, "error", err)
			return
		}
		if then != nil && len(answer.Body) > 0 {
			n.locked(func(now time.Time) { then(now, answer.Body) })
		}
	})
}

func (n *Node) tellSelf(kind string, body []byte, then func(now time.Time, body []byte)) {
	answer, err := n.Tell(n.ctx, n.set.VM, peers.Message{Kind: kind, Body: body})
	if err == nil && then != nil && len(answer.Body) > 0 {
		n.locked(func(now time.Time) { then(now, answer.Body) })
	}
}

// Tell implements peers.Handler.
func (n *Node) Tell(ctx context.Context, from string, m peers.Message) (peers.Message, error) {
	if m.Kind == kindAsk {
		return take(m, func(ask claimAsk) (any, bool) { return n.answerAsk(ctx, ask) })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch m.Kind {
	case kindDigest:
		return take(m, func(d config.Digest) (any, bool) {
			n.digests[d.VM] = d
			n.stepConfig(now, config.DigestReceived{Digest: d})
			return nil, false
		})
	case kindPromise:
		return take(m, func(ask promiseAsk) (any, bool) {
			c, ok := n.candidacyOf(ask.Lease)
			if !ok {
				return nil, false
			}
			reply := n.stepLease(now, c, lease.PromiseRequested{Request: ask.Request})
			return reply, reply != nil
		})
	case kindReleased:
		return take(m, func(name string) (any, bool) {
			if c, ok := n.candidacyOf(name); ok {
				n.stepLease(now, c, lease.RowChanged{})
			}
			return nil, false
		})
	case kindAnnounce:
		return take(m, func(a budget.Announcement) (any, bool) { return n.takeAnnounce(from, a) })
	case kindGrants:
		return take(m, func(g []budget.Grant) (any, bool) { return n.takeGrants(now, g) })
	case kindUsage:
		return take(m, func(u budget.Usage) (any, bool) {
			n.takeUsage(now, n.ledgerOf(u.Source), u)
			return nil, false
		})
	}
	return peers.Message{}, errors.NotSupportedf("message kind %q", m.Kind)
}

// candidacyOf finds this node's candidacy for a lease by name.
func (n *Node) candidacyOf(name string) (*candidacy, bool) {
	switch name {
	case accountsLease:
		return n.accounts, true
	case n.set.DataCentre:
		return n.lease, true
	}
	return nil, false
}

// take decodes a message, hands it on and encodes what answers it.
func take[T any](m peers.Message, f func(T) (any, bool)) (peers.Message, error) {
	var v T
	if err := json.Unmarshal(m.Body, &v); err != nil {
		return peers.Message{}, errors.Annotatef(err, "message %s", m.Kind)
	}
	answer, ok := f(v)
	if !ok {
		return peers.Message{}, nil
	}
	body, err := json.Marshal(answer)
	return peers.Message{Kind: m.Kind, Body: body}, errors.Trace(err)
}

// ConfigurationSince implements peers.Handler.
func (n *Node) ConfigurationSince(after uint64) ([]config.Change, *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Since(after)
}

// Exchange implements peers.Handler.
func (n *Node) Exchange(dataCentre string, view gossip.View, known gossip.Counters) []gossip.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gossip.Delta(dataCentre, view, known)
}

// KnownVersions implements peers.Handler.
func (n *Node) KnownVersions(dataCentre string, view gossip.View) []gossip.ProcessVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gossip.KnownVersionsFrom(dataCentre, view)
}

// exchange pulls news from a few nodes and reports usage.
func (n *Node) exchange(context.Context) {
	n.locked(func(now time.Time) {
		n.publishLedgers(now)
		n.publishGroups(now)
		n.publishLoad(now)
		for _, p := range n.gossip.Tick(now, n.config.Number(), n.stopping) {
			known := n.gossip.KnownVersions(p.View)
			n.spawn(func(ctx context.Context) { n.pull(ctx, p, known) })
		}
		n.usageRounds++
		if n.usageRounds%usageEvery == 0 {
			n.reportUsage(n.usageRounds%fullUsageEvery == 0)
		}
		n.stepConfig(now, n.peersChanged(now))
	})
}

func (n *Node) pull(ctx context.Context, target gossip.Pull, known []gossip.ProcessVersion) {
	delta, err := n.peers.Exchange(ctx, target.Address, target.View, known)
	if err != nil {
		n.log.Debug("an exchange failed", "with", target.VM, "error", err)
		return
	}
	n.locked(func(now time.Time) {
		for _, vm := range n.gossip.Merge(now, target.VM, delta) {
			if node, ok := n.gossip.Get(vm); ok {
				n.learnLedgers(node)
				n.learnGroups(now, node)
			}
		}
		n.readLoads(now)
	})
}

func (n *Node) peersChanged(now time.Time) config.PeersChanged {
	var ev config.PeersChanged
	for _, node := range n.gossip.Live(now, "") {
		switch {
		case node.VM == n.set.VM:
		case node.DataCentre == n.set.DataCentre:
			ev.Local = append(ev.Local, node.VM)
		default:
			ev.Remote = append(ev.Remote, node.VM)
		}
	}
	return ev
}

func (n *Node) addressOf(vm string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, _ := n.gossip.Get(vm)
	return node.Address
}
