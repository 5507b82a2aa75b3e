package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/leasestore"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// candidacy is a lease for which this node is a candidate, with the callbacks
// that start and stop the holder's work.
type candidacy struct {
	*lease.Machine
	name string
	// onGained and onLost are called with n.mu held.
	onGained func(now time.Time, g lease.Grant)
	onLost   func(now time.Time)
}

// promiseRequest asks another candidate for a promise about one lease.
type promiseRequest struct {
	Lease   string               `json:"lease"`
	Request lease.PromiseRequest `json:"request"`
}

// newCandidacy returns a candidacy for the lease of that name.
func (n *Node) newCandidacy(name string, seed uint64) *candidacy {
	opts := leaseOptions(n.settings)
	opts.DataCentre, opts.VM, opts.Incarnation, opts.Seed = name, n.settings.VM, n.incarnation, seed
	return &candidacy{name: name, Machine: lease.New(opts)}
}

// leaseOptions derives the options of a lease from the settings.
func leaseOptions(set settings.Settings) lease.Options {
	interval := set.Intervals.Lease / 3
	return lease.Options{
		Duration: set.Intervals.Lease, Promise: set.Intervals.Lease,
		RenewEvery: interval, PollEvery: interval, AskEvery: interval, RetryEvery: interval / 3,
		OrderTimeout: orderTimeout(set),
	}
}

// stepLease passes an event to a lease's state machine, runs the effects and
// returns the reply to a promise request, if any. n.mu must be held.
func (n *Node) stepLease(now time.Time, c *candidacy, ev lease.Event) (reply *lease.PromiseReply) {
	for _, effect := range c.Step(now, ev) {
		if e, ok := effect.(lease.AnswerPromise); ok {
			reply = &e.Reply
			continue
		}
		n.runLease(now, c, effect)
	}
	return reply
}

func (n *Node) runLease(now time.Time, c *candidacy, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.ReadRows:
		n.spawn(func(ctx context.Context) { n.readLease(ctx, c, e) })
	case lease.WriteRow:
		n.spawn(func(ctx context.Context) { n.writeLease(ctx, c, e) })
	case lease.RegisterCandidate:
		n.spawn(func(ctx context.Context) { n.register(ctx, e) })
	case lease.RemoveCandidate:
		n.spawn(func(ctx context.Context) { n.unregister(ctx, e) })
	case lease.AskPromise:
		n.requestPromise(c, e)
	case lease.Released:
		n.announceRelease(now, c)
	case lease.BecameHolder:
		n.log.Info("lease won", "lease", c.name, "term", e.Grant.Term)
		c.onGained(now, e.Grant)
	case lease.LostLease:
		n.log.Warn("lease lost", "lease", c.name, "term", e.Term, "reason", e.Reason)
		c.onLost(now)
	}
}

func (n *Node) readLease(ctx context.Context, c *candidacy, e lease.ReadRows) {
	ev, err := leasestore.Read(ctx, n.platform, e, func(key string, err error) {
		n.log.Warn("registration skipped", "key", key, "error", err)
	})
	n.locked(func(now time.Time) {
		if err != nil {
			n.stepLease(now, c, lease.ReadFailed{Read: e.ID})
			return
		}
		n.stepLease(now, c, ev)
	})
}

func (n *Node) writeLease(ctx context.Context, c *candidacy, e lease.WriteRow) {
	written := leasestore.Write(ctx, n.platform, e)
	n.locked(func(now time.Time) { n.stepLease(now, c, written) })
}

func (n *Node) register(ctx context.Context, e lease.RegisterCandidate) {
	if err := leasestore.Register(ctx, n.platform, e); err != nil {
		n.log.Debug("registering as a lease candidate failed", "error", err)
	}
}

func (n *Node) unregister(ctx context.Context, e lease.RemoveCandidate) {
	if err := leasestore.Remove(ctx, n.platform, e); err != nil {
		n.log.Debug("removing a lease candidate failed", "key", e.Key, "error", err)
	}
}

// announceRelease notifies the other candidates that the lease is free. n.mu
// must be held.
func (n *Node) announceRelease(now time.Time, c *candidacy) {
	dataCentre := n.settings.DataCentre
	if c == n.accounts {
		dataCentre = ""
	}
	for _, node := range n.gossip.Live(now, dataCentre) {
		if node.VM != n.settings.VM {
			n.sendTo(node.VM, kindReleased, c.name, nil)
		}
	}
}

func (n *Node) requestPromise(c *candidacy, e lease.AskPromise) {
	req := promiseRequest{Lease: c.name, Request: e.Request}
	n.sendTo(e.Candidate, kindPromise, req, func(now time.Time, body []byte) {
		var reply lease.PromiseReply
		if json.Unmarshal(body, &reply) == nil {
			n.stepLease(now, c, lease.PromiseAnswered{Reply: reply})
		}
	})
}

// fencer issues the fences of this node's orders. n.mu must be held while it is
// used.
type fencer struct{ n *Node }

// Fence implements group.Fencer.
func (f fencer) Fence(now time.Time) (member.Fence, bool) {
	if !f.n.lease.MayOrder(now, orderTimeout(f.n.settings)) {
		return member.Fence{}, false
	}
	return f.n.lease.NextFence(now)
}

// becomeCoordinator starts this node's work as its data centre's coordinator
// and makes it a candidate for dividing the client accounts' limits. n.mu must
// be held.
func (n *Node) becomeCoordinator(now time.Time, g lease.Grant) {
	n.ledger = n.newLedger(n.settings.DataCentre, g.Term, budget.ByHomes)
	n.isAccountsCandidate = true
	n.stepManager(now, group.LeaseGained{Term: g.Term, Fencer: fencer{n}, UnfencedFrom: g.UnfencedFrom})
}

// stopCoordinating ends this node's work as its data centre's coordinator. n.mu
// must be held.
func (n *Node) stopCoordinating(now time.Time) {
	n.ledger = nil
	n.stepManager(now, group.LeaseLost{})
	n.withdrawGroups()
}
