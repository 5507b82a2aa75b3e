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

// cutOff isolates a data centre from the others and from the platform. An empty
// name ends the isolation.
func (c *cluster) cutOff(dataCentre string) { c.isolated.Store(dataCentre) }

// isCutOff reports whether a data centre is the isolated one.
func (c *cluster) isCutOff(dataCentre string) bool {
	isolated, _ := c.isolated.Load().(string)
	return isolated != "" && isolated == dataCentre
}

// dataCentreAt returns the data centre of the VM with the address.
func (c *cluster) dataCentreAt(address string) string {
	for _, vm := range c.doc.VMs {
		if vm.Address == address {
			return vm.DataCentre
		}
	}
	return ""
}

var errPartitioned = errors.New("the network is partitioned")

// partitionedTransport fails requests between the isolated data centre and the
// others.
type partitionedTransport struct {
	http.RoundTripper
	cluster *cluster
	from    string
}

func (t partitionedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.cluster.isCutOff(t.from) != t.cluster.isCutOff(t.cluster.dataCentreAt(r.URL.Host)) {
		return nil, errPartitioned
	}
	return t.RoundTripper.RoundTrip(r)
}

// partitionedTable fails calls from the isolated data centre.
type partitionedTable struct {
	platform.Table
	cluster *cluster
	from    string
}

func (t partitionedTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if t.cluster.isCutOff(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.Get(ctx, keys...)
}

func (t partitionedTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.cluster.isCutOff(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.List(ctx, prefix, after, limit)
}

func (t partitionedTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if t.cluster.isCutOff(t.from) {
		return 0, platform.ErrUnavailable
	}
	return t.Table.Commit(ctx, txn)
}

func (t partitionedTable) VMs(ctx context.Context) ([]platform.VMStatus, error) {
	if t.cluster.isCutOff(t.from) {
		return nil, platform.ErrUnavailable
	}
	return t.Table.VMs(ctx)
}

// configurationNumber returns the number of a node's configuration in force.
func (c *cluster) configurationNumber(vm string) (number uint64) {
	n := c.nodes[vm]
	n.locked(func(time.Time) { number = n.config.Number() })
	return number
}

// TestDataCentreCutOff isolates a data centre from the others and from the
// platform for several lease durations, and checks that both sides continue to
// serve and that they agree again afterwards.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	ticket := c.issueKey("brno-e0")
	before := c.configurationNumber("brno-e0")
	c.cutOff("brno")
	cut := time.Now()
	for lease := c.nodes["brno-e0"].settings.Intervals.Lease; time.Since(cut) < 3*lease; time.Sleep(lease / 10) {
		for vm := range c.nodes {
			assert.Assert(t, c.canServe(vm), "%s after %s", vm, time.Since(cut))
		}
	}
	assert.Assert(t, c.hasCoordinator("brno"), "no coordinator on the cut-off side")

	status, inBrno := c.placeOrder("brno-e0", "o-1", ticket)
	assert.Equal(t, status, http.StatusOK, inBrno)
	status, answer := c.placeOrder("praha-e0", "o-2", "k-2")
	assert.Equal(t, status, http.StatusOK, answer)
	c.doc.ClientAccounts[0].Weight = 2
	c.apply()
	eventually(t, "the configuration change on the platform's side", func() bool { return c.configurationNumber("praha-e1") > before })
	assert.Equal(t, c.configurationNumber("brno-e0"), before)

	c.cutOff("")
	healed := time.Now()
	eventually(t, "the configuration change in the data centre that was cut off", func() bool { return c.configurationNumber("brno-e0") > before })
	assert.Assert(t, time.Since(healed) < 5*time.Second, "took %s", time.Since(healed))
	eventually(t, "the recorded answer through the other data centre", func() bool {
		status, again := c.placeOrder("praha-e0", "o-1", ticket)
		return status == http.StatusOK && again == inBrno
	})
	total, doubles := c.serviceRuns()
	assert.Equal(t, total, 2)
	assert.Equal(t, doubles, 0)
}
