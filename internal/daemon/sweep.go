package daemon

import (
	"context"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/claim"
)

const (
	// claimWrites is the number of transactions a second that all nodes
	// together may use for claims; the platform takes several hundred.
	claimWrites = 250.0
	// sweepInterval is the time between the sweeper's steps.
	sweepInterval = 5 * time.Second
)

// shareClaimWrites divides the platform's writes over the entry VMs of the
// configuration in force. mu is held.
func (n *Node) shareClaimWrites() {
	n.claims.SetRate(claimWrites / float64(max(len(n.index.entries), 1)))
}

// sweep lets the node that divides the accounts' limits remove old claims.
func (n *Node) sweep(context.Context) {
	n.locked(func(now time.Time) {
		if _, held := n.accounts.Held(now); held {
			n.stepSweeper(now, claim.SweepTick{})
		}
	})
}

// stepSweeper feeds the sweeper. mu is held.
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
			n.log.Debug("a sweep of old claims failed", "error", err)
		}
		return claim.SweepCommitted{}
	}
	return claim.SweepFailed{}
}
