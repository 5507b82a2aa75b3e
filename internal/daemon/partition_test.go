package daemon

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// cutOff separates a data centre from the others and from the platform; an
// empty name ends it.
func (c *cluster) cutOff(dataCentre string) { c.isolated.Store(dataCentre) }

// cut reports whether a data centre is the isolated one.
func (c *cluster) cut(dataCentre string) bool {
	isolated, _ := c.isolated.Load().(string)
	return isolated != "" && isolated == dataCentre
}

// dataCentreAt finds the data centre of an address.
func (c *cluster) dataCentreAt(address string) string {
	for _, vm := range c.doc.VMs {
		if vm.Address == address {
			return vm.DataCentre
		}
	}
	return ""
}

var errCut = errors.New("the network is partitioned")

// cutTransport fails requests that would cross the cut.
type cutTransport struct {
	http.RoundTripper
	cluster *cluster
	from    string
}

func (t cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.cluster.cut(t.from) != t.cluster.cut(t.cluster.dataCentreAt(r.URL.Host)) {
		return nil, errCut
	}
	return t.RoundTripper.RoundTrip(r)
}

// cutTable fails calls from the isolated data centre.
type cutTable struct {
	platform.Table
	cluster *cluster
	from    string
}

func (t cutTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.cluster.cut(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

func (t cutTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.cluster.cut(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.List(ctx, prefix, after, limit)
}

func (t cutTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if t.cluster.cut(t.from) {
		return 0, platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, txn)
}

func (t cutTable) VMs(ctx context.Context) ([]platform.VMStatus, error) {
	if t.cluster.cut(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.VMs(ctx)
}

// number is the configuration that a node has in force.
func (c *cluster) number(vm string) (number uint64) {
	n := c.nodes[vm]
	n.locked(func(time.Time) { number = n.config.Number() })
	return number
}

// TestDataCentreCutOff cuts a data centre off from the others and from the
// platform for several lease durations. Both sides go on serving.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	ticket := c.ticket("brno-e0")
	before := c.number("brno-e0")
	c.cutOff("brno")
	cut := time.Now()
	for lease := c.nodes["brno-e0"].set.Intervals.Lease; time.Since(cut) < 3*lease; time.Sleep(lease / 10) {
		for vm := range c.nodes {
			assert.Assert(t, c.serves(vm), "%s after %s", vm, time.Since(cut))
		}
	}
	assert.Assert(t, c.coordinated("brno"), "no coordinator on the cut-off side")

	status, inBrno := c.order("brno-e0", "o-1", ticket)
	assert.Equal(t, status, http.StatusOK, inBrno)
	status, answer := c.order("praha-e0", "o-2", "k-2")
	assert.Equal(t, status, http.StatusOK, answer)
	c.doc.ClientAccounts[0].Weight = 2
	c.apply()
	eventually(t, "the change on the platform's side", func() bool { return c.number("praha-e1") > before })
	assert.Equal(t, c.number("brno-e0"), before)

	c.cutOff("")
	healed := time.Now()
	eventually(t, "the change everywhere", func() bool { return c.number("brno-e0") > before })
	assert.Assert(t, time.Since(healed) < 5*time.Second, "took %s", time.Since(healed))
	eventually(t, "the order's answer on the other side", func() bool {
		status, again := c.order("praha-e0", "o-1", ticket)
		return status == http.StatusOK && again == inBrno
	})
	total, doubles := c.runs()
	assert.Equal(t, total, 2)
	assert.Equal(t, doubles, 0)
}
