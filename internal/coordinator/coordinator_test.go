package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// harness is the only candidate for a lease in a table in memory, with a fake
// clock and two engine services that have a serving group each.
type harness struct {
	*Coordinator
	now      time.Time
	log      bytes.Buffer
	registry metrics.Registry
	store    *memtable.Table
	// loads holds the loads that VMs report; a VM without one has none.
	loads map[string]fleet.Load
}

// epochs are the epochs of the services' groups.
var epochs = map[string]uint64{"llm-1": 1, "llm-2": 2}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{now: time.Unix(1000, 0), registry: metrics.NewRegistry(), store: memtable.New(memtable.Options{})}
	clock := func() time.Time { return h.now }
	log := slog.New(slog.NewTextHandler(&h.log, nil))
	state := entry.NewState(log, clock, dispatch.Options{DataCentre: "dc"})
	prober := entry.NewProber(entry.ProbeOptions{Metrics: h.registry}, state, nil)
	h.Coordinator = New(Options{
		Lease: lease.Options{
			DataCentre: "all", VM: "e-1", Incarnation: "1", WithoutPromises: true, Duration: 2 * time.Second, RenewEvery: 700 * time.Millisecond,
			PollEvery: 700 * time.Millisecond, RetryEvery: 300 * time.Millisecond, OrderTimeout: 500 * time.Millisecond, Margin: 300 * time.Millisecond,
		},
		Replica: replica.Options{Stall: 5 * time.Second, LoadWindow: 5 * time.Second}, OrderTimeout: 500 * time.Millisecond,
		FollowDemand: FollowsDemand(settings.FollowAuto),
		Log:          log, Metrics: h.registry, Now: clock,
	}, h.store, state, h, prober, h)
	h.store.SetVMs([]platform.VMStatus{{Name: "e-1"}})
	h.listGroups(state, "llm-1", "llm-2")
	return h
}

// listGroups gives each service a group of one VM that serves.
func (h *harness) listGroups(state *entry.State, services ...string) {
	var list []catalog.Service
	var rows []fleet.Row
	for _, name := range services {
		list = append(list, catalog.Service{Name: name, Engine: &catalog.Engine{Slots: 4, Models: []catalog.Model{{Name: "m", GroupSize: 1, Share: 1}}}})
		rows = append(rows, fleet.Row{ID: "vm-" + name, Service: name, Address: name + ":1", DataCentre: "dc", Slots: 4, Engine: true, State: servingState(name)})
	}
	state.Operators(h.now, updates.Operators{Version: 1, Whole: true, Catalog: catalog.New(1, nil, list, catalog.Accounts{}, catalog.Limits{})})
	state.VMs(h.now, updates.VMs{Version: 1, Whole: true, Rows: rows})
}

func servingState(service string) fleet.State {
	return fleet.State{
		Born: 1, Model: "m", Staged: []string{"m"}, Domain: "d-1",
		Membership: fleet.Membership{Group: "g-" + service, Epoch: epochs[service], Stage: fleet.Open},
	}
}

// run advances the clock by d in steps of the tick interval of a node.
func (h *harness) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(step) {
		h.state.Locked(func(st entry.LockedState) {
			for _, vm := range st.VMs.All() {
				st.VMs.ApplyReport(h.now, h.now, vm.ID, h.report(vm))
			}
		})
		h.Tick(context.Background())
		h.tasks.Wait()
	}
}

// report returns a VM's report. It serves the model that its row states.
func (h *harness) report(vm *fleet.VM) fleet.Report {
	load, loaded := h.loads[vm.ID]
	if !loaded {
		return fleet.Report{State: servingState(vm.Service), Load: fleet.Load{Pace: 1}}
	}
	state := vm.State
	state.Busy = false
	return fleet.Report{State: state, Load: load}
}

func (h *harness) gauge(metric string, labels ...string) int64 {
	return telemetry.Gauge(h.registry, metric, labels...).Value()
}

// Order implements Orderer.
func (h *harness) Order(context.Context, replica.Order) (replica.Outcome, error) {
	return replica.Accepted, nil
}

// Set implements Peers.
func (h *harness) Set([]updates.Node) {}

// With two engine services, only the first one was summarised.
func TestEachServiceHasItsSummary(t *testing.T) {
	h := newHarness(t)
	h.run(2 * summaryInterval)
	for _, service := range []string{"llm-1", "llm-2"} {
		lines := strings.Count(h.log.String(), "msg=VMs service="+service+" ")
		assert.Equal(t, lines, 2, "%s: %s", service, h.log.String())
		assert.Equal(t, h.gauge("endpoint_vms_number", "service", service, "activity", string(replica.ActivityServing)), int64(1), service)
	}
}

// The groups of one service were logged as gone when those of another were logged.
func TestUnchangedGroupsAreLoggedOnce(t *testing.T) {
	h := newHarness(t)
	h.run(3 * time.Second)
	assert.Equal(t, strings.Count(h.log.String(), `msg="group serving"`), 2, h.log.String())
	assert.Equal(t, strings.Count(h.log.String(), `msg="group gone"`), 0, h.log.String())
}

// While the holder can't renew its lease it gives no orders, but its groups still
// serve. Once the lease has lapsed, they are for another node to count.
func TestGaugesLastAsLongAsTheLease(t *testing.T) {
	h := newHarness(t)
	h.run(3 * time.Second)
	assert.Equal(t, h.gauge("whole_groups"), int64(2), h.log.String())
	h.store.SetFaults(memtable.Faults{Down: true})
	noOrders := 0
	for i := 0; h.term != 0; i++ {
		assert.Assert(t, i < 100, "the lease never lapsed")
		assert.Equal(t, h.gauge("whole_groups"), int64(2))
		if !h.leaseMachine.MayOrder(h.now, h.opts.OrderTimeout) {
			noOrders++
		}
		h.run(50 * time.Millisecond)
	}
	assert.Assert(t, noOrders > 2)
	assert.Equal(t, h.gauge("whole_groups"), int64(0))
	assert.Equal(t, h.gauge("endpoint_vms_number", "service", "llm-1", "activity", string(replica.ActivityServing)), int64(0))
}

// Guards against shares that don't follow the demand, or still do under a new
// version of the configuration that no longer ranks the service's routes.
func TestSharesFollowDemandOfRankedRoutes(t *testing.T) {
	h := newHarness(t)
	engine := &catalog.Engine{Slots: 4, Models: []catalog.Model{{Name: "a", GroupSize: 1, Share: 1}, {Name: "b", GroupSize: 1, Share: 1}}}
	configure := func(version int64, priority int) {
		backends := []catalog.Backend{{Service: "llm", Weight: 1}}
		routes := []catalog.Route{
			{Name: "r-1", Host: "h", Prefix: "/1", Kind: catalog.Stream, Backends: backends, MaxAttempts: 1},
			{Name: "r-2", Host: "h", Prefix: "/2", Kind: catalog.Stream, Backends: backends, MaxAttempts: 1, Priority: priority},
		}
		services := []catalog.Service{{Name: "llm", Engine: engine}}
		h.state.Operators(h.now, updates.Operators{Version: uint64(version), Whole: true, Catalog: catalog.New(version, routes, services, catalog.Accounts{}, catalog.Limits{})})
	}
	configure(2, 1)
	var rows []fleet.Row
	for i, model := range []string{"a", "b"} {
		state := servingState("llm")
		state.Model, state.Staged, state.Epoch, state.Group = model, []string{model}, uint64(i+1), "g-"+model
		rows = append(rows, fleet.Row{ID: "vm-" + model, Service: "llm", Address: model + ":1", DataCentre: "dc", Slots: 4, Engine: true, State: state})
	}
	h.state.VMs(h.now, updates.VMs{Version: 2, Whole: true, Rows: rows})
	h.loads = map[string]fleet.Load{"vm-a": {Running: 4, Pace: 1}, "vm-b": {Running: 1, Pace: 1}}
	h.run(3 * time.Second)
	h.planners["llm"].SetTrafficStarted()
	h.run(15 * time.Second)
	assert.Equal(t, h.gauge("model_share_number", "service", "llm", "model", "a"), int64(800), h.log.String())
	assert.Equal(t, h.gauge("model_share_number", "service", "llm", "model", "b"), int64(200))
	assert.Equal(t, strings.Count(h.log.String(), `msg="shares of models changed"`), 1, h.log.String())
	configure(3, 0)
	h.run(2 * summaryInterval)
	assert.Equal(t, h.gauge("model_share_number", "service", "llm", "model", "a"), int64(500))
	configure(4, 1)
	h.run(15 * time.Second)
	assert.Equal(t, h.gauge("model_share_number", "service", "llm", "model", "a"), int64(800))
	h.store.SetFaults(memtable.Faults{Down: true})
	h.run(5 * time.Second)
	assert.Equal(t, h.gauge("model_share_number", "service", "llm", "model", "a"), int64(0), "the lease is lost")
}

// Guards against a setting that is read the wrong way round.
func TestFollowsDemand(t *testing.T) {
	ranked := catalog.New(1, []catalog.Route{
		{Host: "h", Backends: []catalog.Backend{{Service: "llm"}}}, {Host: "h", Priority: 1, Backends: []catalog.Backend{{Service: "llm"}}},
	}, nil, catalog.Accounts{}, catalog.Limits{})
	plain := catalog.New(1, nil, nil, catalog.Accounts{}, catalog.Limits{})
	for setting, want := range map[string][2]bool{settings.FollowAuto: {true, false}, settings.FollowOn: {true, true}, settings.FollowOff: {false, false}} {
		follows := FollowsDemand(setting)
		assert.Equal(t, [2]bool{follows(ranked, "llm"), follows(plain, "llm")}, want, setting)
	}
}

// The probe interval grows with the number of VMs that need fresh reports. Urgent
// probes keep their interval, and members of serving groups have the longest.
func TestProbeRateIsBounded(t *testing.T) {
	c := &Coordinator{opts: Options{ProbeInterval: 450 * time.Millisecond, FastProbeInterval: 80 * time.Millisecond, MemberProbeInterval: 1500 * time.Millisecond, ProbesPerSecond: 280}}
	for vms, want := range map[int]struct{ regular, member time.Duration }{
		48:   {450 * time.Millisecond, 1500 * time.Millisecond},
		558:  {maxProbeInterval, 2 * time.Second},
		5000: {maxProbeInterval, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			all := map[string]replica.ProbePriority{"awaited": replica.Urgent, "member": replica.Background}
			for i := range vms {
				all[fmt.Sprint("i-", i)] = replica.Regular
			}
			got := c.probeIntervals(all)
			assert.Equal(t, got["i-0"], want.regular)
			assert.Equal(t, got["member"], want.member)
			assert.Equal(t, got["awaited"], 80*time.Millisecond)
			assert.Equal(t, len(got), vms+2)
		})
	}
}
