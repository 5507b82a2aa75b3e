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
	kindDigest       = "config.digest"   // config.Digest
	kindPromise      = "lease.promise"   // promiseRequest, answered by lease.PromiseReply
	kindReleased     = "lease.released"  // name of the lease
	kindAnnouncement = "budget.announce" // budget.Announcement, answered by budget.Usage
	kindGrants       = "budget.grants"   // []budget.Grant, answered by budget.Usage
	kindUsage        = "budget.usage"    // budget.Usage
	kindClaimQuery   = "claim.ask"       // claimQuery, answered by claim.Reply
)

// messageTimeout bounds a message between entry VMs together with its reply. A
// ledger acts on a message only if its lease lasts at least this much longer.
const messageTimeout = time.Second

// sendTo sends a message to a node. A message to this node itself is handled
// locally. n.mu must be held. If the reply has a body, it is passed to onReply,
// which is also called with n.mu held.
func (n *Node) sendTo(vm, kind string, message any, onReply func(now time.Time, body []byte)) {
	body, err := json.Marshal(message)
	if err != nil {
		n.log.Error("encoding a message failed", "kind", kind, "error", err)
		return
	}
	if vm == n.settings.VM {
		n.spawn(func(context.Context) { n.deliverToSelf(kind, body, onReply) })
		return
	}
	node, ok := n.gossip.Get(vm)
	if !ok || node.Address == "" {
		return
	}
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, messageTimeout)
		defer cancel()
		reply, err := n.peers.Tell(ctx, node.Address, peers.Message{Kind: kind, Body: body})
		if err != nil {
			n.log.Debug("message not answered", "kind", kind, "to", vm, "error", err)
			return
		}
		if onReply != nil && len(reply.Body) > 0 {
			n.locked(func(now time.Time) { onReply(now, reply.Body) })
		}
	})
}

func (n *Node) deliverToSelf(kind string, body []byte, onReply func(now time.Time, body []byte)) {
	reply, err := n.Tell(n.ctx, n.settings.VM, peers.Message{Kind: kind, Body: body})
	if err == nil && onReply != nil && len(reply.Body) > 0 {
		n.locked(func(now time.Time) { onReply(now, reply.Body) })
	}
}

// Tell implements peers.Handler.
func (n *Node) Tell(ctx context.Context, from string, m peers.Message) (peers.Message, error) {
	if m.Kind == kindClaimQuery {
		return handleMessage(m, func(q claimQuery) (any, bool) { return n.answerClaimQuery(ctx, q) })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	switch m.Kind {
	case kindDigest:
		return handleMessage(m, func(d config.Digest) (any, bool) {
			n.digests[d.VM] = d
			n.stepConfig(now, config.DigestReceived{Digest: d})
			return nil, false
		})
	case kindPromise:
		return handleMessage(m, func(req promiseRequest) (any, bool) {
			c, ok := n.candidacyFor(req.Lease)
			if !ok {
				return nil, false
			}
			reply := n.stepLease(now, c, lease.PromiseRequested{Request: req.Request})
			return reply, reply != nil
		})
	case kindReleased:
		return handleMessage(m, func(name string) (any, bool) {
			if c, ok := n.candidacyFor(name); ok {
				n.stepLease(now, c, lease.RowChanged{})
			}
			return nil, false
		})
	case kindAnnouncement:
		return handleMessage(m, func(a budget.Announcement) (any, bool) { return n.handleAnnouncement(from, a) })
	case kindGrants:
		return handleMessage(m, func(g []budget.Grant) (any, bool) { return n.handleGrants(now, g) })
	case kindUsage:
		return handleMessage(m, func(u budget.Usage) (any, bool) {
			n.handleUsage(now, n.ledgerFor(u.Source), u)
			return nil, false
		})
	}
	return peers.Message{}, errors.NotSupportedf("message kind %q", m.Kind)
}

// candidacyFor returns this node's candidacy for the lease of that name.
func (n *Node) candidacyFor(name string) (*candidacy, bool) {
	switch name {
	case accountsLease:
		return n.accounts, true
	case n.settings.DataCentre:
		return n.lease, true
	}
	return nil, false
}

// handleMessage decodes a message, passes it to f and encodes the reply, if
// any.
func handleMessage[T any](m peers.Message, f func(T) (any, bool)) (peers.Message, error) {
	var v T
	if err := json.Unmarshal(m.Body, &v); err != nil {
		return peers.Message{}, errors.Annotatef(err, "message %s", m.Kind)
	}
	reply, ok := f(v)
	if !ok {
		return peers.Message{}, nil
	}
	body, err := json.Marshal(reply)
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

// exchangeGossip publishes this node's entries, pulls updates from a few nodes
// and reports usage.
func (n *Node) exchangeGossip(context.Context) {
	n.locked(func(now time.Time) {
		n.publishLedgers(now)
		n.publishGroups(now)
		n.publishLoads(now)
		for _, p := range n.gossip.Tick(now, n.config.Number(), n.stopping) {
			known := n.gossip.KnownVersions(p.View)
			n.spawn(func(ctx context.Context) { n.pullGossip(ctx, p, known) })
		}
		n.exchangeCount++
		if n.exchangeCount%exchangesPerUsageReport == 0 {
			n.reportUsage(n.exchangeCount%exchangesPerFullReport == 0)
		}
		n.stepConfig(now, n.peersChangedEvent(now))
	})
}

func (n *Node) pullGossip(ctx context.Context, target gossip.Pull, known []gossip.ProcessVersion) {
	delta, err := n.peers.Exchange(ctx, target.Address, target.View, known)
	if err != nil {
		n.log.Debug("gossip exchange failed", "with", target.VM, "error", err)
		return
	}
	n.locked(func(now time.Time) {
		for _, vm := range n.gossip.Merge(now, target.VM, delta) {
			if node, ok := n.gossip.Get(vm); ok {
				n.updateLedgerLocations(node)
				n.updateGroupsFrom(now, node)
			}
		}
		n.applyLoads(now)
	})
}

func (n *Node) peersChangedEvent(now time.Time) config.PeersChanged {
	var ev config.PeersChanged
	for _, node := range n.gossip.Live(now, "") {
		switch {
		case node.VM == n.settings.VM:
		case node.DataCentre == n.settings.DataCentre:
			ev.Local = append(ev.Local, node.VM)
		default:
			ev.Remote = append(ev.Remote, node.VM)
		}
	}
	return ev
}

func (n *Node) peerAddress(vm string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, _ := n.gossip.Get(vm)
	return node.Address
}
