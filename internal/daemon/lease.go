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

// candidacy is a lease that this node is a candidate of, with the work of its
// holder.
type candidacy struct {
	*lease.Machine
	name string
	// won and lost run with mu held.
	won  func(now time.Time, g lease.Grant)
	lost func(now time.Time)
}

// promiseAsk is a request for a promise about one lease.
type promiseAsk struct {
	Lease   string               `json:"lease"`
	Request lease.PromiseRequest `json:"request"`
}

// newCandidacy returns the candidacy for the lease of a name.
func (n *Node) newCandidacy(name string, seed uint64) *candidacy {
	opts := leaseOptions(n.set)
	opts.DataCentre, opts.VM, opts.Incarnation, opts.Seed = name, n.set.VM, n.incarnation, seed
	return &candidacy{name: name, Machine: lease.New(opts)}
}

// leaseOptions derives the durations of a lease from the settings.
func leaseOptions(set settings.Settings) lease.Options {
	interval := set.Intervals.Lease / 3
	return lease.Options{
		Duration: set.Intervals.Lease, Promise: set.Intervals.Lease,
		RenewEvery: interval, PollEvery: interval, AskEvery: interval, RetryEvery: interval / 3,
		OrderTimeout: orderTimeout(set),
	}
}

// stepLease feeds a lease. mu is held.
func (n *Node) stepLease(now time.Time, o *candidacy, ev lease.Event) (reply *lease.PromiseReply) {
	for _, effect := range o.Step(now, ev) {
		if e, ok := effect.(lease.AnswerPromise); ok {
			reply = &e.Reply
			continue
		}
		n.runLease(now, o, effect)
	}
	return reply
}

func (n *Node) runLease(now time.Time, o *candidacy, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.ReadRows:
		n.spawn(func(ctx context.Context) { n.readLease(ctx, o, e) })
	case lease.WriteRow:
		n.spawn(func(ctx context.Context) { n.writeLease(ctx, o, e) })
	case lease.RegisterCandidate:
		n.spawn(func(ctx context.Context) { n.register(ctx, e) })
	case lease.RemoveCandidate:
		n.spawn(func(ctx context.Context) { n.unregister(ctx, e) })
	case lease.AskPromise:
		n.askPromise(o, e)
	case lease.Released:
		n.announceRelease(now, o)
	case lease.BecameHolder:
		n.log.Info("lease won", "lease", o.name, "term", e.Grant.Term)
		o.won(now, e.Grant)
	case lease.LostLease:
		n.log.Warn("lease lost", "lease", o.name, "term", e.Term, "reason", e.Reason)
		o.lost(now)
	}
}

func (n *Node) readLease(ctx context.Context, o *candidacy, e lease.ReadRows) {
	ev, err := leasestore.Read(ctx, n.platform, e)
	n.locked(func(now time.Time) {
		if err != nil {
			n.stepLease(now, o, lease.ReadFailed{Read: e.ID})
			return
		}
		n.platformSeen = now
		n.stepLease(now, o, ev)
	})
}

func (n *Node) writeLease(ctx context.Context, o *candidacy, e lease.WriteRow) {
	answer := leasestore.Write(ctx, n.platform, e)
	n.locked(func(now time.Time) { n.stepLease(now, o, answer) })
}

func (n *Node) register(ctx context.Context, e lease.RegisterCandidate) {
	if err := leasestore.Register(ctx, n.platform, e); err != nil {
		n.log.Debug("registering as a candidate failed", "error", err)
	}
}

func (n *Node) unregister(ctx context.Context, e lease.RemoveCandidate) {
	if err := leasestore.Remove(ctx, n.platform, e); err != nil {
		n.log.Debug("removing a candidate failed", "key", e.Key, "error", err)
	}
}

// announceRelease tells the other candidates that the lease is free. mu is
// held.
func (n *Node) announceRelease(now time.Time, o *candidacy) {
	dataCentre := n.set.DataCentre
	if o == n.accounts {
		dataCentre = ""
	}
	for _, node := range n.gossip.Live(now, dataCentre) {
		if node.VM != n.set.VM {
			n.sendTo(node.VM, kindReleased, o.name, nil)
		}
	}
}

func (n *Node) askPromise(o *candidacy, e lease.AskPromise) {
	ask := promiseAsk{Lease: o.name, Request: e.Request}
	n.sendTo(e.Candidate, kindPromise, ask, func(now time.Time, body []byte) {
		var reply lease.PromiseReply
		if json.Unmarshal(body, &reply) == nil {
			n.stepLease(now, o, lease.PromiseAnswered{Reply: reply})
		}
	})
}

// fencer hands out the fences of this node's orders. mu is held.
type fencer struct{ n *Node }

// Fence implements group.Fencer.
func (f fencer) Fence(now time.Time) (member.Fence, bool) {
	if !f.n.lease.MayOrder(now, orderTimeout(f.n.set)) {
		return member.Fence{}, false
	}
	return f.n.lease.NextFence(now)
}

// becomeCoordinator starts the work of the data centre's lease holder. It
// also becomes a candidate for dividing the client accounts' limits. mu is
// held.
func (n *Node) becomeCoordinator(now time.Time, g lease.Grant) {
	n.ledger = n.newLedger(n.set.DataCentre, g.Term, budget.ByHomes)
	n.accountsCandidate = true
	n.stepManager(now, group.LeaseGained{Term: g.Term, Fencer: fencer{n}, UnfencedFrom: g.UnfencedFrom})
}

// stopCoordinating ends the work of the data centre's lease holder. mu is
// held.
func (n *Node) stopCoordinating(now time.Time) {
	n.ledger = nil
	n.stepManager(now, group.LeaseLost{})
	n.withdrawGroups()
}
