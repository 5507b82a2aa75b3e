package daemon

import (
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/admit"
)

// accountShares returns each node's share of the client account's limit.
func (c *cluster) accountShares() map[string]int {
	held := map[string]int{}
	for vm, n := range c.nodes {
		n.locked(func(time.Time) { held[vm] = n.shares.State(admit.ShareName("archive")).Limit })
	}
	return held
}

// TestIdleNodesHoldAccountShares checks that nodes hold a share of a client
// account's limit before the first request, so that they can serve while no
// ledger can send grants.
func TestIdleNodesHoldAccountShares(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha", "brno")
	c.addNode("praha", "praha-e0")
	c.addNode("praha", "praha-e1")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a share on every node", func() bool {
		for _, held := range c.accountShares() {
			if held == 0 {
				return false
			}
		}
		return true
	})
}
