package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
)

func newTable(vm, dataCentre, incarnation string) *gossip.Table {
	return gossip.New(gossip.Options{VM: vm, DataCentre: dataCentre, Address: vm, Incarnation: incarnation, Fanout: 1, Expiry: time.Second})
}

// pull runs an exchange with the encoding of the wire and returns the number of
// nodes that were sent in full.
func pull(t *testing.T, now time.Time, to, from *gossip.Table) (full int) {
	t.Helper()
	known := to.KnownVersions(gossip.OwnDataCentre)
	req := newExchangeRequest("b", "praha", gossip.OwnDataCentre, known)
	if !resolveProcesses(req, from.KnownVersionsFrom(req.DataCentre, gossip.OwnDataCentre)) {
		addProcesses(req, known)
	}
	counters, err := decodeCounters(req)
	assert.NilError(t, err)
	resp := encodeDelta(req, from.Delta(req.DataCentre, gossip.View(req.View), counters))
	to.Merge(now, "a", decodeDelta(known, resp))
	return len(resp.States)
}

func TestKnownNodesAreNotSentInFull(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newTable("a", "praha", "1"), newTable("b", "praha", "1")
	a.Publish("load", gossip.Local, []byte("1"))
	assert.Equal(t, pull(t, now, b, a), 1)
	a.Tick(now, 0, false)
	assert.Equal(t, pull(t, now, b, a), 0)
	want, _ := a.Get("a")
	got, _ := b.Get("a")
	assert.Equal(t, got.Version, want.Version)
	assert.Equal(t, got.Address, "a")

	// A change of the configuration number or of an entry is sent in full.
	a.Tick(now, 7, true)
	assert.Equal(t, pull(t, now, b, a), 1)
	got, _ = b.Get("a")
	assert.Equal(t, got.Configuration, uint64(7))
	assert.Assert(t, got.Stopping)
	a.Tick(now, 7, true)
	assert.Equal(t, pull(t, now, b, a), 0)
	got, _ = b.Get("a")
	assert.Equal(t, got.Configuration, uint64(7))
	assert.Equal(t, string(got.Entry("load")), "1")

	// Another process of the same VM is not known yet, so it is sent in full.
	assert.Equal(t, pull(t, now.Add(time.Minute), b, newTable("a", "praha", "2")), 1)
	got, _ = b.Get("a")
	assert.Equal(t, got.Incarnation, "2")
}

func TestVersionCountMustMatchProcessCount(t *testing.T) {
	req := newExchangeRequest("b", "praha", gossip.OwnDataCentre, []gossip.ProcessVersion{{VM: "a", Version: 1}})
	addProcesses(req, []gossip.ProcessVersion{{VM: "a"}, {VM: "b"}})
	_, err := decodeCounters(req)
	assert.ErrorContains(t, err, "send one for each")
}
