package capacity

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

const (
	callsPerMeasure = 200
	// loadRounds is the number of rounds after which the load of a node has
	// changed by enough to be published.
	loadRounds = 4
	// settleRounds is the number of rounds after which the traffic of a system is
	// steady.
	settleRounds = 40
)

// headerBytes measures the bytes of a call between entry VMs without its
// bodies, on a real connection.
func headerBytes(t testing.TB) int {
	t.Helper()
	n := &node{fleet: &fleet{}, reports: probe.NewTable(probe.Options{Incarnation: "abc"})}
	srv := httptest.NewUnstartedServer(peerspb.NewPeersServer(peers.NewServer(n)))
	srv.Config.Protocols = &http.Protocols{}
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	tr := transport.NewHTTP2(nil)
	c := peers.NewClient("e1", "praha", tr)
	call := func() {
		_, err := c.Reports(context.Background(), strings.TrimPrefix(srv.URL, "http://"), probe.Request{})
		assert.NilError(t, err)
	}
	call()
	before := tr.Bytes()
	for range callsPerMeasure {
		call()
	}
	assert.Equal(t, tr.Conns(), int64(1))
	const bodies = len("\x0a\x03abc\x18\x01") // the answer; the request is empty
	return int(tr.Bytes()-before)/callsPerMeasure - bodies
}

// probeBytes measures the bytes of one probe of an engine in a group.
func probeBytes(t testing.TB) int {
	t.Helper()
	e := engine.New(engine.Options{VM: "d00-m001"})
	srv := httptest.NewServer(e)
	defer srv.Close()
	tr := transport.New(nil)
	c := endpoint.NewClient(tr)
	address := strings.TrimPrefix(srv.URL, "http://")
	report := memberReport("d00-m001")
	_, err := c.Order(context.Background(), address, memberOrder(report))
	assert.NilError(t, err)
	before := tr.Bytes()
	for range callsPerMeasure {
		_, err := c.Report(context.Background(), address)
		assert.NilError(t, err)
	}
	return int(tr.Bytes()-before) / callsPerMeasure
}

// settledFleet returns a system that has settled and then run for a number of
// rounds, whose traffic it has counted.
func settledFleet(header, vms, rounds int, entries ...int) *fleet {
	f := newFleet(header, vms, entries...)
	f.run(settleRounds)
	f.reset()
	f.run(rounds)
	return f
}

func isOrdinary(n *node) bool    { return !n.coordinator && n.dataCentre == "d00" }
func isCoordinator(n *node) bool { return n.coordinator && n.dataCentre == "d00" }
func anyNode(*node) bool         { return true }

// TestTrafficBetweenEntryVMsFitsTheBudget checks that gossip and relayed
// reports stay within the byte budget of a node at several sizes. The
// coordinator, which pulls more reports, and probes of endpoints are not
// included. Traffic from other data centres depends on their number, not their
// size, so that they may be small here; TestMeasure runs all nodes of the
// design size.
func TestTrafficBetweenEntryVMsFitsTheBudget(t *testing.T) {
	header := headerBytes(t)
	_, vms, _ := Design.PerDataCentre()
	for _, c := range []struct {
		name    string
		vms     int
		entries []int
	}{
		{"4 nodes", 50, []int{2, 2}},
		{"32 nodes", vms, []int{32}},
		{"32 of 256 nodes in 29 data centres", vms, oneLargeDataCentre()},
	} {
		t.Run(c.name, func(t *testing.T) {
			const rounds = 12
			f := settledFleet(header, c.vms, rounds, c.entries...)
			mean := f.traffic(rounds, isOrdinary).mean
			t.Logf("%.0f B/s per node", mean)
			assert.Assert(t, mean <= ByteBudget)
		})
	}
}

// oneLargeDataCentre returns the numbers of entry VMs of one data centre of the
// design size and of smaller ones.
func oneLargeDataCentre() []int {
	nodes, _, _ := Design.PerDataCentre()
	entries := []int{nodes}
	for range Design.DataCentres - 1 {
		entries = append(entries, nodes/4)
	}
	return entries
}

func memberOrder(r member.Report) member.Order {
	return member.Order{
		VM: r.VM, Action: member.Join, Fence: r.Fence, Group: r.Group, Generation: r.Generation,
		Model: r.Model, Rank: r.Rank, Members: []string{r.VM},
	}
}
