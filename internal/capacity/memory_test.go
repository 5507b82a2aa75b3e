package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
)

func measureMemory(t *testing.T, m *Memory) {
	nodes, vms, groups := Design.PerDataCentre()
	m.Document = heapOf(func() any { return designDocument() })
	m.GossipNode = heapOf(func() any { return gossipTable() }) / Design.Nodes
	m.GroupVM = heapOf(func() any { return newManagerSimulation() }) / vms
	m.Report = heapOf(func() any { return reportTable(vms) }) / vms
	m.RoutePeer = heapOf(func() any {
		rt, shares := newRouter()
		return []any{rt, shares}
	}) / (nodes + Design.DataCentres)
	m.LedgerRow = heapOf(func() any { return newLedger() }) / groups
	m.ClaimEntry = heapOf(func() any { return openClaims(t) }) / openCalls
}

// gossipTable returns a table with all nodes of the system, and with the
// entries that reach a node of the first data centre.
func gossipTable() *gossip.Table {
	t := gossip.New(gossip.Options{VM: "d00-e00", DataCentre: "d00", Incarnation: "1"})
	var delta []gossip.Node
	for i := range Design.Nodes {
		d, e := i%Design.DataCentres, i/Design.DataCentres
		n := gossip.Node{
			VM: fmt.Sprintf("d%02d-e%02d", d, e), DataCentre: fmt.Sprintf("d%02d", d),
			Address: fmt.Sprintf("10.%d.0.%d:7000", d, e),
		}
		t.Seed(n.VM, n.DataCentre, n.Address)
		if d == 0 || e == 0 {
			n.Incarnation, n.Version = "1234567890abc", 2
			n.Entries = []gossip.Entry{{Key: loadEntry, Value: encodedLoad(i, ""), Version: 2}}
			delta = append(delta, n)
		}
	}
	t.Merge(epoch, "", delta)
	return t
}

func reportTable(vms int) *group.Reports {
	r := group.NewReports(group.Options{})
	for i := range vms {
		r.Observe(epoch, memberReport(fmt.Sprintf("d00-m%03d", i)))
	}
	return r
}

const openCalls = 4096

// openClaims returns claims with openCalls calls that were dispatched and not
// answered.
func openClaims(t *testing.T) *claimSimulation {
	c := newClaimSimulation()
	c.unanswered = true
	for range openCalls {
		c.call(epoch)
	}
	for i := range openCalls {
		c.step(epoch.Add(time.Duration(i)*time.Millisecond), claim.Tick{})
	}
	if c.state.EntryCount() < openCalls {
		t.Fatalf("%d of %d calls are in the claim state", c.state.EntryCount(), openCalls)
	}
	return c
}
