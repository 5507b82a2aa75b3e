package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/cli"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/standin/table"
)

func TestRequestRingIsBounded(t *testing.T) {
	const size = 4
	r := newRequestRing(size)
	for i := range 3 * size {
		r.Put(gateway.Record{ID: fmt.Sprint(i), Running: true})
		r.Put(gateway.Record{ID: fmt.Sprint(i), Target: testModel})
	}
	assert.Equal(t, len(r.slots), size)
	for i := range 3 * size {
		rec, ok := r.get(fmt.Sprint(i))
		assert.Equal(t, ok, i >= 2*size)
		assert.Equal(t, rec.Running, false)
	}
}

func TestRequestOutcome(t *testing.T) {
	no := problem.New(problem.Overloaded, "", "")
	tests := []struct {
		rec  gateway.Record
		want string
	}{
		{gateway.Record{Running: true}, "running"},
		{gateway.Record{}, "answered"},
		{gateway.Record{Problem: no}, "refused"},
		{gateway.Record{Problem: no.WithRanUnknown()}, "failed"},
	}
	for _, tc := range tests {
		assert.Equal(t, requestOutcome(tc.rec), tc.want)
	}
}

// operators is the address of a node's operators' interface.
func (c *cluster) operators(vm string) string { return c.nodes[vm].set.Listen.Operators }

// command runs the command line against a node.
func (c *cluster) command(vm string, args ...string) (code int, out string) {
	var b bytes.Buffer
	args = append(args, "--operators", c.operators(vm))
	code = cli.Run(context.Background(), args, cli.Options{In: strings.NewReader(""), Out: &b, Err: &b, PollInterval: 50 * time.Millisecond})
	return code, b.String()
}

func (c *cluster) explains(vm, about, cause string) bool {
	_, out := c.command(vm, "explain", "vm", about)
	return strings.Contains(out, cause)
}

// coordinator is the entry VM that coordinates a data centre, or empty.
func (c *cluster) coordinator(dc string) string {
	for vm, node := range c.nodes {
		held := false
		node.locked(func(now time.Time) { held = node.coordinates(now, dc) })
		if held {
			return vm
		}
	}
	return ""
}

// modelVMs lists praha's model VMs that are in a group, and those in none.
func (c *cluster) modelVMs() (grouped, spare []string) {
	for vm := range c.engines {
		switch {
		case !strings.HasPrefix(vm, "praha"):
		case c.memberOf(vm):
			grouped = append(grouped, vm)
		default:
			spare = append(spare, vm)
		}
	}
	return grouped, spare
}

// startOperated starts two data centres, each with a VM too many.
func startOperated(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, "praha", "brno")
	c.addNode("praha", "praha-e0")
	c.addNode("praha", "praha-e1")
	c.addNode("brno", "brno-e0")
	c.startAll()
	c.apply()
	eventually(t, "a completion through every node", func() bool {
		return c.serves("praha-e0") && c.serves("praha-e1") && c.serves("brno-e0")
	})
	return c
}

func TestExplainEndToEnd(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	_, spares := c.modelVMs()
	spare := spares[0]
	t.Run("a VM too many, through every node", func(t *testing.T) {
		for vm := range c.nodes {
			eventually(t, "the reason through "+vm, func() bool {
				return c.explains(vm, spare, "too-few-in-domain, VMs missing: 1; add VMs to the fabric domain")
			})
		}
	})
	t.Run("a VM that does not answer", func(t *testing.T) {
		c.engines[spare].SetFaults(engine.Faults{PauseMS: 4000})
		eventually(t, "the reason", func() bool { return c.explains("brno-e0", spare, "not-reporting "+spare) })
	})
	t.Run("an unknown VM", func(t *testing.T) {
		code, out := c.command("brno-e0", "explain", "vm", "nope")
		assert.Equal(t, code, cli.ExitFailed)
		assert.Assert(t, strings.Contains(out, "not-found"), out)
	})
	t.Run("requests, through a node that they did not pass", func(t *testing.T) {
		c.call("praha-e0", http.MethodPost, "/v1/completions", `{"model":"gloves","prompt":"secret prompt"}`, "X-Request-Id", "r/1")
		c.call("praha-e0", http.MethodPost, "/v1/completions", `{"model":"nope"}`, "X-Request-Id", "r-2")
		for vm := range c.nodes {
			code, out := c.command(vm, "explain", "request", "r/1")
			assert.Equal(t, code, cli.ExitOK, out)
			assert.Assert(t, strings.Contains(out, "gloves of account"), out)
			assert.Assert(t, strings.Contains(out, "was answered\nhops: praha-e0 > "), out)
			assert.Assert(t, !strings.Contains(out, "secret") && !strings.Contains(out, testKey), out)
			_, out = c.command(vm, "explain", "request", "r-2")
			assert.Assert(t, strings.Contains(out, "was refused\nproblem unknown-model, ran: no\n"), out)
		}
		code, _ := c.command("praha-e0", "explain", "request", "r-3")
		assert.Equal(t, code, cli.ExitFailed)
	})
	t.Run("metrics of the coordinator", func(t *testing.T) {
		eventually(t, "a whole group and a spare VM of two accelerators", func() bool {
			page := c.metrics(c.coordinator("brno"))
			return strings.Contains(page, "pimentoshore_whole_groups 1\n") && strings.Contains(page, "pimentoshore_broken_groups 0\n") &&
				strings.Contains(page, "pimentoshore_stranded_accelerators 2\n") && strings.Contains(page, "pimentoshore_held_leases 1\n")
		})
	})
	t.Run("status in one call", func(t *testing.T) {
		eventually(t, "a status without silent nodes", func() bool {
			code, out := c.command("brno-e0", "status")
			return code == cli.ExitOK && !strings.Contains(out, "no status of its own") &&
				strings.Contains(out, "praha: in, coordinator "+c.coordinator("praha")) && strings.Contains(out, "1 of 1 groups serve")
		})
	})
}

// metrics reads a node's metrics from its operators' interface.
func (c *cluster) metrics(vm string) string {
	c.t.Helper()
	resp, err := http.Get("http://" + c.operators(vm) + "/metrics")
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return string(raw)
}

// post asks a node for a planned stop.
func (c *cluster) post(vm, path string) (int, operator.Stop) {
	c.t.Helper()
	resp, err := http.Post("http://"+c.operators(vm)+path, "", nil)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	var stop operator.Stop
	if path != operator.StopPath && resp.StatusCode == http.StatusAccepted {
		assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&stop))
	}
	return resp.StatusCode, stop
}

// memberOf reports whether any node still knows the VM as a group's member.
func (c *cluster) memberOf(vm string) bool {
	for _, node := range c.nodes {
		grouped := false
		node.locked(func(time.Time) { _, grouped = node.groups.holding(vm) })
		if grouped {
			return true
		}
	}
	return false
}

// stopMidway plans the stop of a member of praha's group while a request runs
// there, shuts the coordinator down before the stop is over, and returns the
// member, a spare and the node that is left.
func (c *cluster) stopMidway(plan func(coordinator, other, vm string)) (vm, spare, other string) {
	c.t.Helper()
	first := c.coordinator("praha")
	other = map[string]string{"praha-e0": "praha-e1", "praha-e1": "praha-e0"}[first]
	grouped, spares := c.modelVMs()
	vm = grouped[0]
	answered := c.slowRequest(other, grouped)
	plan(first, other, vm)
	status, _ := c.post(first, operator.StopPath)
	assert.Equal(c.t, status, http.StatusAccepted)
	<-c.nodes[first].done
	delete(c.nodes, first)
	assert.Assert(c.t, c.memberOf(vm), "the stop was over before its coordinator left")
	eventually(c.t, "another coordinator", func() bool { return c.coordinator("praha") == other })
	assert.Equal(c.t, <-answered, http.StatusOK)
	return vm, spares[0], other
}

// slowRequest has a request of about 4 s run at the group of praha's engines
// out of the node's own share, and returns its status to come. Requests that
// another node dispatches don't count.
func (c *cluster) slowRequest(through string, engines []string) <-chan int {
	c.t.Helper()
	for _, vm := range engines {
		c.engines[vm].SetFaults(engine.Faults{SlowTokenMS: 100})
	}
	eventually(c.t, "a share of the group", func() bool { _, limit := c.share(through, "praha"); return limit > 0 })
	for range maxSlowRequests {
		answered := make(chan int, 1)
		go func() {
			status, _, _ := c.call(through, http.MethodPost, "/v1/completions", `{"model":"gloves","prompt":"cotton","max_tokens":40}`)
			answered <- status
		}()
		for range 20 {
			if inFlight, _ := c.share(through, "praha"); inFlight > 0 {
				return answered
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	c.t.Fatal("no request is dispatched by " + through)
	return nil
}

// maxSlowRequests bounds the requests sent until the node dispatches one.
const maxSlowRequests = 8

// TestStopOutlastsCoordinator asks a node that does not coordinate for a
// planned stop and takes the coordinator away while it is in progress.
func TestStopOutlastsCoordinator(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	vm, spare, _ := c.stopMidway(func(_, other, vm string) {
		status, stop := c.post(other, operator.StopVMPath+vm)
		assert.Equal(t, status, http.StatusAccepted)
		assert.DeepEqual(t, stop.VMs, []string{vm})
	})
	eventually(t, "the VM in no group and the spare in its place", func() bool { return !c.memberOf(vm) && c.memberOf(spare) })
	eventually(t, "the reason", func() bool { return c.explains("brno-e0", vm, "vm-out "+vm+"; undrain the VM") })
}

// TestStopInMemoryIsLost shows what the configuration is for: a stop that only
// the coordinator knows of ends with it.
func TestStopInMemoryIsLost(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	vm, _, other := c.stopMidway(func(coordinator, _, vm string) {
		node := c.nodes[coordinator]
		node.locked(func(now time.Time) { node.stepManager(now, group.StopRequested{Scope: group.ScopeVM, Name: vm}) })
	})
	eventually(t, "the group whole again with its old member", func() bool {
		node := c.nodes[other]
		whole := false
		node.locked(func(now time.Time) {
			for _, g := range node.manager.Status(now).Groups {
				whole = whole || g.State == group.StateWhole && slices.Contains(g.Group.Members, vm)
			}
		})
		return whole
	})
}

// TestStopCommandsWait runs the command line against the daemons.
func TestStopCommandsWait(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	table := "http://" + c.serve(table.New(table.Options{Table: c.table}))
	grouped, _ := c.modelVMs()
	answered := c.slowRequest("praha-e0", grouped)
	code, out := c.command("brno-e0", "stop", "vm", grouped[1], "--platform", table, "--timeout", "25s")
	assert.Equal(t, code, cli.ExitOK, out)
	assert.Assert(t, strings.Contains(out, "requests in flight"), out)
	coordinator := c.nodes[c.coordinator("praha")]
	coordinator.locked(func(time.Time) {
		_, member := coordinator.groups.holding(grouped[1])
		assert.Assert(t, !member, out)
	})
	select {
	case status := <-answered:
		assert.Equal(t, status, http.StatusOK)
	case <-time.After(time.Second):
		t.Fatal("the command ended before the request")
	}
	eventually(t, "the news on all nodes", func() bool { return !c.memberOf(grouped[1]) })
	code, out = c.command("praha-e0", "stop", "entry", "praha-e1", "--timeout", "25s")
	assert.Equal(t, code, cli.ExitOK, out)
	<-c.nodes["praha-e1"].done
	code, out = c.command("praha-e0", "stop", "entry", "praha-e0")
	assert.Equal(t, code, cli.ExitFailed)
	assert.Assert(t, strings.Contains(out, "the last entry VM of praha"), out)
}

// TestStopIsRefusedWithoutPlatform checks that a refused stop changes nothing.
func TestStopIsRefusedWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	grouped, _ := c.modelVMs()
	c.table.SetFaults(memtable.Faults{Down: true})
	status, _ := c.post("brno-e0", operator.StopVMPath+grouped[0])
	assert.Equal(t, status, http.StatusServiceUnavailable)
	c.table.SetFaults(memtable.Faults{})
	snapshot, err := configstore.New(c.table).Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Number, uint64(1))
}

func TestWithdrawnGroupsAreDropped(t *testing.T) {
	known := published{Term: 3, Group: group.Group{ID: "brno/gloves/1", Members: []string{"brno-m0"}}}
	tests := []struct {
		name    string
		entries []gossip.Entry
		kept    bool
	}{
		{"a coordinator without groups", []gossip.Entry{{Key: coordinatorEntry, Value: []byte("3")}}, false},
		{"one of a later term", []gossip.Entry{{Key: coordinatorEntry, Value: []byte("4")}}, false},
		{"one of an earlier term", []gossip.Entry{{Key: coordinatorEntry, Value: []byte("2")}}, true},
		{"a node that has stopped coordinating", []gossip.Entry{{Key: coordinatorEntry, Value: []byte{}}}, true},
		{"a node that never did", nil, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			n := New(Options{Settings: settings.Default(), Logger: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
			n.groups.put(known)
			n.learnGroups(time.Unix(0, 0), gossip.Node{VM: "brno-e0", DataCentre: "brno", Entries: tc.entries})
			_, kept := n.groups.byID["brno/gloves/1"]
			assert.Equal(t, kept, tc.kept)
		})
	}
}

// share sums the requests that a node has in flight at the groups of a data
// centre and the limits of its shares.
func (c *cluster) share(vm, dataCentre string) (inFlight, limit int) {
	node := c.nodes[vm]
	node.locked(func(now time.Time) {
		for _, dc := range node.status(now).DataCentres {
			for _, g := range dc.Groups {
				if dc.Name == dataCentre {
					inFlight, limit = inFlight+g.InFlight, limit+g.Limit
				}
			}
		}
	})
	return inFlight, limit
}

func TestPlannedStops(t *testing.T) {
	t.Parallel()
	c := startOperated(t)
	id := ""
	c.nodes["brno-e0"].locked(func(time.Time) { id = c.nodes["brno-e0"].groups.of("brno")[0] })
	status, stop := c.post("praha-e0", operator.StopGroupPath+id)
	assert.Equal(t, status, http.StatusAccepted)
	assert.Equal(t, len(stop.VMs), 2)
	eventually(t, "no member in a group", func() bool { return !c.memberOf(stop.VMs[0]) && !c.memberOf(stop.VMs[1]) })
	status, _ = c.post("praha-e0", operator.StopVMPath+"praha-e1")
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	status, _ = c.post("praha-e0", operator.StopVMPath+"nope")
	assert.Equal(t, status, http.StatusNotFound)
	status, _ = c.post("praha-e0", operator.StopGroupPath+"praha/nope/1")
	assert.Equal(t, status, http.StatusNotFound)
	status, _ = c.post("praha-e0", operator.StopDataCentrePath+"praha")
	assert.Equal(t, status, http.StatusAccepted)
	eventually(t, "the data centre out", func() bool { return c.explains("brno-e0", "praha-m0", "data-centre-out") })
}
