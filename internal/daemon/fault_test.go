package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

// newTwoDataCentreCluster returns a cluster of two data centres. It waits until
// every node serves local completions, reaches the service and knows the other
// data centre's limits.
func newTwoDataCentreCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, "praha", "brno")
	c.addNode("praha", "praha-e0")
	c.addNode("praha", "praha-e1")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a local completion and a request to the service through every node", func() bool {
		for vm := range c.nodes {
			status, _, _ := c.call(vm, http.MethodGet, "/services/glove-orders/orders/none", "")
			if !c.servesLocally(vm) || status != http.StatusNotFound || !c.knowsRemoteCapacity(vm) {
				return false
			}
		}
		return true
	})
	return c
}

// knowsRemoteCapacity reports whether a node has received limits above 0 of
// another data centre, for the model and for the service.
func (c *cluster) knowsRemoteCapacity(vm string) bool {
	known := false
	n := c.nodes[vm]
	n.locked(func(now time.Time) {
		for _, node := range n.gossip.Live(now, "") {
			if node.DataCentre != n.settings.DataCentre {
				sums := decodeLoads(node.Entry(summaryEntry))
				known = known || sums[testModel].Limit > 0 && sums[serviceTarget(testService)].Limit > 0
			}
		}
	})
	return known
}

// placeOrder sends an order with an idempotency key.
func (c *cluster) placeOrder(vm, id, key string) (status int, answer string) {
	c.t.Helper()
	body := fmt.Sprintf(`{"order_id":%q,"item":"nitrile gloves","quantity":2}`, id)
	status, answer, _ = c.call(vm, http.MethodPost, "/services/glove-orders/orders", body, "Idempotency-Key", key)
	return status, answer
}

// serviceRuns returns the number of runs of orders, and the number of orders
// that ran more than once.
func (c *cluster) serviceRuns() (total, doubles int) {
	for _, s := range c.services {
		r := s.Runs()
		total += r.Total
		doubles += r.Doubles
	}
	return total, doubles
}

func TestOrderRunsOnceThroughAllNodesAtOnce(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range 9 {
		vm := []string{"praha-e0", "praha-e1", "brno-e0"}[i%3]
		wg.Go(func() {
			status, answer := c.placeOrder(vm, "o-1", "k-1")
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("%d %s", status, answer)]++
		})
	}
	wg.Wait()
	total, _ := c.serviceRuns()
	assert.Equal(t, total, 1)
	assert.Equal(t, len(answers), 1, "%v", answers)
}

func TestServiceThatDiesAfterRunning(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	for _, s := range c.services {
		s.SetFaults(service.Faults{DieAfterRunning: true, Times: 1})
	}
	status, answer := c.placeOrder("praha-e0", "o-1", "k-1")
	assert.Assert(t, status >= http.StatusBadRequest, answer)
	assert.Assert(t, strings.Contains(answer, `"ran":"unknown"`), answer)
	for range 3 {
		status, answer = c.placeOrder("brno-e0", "o-1", "k-1")
		assert.Equal(t, status, http.StatusConflict, answer)
	}
	total, doubles := c.serviceRuns()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

func TestServiceThatRefusesIsTriedElsewhere(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	c.services["praha-s0"].SetFaults(service.Faults{Refuse: true})
	status, answer := c.placeOrder("praha-e0", "o-1", "k-1")
	assert.Equal(t, status, http.StatusOK, answer)
	total, doubles := c.serviceRuns()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

func TestBrokenStreamContinuesOnAnotherGroup(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	for vm, e := range c.engines {
		if strings.HasPrefix(vm, "praha") {
			e.SetFaults(engine.Faults{CutAfterEvents: 3})
		}
	}
	status, answer, _ := c.call("praha-e0", http.MethodPost, "/v1/completions",
		`{"model":"gloves","prompt":"which gloves for vellum?","stream":true,"max_tokens":8}`)
	assert.Equal(t, status, http.StatusOK)
	text := streamText(t, answer)
	assert.Equal(t, text, engine.ExpectedText("which gloves for vellum?", 8))
}

// streamText concatenates a stream's text and checks that the stream is
// complete.
func streamText(t *testing.T, stream string) string {
	t.Helper()
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(stream), "data: [DONE]"), stream)
	var text strings.Builder
	for line := range strings.SplitSeq(stream, "\n") {
		_, rest, ok := strings.Cut(line, `"text":"`)
		if ok {
			part, _, _ := strings.Cut(rest, `"`)
			text.WriteString(part)
		}
	}
	return text.String()
}

func TestCrossedAnswerIsNotDelivered(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	for vm, e := range c.engines {
		if strings.HasPrefix(vm, "praha") {
			e.SetFaults(engine.Faults{Crossed: true})
		}
	}
	for range 5 {
		status, answer, _ := c.call("praha-e0", http.MethodPost, "/v1/completions",
			`{"model":"gloves","prompt":"cotton or nitrile?","max_tokens":6}`)
		if status == http.StatusOK {
			assert.Assert(t, strings.Contains(answer, engine.ExpectedText("cotton or nitrile?", 6)), answer)
		}
	}
}

// TestPlatformOutage checks that all nodes continue to serve while the table is
// down for several lease durations. An order with an issued key runs once; an
// order with another key is refused within a lease duration.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	key := c.issueKey("praha-e0")
	c.table.SetFaults(memtable.Faults{Down: true})
	lease := c.nodes["praha-e0"].settings.Intervals.Lease
	down := time.Now()
	for time.Since(down) < 3*lease {
		for vm := range c.nodes {
			assert.Assert(t, c.canServe(vm), "%s after %s", vm, time.Since(down))
		}
		time.Sleep(lease / 10)
	}
	assert.Assert(t, c.hasCoordinator("praha"), "no coordinator during the outage")

	status, answer := c.placeOrder("brno-e0", "o-1", key)
	assert.Equal(t, status, http.StatusOK, answer)
	status, again := c.placeOrder("praha-e1", "o-1", key)
	assert.Equal(t, status, http.StatusOK, again)
	assert.Equal(t, answer, again)
	start := time.Now()
	status, answer = c.placeOrder("praha-e0", "o-2", "plain-key")
	assert.Equal(t, status, http.StatusServiceUnavailable, answer)
	assert.Assert(t, time.Since(start) < lease, "the refusal took %s", time.Since(start))
	total, doubles := c.serviceRuns()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

// issueKey has a node issue an idempotency key.
func (c *cluster) issueKey(vm string) string {
	c.t.Helper()
	status, answer, _ := c.call(vm, http.MethodPost, "/v1/idempotency-keys", "")
	assert.Equal(c.t, status, http.StatusCreated, answer)
	_, rest, _ := strings.Cut(answer, `"idempotency_key":"`)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

// hasCoordinator reports whether some node coordinates the data centre.
func (c *cluster) hasCoordinator(dataCentre string) bool {
	for _, n := range c.nodes {
		held := false
		n.locked(func(now time.Time) { _, held = n.lease.Held(now) })
		if held && n.settings.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// TestMemberLostInOutage checks that the spare of the fabric domain replaces a
// group's member that is lost while the table is down.
func TestMemberLostInOutage(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	c.table.SetFaults(memtable.Faults{Down: true})
	lost := c.groupMember("praha", 0)
	c.engines[lost].SetFaults(engine.Faults{PauseMS: int(time.Hour / time.Millisecond)})
	eventually(t, "a whole group without "+lost, func() bool {
		return c.groupMember("praha", 0) != lost && c.hasWholeGroup("praha")
	})
}

// groupMember returns the member of the given rank of the data centre's group.
func (c *cluster) groupMember(dataCentre string, rank int) string {
	name := ""
	n := c.nodes[dataCentre+"-e0"]
	n.locked(func(time.Time) {
		for id, p := range n.groups.byID {
			if strings.HasPrefix(id, dataCentre+"/") {
				name = p.Group.Members[rank]
			}
		}
	})
	return name
}

// hasWholeGroup reports whether the data centre has a whole group.
func (c *cluster) hasWholeGroup(dataCentre string) bool {
	whole := false
	n := c.nodes[dataCentre+"-e0"]
	n.locked(func(now time.Time) {
		for id, p := range n.groups.byID {
			whole = whole || strings.HasPrefix(id, dataCentre+"/") && n.reports.IsWhole(&p.Group, now)
		}
	})
	return whole
}

// TestDataCentreOut checks that a data centre gets no new requests while it is
// taken out, and gets them again afterwards.
func TestDataCentreOut(t *testing.T) {
	t.Parallel()
	c := newTwoDataCentreCluster(t)
	c.setDataCentreOut("praha", true)
	taken := time.Now()
	eventually(t, "no new requests to praha", func() bool {
		return c.completionEndsAt("praha-e0", "brno/") && c.completionEndsAt("praha-e1", "brno/") && c.completionEndsAt("brno-e0", "brno/")
	})
	assert.Assert(t, time.Since(taken) < 5*time.Second, "took %s", time.Since(taken))
	before := c.engineRuns("praha")
	for range 20 {
		for vm := range c.nodes {
			assert.Assert(t, c.canServe(vm), vm)
		}
	}
	assert.Equal(t, c.engineRuns("praha"), before)
	c.setDataCentreOut("praha", false)
	eventually(t, "praha serves again", func() bool { return c.completionEndsAt("praha-e0", "praha/") })
}

func (c *cluster) setDataCentreOut(dataCentre string, out bool) {
	for i := range c.doc.DataCentres {
		if c.doc.DataCentres[i].Name == dataCentre {
			c.doc.DataCentres[i].Out = out
		}
	}
	c.apply()
}

// completionEndsAt reports whether a completion through the node is answered by
// an endpoint whose name has the prefix.
func (c *cluster) completionEndsAt(vm, prefix string) bool {
	status, _, h := c.call(vm, http.MethodPost, "/v1/completions", `{"model":"gloves","prompt":"x","max_tokens":1}`)
	hops := strings.Split(h.Get("Pimentoshore-Hops"), ">")
	return status == http.StatusOK && strings.HasPrefix(hops[len(hops)-1], prefix)
}

func (c *cluster) engineRuns(dataCentre string) (runs uint64) {
	for vm, e := range c.engines {
		if strings.HasPrefix(vm, dataCentre) {
			runs += e.Counts().Runs
		}
	}
	return runs
}
