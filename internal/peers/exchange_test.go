package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
)

func table(vm, dataCentre, incarnation string) *gossip.Table {
	return gossip.New(gossip.Options{VM: vm, DataCentre: dataCentre, Address: vm, Incarnation: incarnation, Fanout: 1, Expiry: time.Second})
}

// pull exchanges over the wire's encoding and returns what was sent in full.
func pull(t *testing.T, now time.Time, to, from *gossip.Table) (full int) {
	t.Helper()
	known := to.KnownVersions(gossip.OwnDataCentre)
	req := encodeSeen("b", "praha", gossip.OwnDataCentre, known)
	if !resolve(req, from.KnownVersionsFrom(req.DataCentre, gossip.OwnDataCentre)) {
		name(req, known)
	}
	counters, err := decodeCounters(req)
	assert.NilError(t, err)
	resp := encodeDelta(req, from.Delta(req.DataCentre, gossip.View(req.View), counters))
	to.Merge(now, "a", decodeDelta(known, resp))
	return len(resp.States)
}

func TestKnownNodesAreAbridged(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := table("a", "praha", "1"), table("b", "praha", "1")
	a.Publish("load", gossip.Local, []byte("1"))
	assert.Equal(t, pull(t, now, b, a), 1)
	a.Tick(now, 0, false)
	assert.Equal(t, pull(t, now, b, a), 0)
	want, _ := a.Get("a")
	got, _ := b.Get("a")
	assert.Equal(t, got.Version, want.Version)
	assert.Equal(t, got.Address, "a")

	// A change of the configuration's number or of an entry comes through.
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

	// Another process of the VM is no known one.
	assert.Equal(t, pull(t, now.Add(time.Minute), b, table("a", "praha", "2")), 1)
	got, _ = b.Get("a")
	assert.Equal(t, got.Incarnation, "2")
}

func TestUnevenCountersAreRefused(t *testing.T) {
	req := encodeSeen("b", "praha", gossip.OwnDataCentre, []gossip.ProcessVersion{{VM: "a", Version: 1}})
	name(req, []gossip.ProcessVersion{{VM: "a"}, {VM: "b"}})
	_, err := decodeCounters(req)
	assert.ErrorContains(t, err, "send one for each")
}
