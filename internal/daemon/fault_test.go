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

// twoSites returns a cluster of two data centres that serves everywhere.
func twoSites(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, "praha", "brno")
	c.addNode("praha", "praha-e0")
	c.addNode("praha", "praha-e1")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a completion at home and an order through every node", func() bool {
		for vm := range c.nodes {
			status, _, _ := c.call(vm, http.MethodGet, "/services/glove-orders/orders/none", "")
			if !c.servesAtHome(vm) || status != http.StatusNotFound || !c.maySpill(vm) {
				return false
			}
		}
		return true
	})
	return c
}

// maySpill reports whether a node has heard of room in another data centre.
func (c *cluster) maySpill(vm string) bool {
	room := false
	n := c.nodes[vm]
	n.locked(func(now time.Time) {
		for _, node := range n.gossip.Live(now, "") {
			if node.DataCentre != n.set.DataCentre {
				sums := decodeLoads(node.Entry(summaryEntry))
				room = room || sums[testModel].Limit > 0 && sums[serviceTarget(testService)].Limit > 0
			}
		}
	})
	return room
}

// order places an order with an idempotency key.
func (c *cluster) order(vm, id, key string) (status int, answer string) {
	c.t.Helper()
	body := fmt.Sprintf(`{"order_id":%q,"item":"nitrile gloves","quantity":2}`, id)
	status, answer, _ = c.call(vm, http.MethodPost, "/services/glove-orders/orders", body, "Idempotency-Key", key)
	return status, answer
}

// runs counts how often orders ran, and how many ran more than once.
func (c *cluster) runs() (total, doubles int) {
	for _, s := range c.services {
		r := s.Runs()
		total += r.Total
		doubles += r.Doubles
	}
	return total, doubles
}

func TestOrderRunsOnceThroughAllNodesAtOnce(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range 9 {
		vm := []string{"praha-e0", "praha-e1", "brno-e0"}[i%3]
		wg.Go(func() {
			status, answer := c.order(vm, "o-1", "k-1")
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("%d %s", status, answer)]++
		})
	}
	wg.Wait()
	total, _ := c.runs()
	assert.Equal(t, total, 1)
	assert.Equal(t, len(answers), 1, "%v", answers)
}

func TestServiceThatDiesAfterRunning(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	for _, s := range c.services {
		s.SetFaults(service.Faults{DieAfterRunning: true, Times: 1})
	}
	status, answer := c.order("praha-e0", "o-1", "k-1")
	assert.Assert(t, status >= http.StatusBadRequest, answer)
	assert.Assert(t, strings.Contains(answer, `"ran":"unknown"`), answer)
	for range 3 {
		status, answer = c.order("brno-e0", "o-1", "k-1")
		assert.Equal(t, status, http.StatusConflict, answer)
	}
	total, doubles := c.runs()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

func TestServiceThatRefusesIsTriedElsewhere(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	c.services["praha-s0"].SetFaults(service.Faults{Refuse: true})
	status, answer := c.order("praha-e0", "o-1", "k-1")
	assert.Equal(t, status, http.StatusOK, answer)
	total, doubles := c.runs()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

func TestBrokenStreamContinuesOnAnotherGroup(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
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

// streamText joins a stream's text and checks that it ended.
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
	c := twoSites(t)
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

// TestPlatformOutage keeps the table down for several lease durations.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	key := c.ticket("praha-e0")
	c.table.SetFaults(memtable.Faults{Down: true})
	lease := c.nodes["praha-e0"].set.Intervals.Lease
	down := time.Now()
	for time.Since(down) < 3*lease {
		for vm := range c.nodes {
			assert.Assert(t, c.serves(vm), "%s after %s", vm, time.Since(down))
		}
		time.Sleep(lease / 10)
	}
	assert.Assert(t, c.coordinated("praha"), "no coordinator in the outage")

	status, answer := c.order("brno-e0", "o-1", key)
	assert.Equal(t, status, http.StatusOK, answer)
	status, again := c.order("praha-e1", "o-1", key)
	assert.Equal(t, status, http.StatusOK, again)
	assert.Equal(t, answer, again)
	start := time.Now()
	status, answer = c.order("praha-e0", "o-2", "plain-key")
	assert.Equal(t, status, http.StatusServiceUnavailable, answer)
	assert.Assert(t, time.Since(start) < lease, "a refusal was held back for %s", time.Since(start))
	total, doubles := c.runs()
	assert.Equal(t, total, 1)
	assert.Equal(t, doubles, 0)
}

// ticket gets an idempotency key that a node vouches for.
func (c *cluster) ticket(vm string) string {
	c.t.Helper()
	status, answer, _ := c.call(vm, http.MethodPost, "/v1/idempotency-keys", "")
	assert.Equal(c.t, status, http.StatusCreated, answer)
	_, rest, _ := strings.Cut(answer, `"idempotency_key":"`)
	key, _, _ := strings.Cut(rest, `"`)
	return key
}

// coordinated reports whether some node coordinates the data centre.
func (c *cluster) coordinated(dataCentre string) bool {
	for _, n := range c.nodes {
		held := false
		n.locked(func(now time.Time) { _, held = n.lease.Held(now) })
		if held && n.set.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// TestMemberLostInOutage loses a group's member while the table is down: the
// spare of its fabric domain has to take its place.
func TestMemberLostInOutage(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	c.table.SetFaults(memtable.Faults{Down: true})
	lost := c.member("praha", 0)
	c.engines[lost].SetFaults(engine.Faults{PauseMS: int(time.Hour / time.Millisecond)})
	eventually(t, "a whole group without "+lost, func() bool {
		return c.member("praha", 0) != lost && c.wholeAt("praha")
	})
}

// member names a rank of the data centre's first group.
func (c *cluster) member(dataCentre string, rank int) string {
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

// wholeAt reports whether the data centre's group is whole.
func (c *cluster) wholeAt(dataCentre string) bool {
	whole := false
	n := c.nodes[dataCentre+"-e0"]
	n.locked(func(now time.Time) {
		for id, p := range n.groups.byID {
			whole = whole || strings.HasPrefix(id, dataCentre+"/") && n.reports.IsWhole(&p.Group, now)
		}
	})
	return whole
}

// TestDataCentreOut takes a data centre out and back in.
func TestDataCentreOut(t *testing.T) {
	t.Parallel()
	c := twoSites(t)
	c.setOut("praha", true)
	taken := time.Now()
	eventually(t, "praha gets no new work", func() bool {
		return c.hopsVia("praha-e0", "brno/") && c.hopsVia("praha-e1", "brno/") && c.hopsVia("brno-e0", "brno/")
	})
	assert.Assert(t, time.Since(taken) < 5*time.Second, "took %s", time.Since(taken))
	before := c.engineRuns("praha")
	for range 20 {
		for vm := range c.nodes {
			assert.Assert(t, c.serves(vm), vm)
		}
	}
	assert.Equal(t, c.engineRuns("praha"), before)
	c.setOut("praha", false)
	eventually(t, "praha serves again", func() bool { return c.hopsVia("praha-e0", "praha/") })
}

func (c *cluster) setOut(dataCentre string, out bool) {
	for i := range c.doc.DataCentres {
		if c.doc.DataCentres[i].Name == dataCentre {
			c.doc.DataCentres[i].Out = out
		}
	}
	c.apply()
}

// hopsVia reports whether a completion through the node ends at an endpoint
// of that prefix.
func (c *cluster) hopsVia(vm, prefix string) bool {
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
