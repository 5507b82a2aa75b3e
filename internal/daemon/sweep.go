package daemon

import (
	"context"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/claim"
)

const (
	// claimWritesPerSecond is the limit of claim transactions per second over
	// all nodes; the platform accepts several hundred.
	claimWritesPerSecond = 250.0
	// sweepInterval is the interval between the sweeper's steps.
	sweepInterval = 5 * time.Second
)

// setClaimWriteRate sets this node's part of the claim write limit, which is
// divided equally among the configuration's entry VMs. n.mu must be held.
func (n *Node) setClaimWriteRate() {
	n.claims.SetRate(claimWritesPerSecond / float64(max(len(n.index.entries), 1)))
}

// sweepClaims removes old claims if this node divides the client accounts'
// limits.
func (n *Node) sweepClaims(context.Context) {
	n.locked(func(now time.Time) {
		if _, held := n.accounts.Held(now); held {
			n.stepSweeper(now, claim.SweepTick{})
		}
	})
}

// stepSweeper passes an event to the sweeper and runs the effects. n.mu must be
// held.
func (n *Node) stepSweeper(now time.Time, ev claim.SweepEvent) {
	for _, effect := range n.sweeper.Step(now, ev) {
		n.spawn(func(ctx context.Context) {
			answer := n.runSweep(ctx, effect)
			n.locked(func(now time.Time) { n.stepSweeper(now, answer) })
		})
	}
}

func (n *Node) runSweep(ctx context.Context, effect claim.SweepEffect) claim.SweepEvent {
	switch e := effect.(type) {
	case claim.ReadEpoch:
		rows, err := n.platform.Get(ctx, claim.EpochKey)
		if err == nil {
			return claim.EpochRow{Row: rows[0]}
		}
	case claim.ReadPage:
		rows, err := n.platform.List(ctx, e.Prefix, e.After, e.Limit)
		if err == nil {
			return claim.Page{Rows: rows}
		}
	case claim.SweepCommit:
		if _, err := n.platform.Commit(ctx, e.Txn); err != nil {
			n.log.Debug("sweeping old claims failed", "error", err)
		}
		return claim.SweepCommitted{}
	}
	return claim.SweepFailed{}
}
