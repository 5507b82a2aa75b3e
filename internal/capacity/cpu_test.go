package capacity

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/admit"
	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/route"
	"github.com/pimentoshore/pimentoshore/coord/table"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

var epoch = time.Unix(1000, 0)

const model = "conversation-large"

// timePerOp returns the time per operation of a benchmark, which equals its
// processor time if it uses only one core.
func timePerOp(f func(b *testing.B)) time.Duration {
	r := testing.Benchmark(f)
	return time.Duration(r.NsPerOp())
}

// designDocument returns a configuration of the design size.
func designDocument() inventory.Document {
	doc := inventory.Document{Models: []inventory.Model{{Name: model, GroupSize: groupSize, MaxInFlight: 512, ColdInFlight: 64}}}
	for d := range Design.DataCentres {
		doc.DataCentres = append(doc.DataCentres, inventory.DataCentre{
			Name: fmt.Sprintf("d%02d", d), Region: fmt.Sprintf("region-%d", d%Design.Regions),
		})
	}
	for i := range Design.VMs {
		doc.VMs = append(doc.VMs, endpointVM(i%Design.DataCentres, i/Design.DataCentres))
	}
	for i := range Design.Nodes {
		doc.VMs = append(doc.VMs, inventory.VM{
			Name: fmt.Sprintf("d%02d-e%02d", i%Design.DataCentres, i/Design.DataCentres), DataCentre: fmt.Sprintf("d%02d", i%Design.DataCentres),
			Role: inventory.RoleEntry, Address: fmt.Sprintf("10.%d.0.%d:7000", i%Design.DataCentres, i/Design.DataCentres),
		})
	}
	return config.Normalize(doc)
}

func endpointVM(d, i int) inventory.VM {
	return inventory.VM{
		Name: fmt.Sprintf("d%02d-m%03d", d, i), DataCentre: fmt.Sprintf("d%02d", d), FabricDomain: fmt.Sprintf("f%d", i/(2*groupSize)),
		Role: inventory.RoleModel, Address: fmt.Sprintf("10.%d.%d.%d:8000", d, 1+i/256, i%256), Accelerators: 2, ChecksFencing: true,
	}
}

// managerSimulation simulates the group manager of one data centre with engines
// that execute orders immediately.
type managerSimulation struct {
	m       *group.Manager
	now     time.Time
	seq     uint64
	reports []member.Report
	index   map[string]int
}

// Fence implements group.Fencer.
func (d *managerSimulation) Fence(time.Time) (member.Fence, bool) {
	d.seq++
	return member.Fence{Term: 1, Sequence: d.seq}, true
}

func newManagerSimulation() *managerSimulation {
	_, vms, _ := Design.PerDataCentre()
	d := &managerSimulation{m: group.New(group.Options{DataCentre: "d00", MaxLoads: vms}), now: epoch, index: map[string]int{}}
	doc := inventory.Document{
		DataCentres: []inventory.DataCentre{{Name: "d00"}},
		Models:      []inventory.Model{{Name: model, GroupSize: groupSize, MaxInFlight: 512, ColdInFlight: 64}},
	}
	for i := range vms {
		vm := endpointVM(0, i)
		doc.VMs = append(doc.VMs, vm)
		d.index[vm.Name] = i
		d.reports = append(d.reports, member.Report{VM: vm.Name, Incarnation: "1234567890abc", State: member.Idle})
	}
	d.step(group.Configuration{Number: 1, Document: &doc})
	d.step(group.LeaseGained{Term: 1, Fencer: d})
	for range 60 {
		d.runRound()
	}
	return d
}

func (d *managerSimulation) runRound() {
	d.now = d.now.Add(time.Second)
	for _, r := range d.reports {
		d.step(group.Reported{Report: r, SentAt: d.now})
	}
	d.step(group.Tick{})
}

func (d *managerSimulation) step(ev group.Event) {
	for _, e := range d.m.Step(d.now, ev) {
		switch e := e.(type) {
		case group.ReadRow:
			d.step(group.RowRead{})
		case group.WriteRow:
			d.step(group.RowWritten{Token: e.Token, Outcome: group.WriteApplied, Revision: e.Revision + 1})
		case group.SendOrder:
			d.execute(e.Order)
		}
	}
}

func (d *managerSimulation) execute(o member.Order) {
	r := &d.reports[d.index[o.VM]]
	*r = member.Report{VM: r.VM, Incarnation: r.Incarnation, State: member.Idle, Fence: o.Fence}
	if o.Action == member.Join {
		r.State, r.Group, r.Generation, r.Model, r.Rank = member.Ready, o.Group, o.Generation, o.Model, o.Rank
	}
}

func measureGroups(t *testing.T, c *CPU) {
	d := newManagerSimulation()
	_, _, groups := Design.PerDataCentre()
	assert.Assert(t, len(d.m.Groups()) > 0 && len(d.m.Groups()) <= groups)
	c.GroupTick = timePerOp(func(b *testing.B) {
		for b.Loop() {
			d.m.Step(d.now, group.Tick{})
		}
	})
	c.GroupReport = timePerOp(func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			d.now = d.now.Add(time.Microsecond)
			d.m.Step(d.now, &group.Reported{Report: d.reports[i%len(d.reports)], SentAt: d.now})
		}
	})
}

// newLeaseHolder returns a lease machine that holds its lease.
func newLeaseHolder(t *testing.T) *lease.Machine {
	m := lease.New(lease.Options{DataCentre: "d00", VM: "d00-e00", Incarnation: "1"})
	queue := []lease.Event{lease.Tick{}}
	for len(queue) > 0 {
		ev := queue[0]
		queue = queue[1:]
		for _, e := range m.Step(epoch, ev) {
			switch e := e.(type) {
			case lease.ReadRows:
				queue = append(queue, lease.RowsRead{Read: e.ID})
			case lease.WriteRow:
				queue = append(queue, lease.WriteAnswered{Token: e.Row.Token, Outcome: lease.Applied, Revision: 1})
			}
		}
	}
	_, held := m.Held(epoch)
	assert.Assert(t, held)
	return m
}

func measureLease(t *testing.T, c *CPU) {
	m := newLeaseHolder(t)
	c.LeaseTick = timePerOp(func(b *testing.B) {
		for b.Loop() {
			m.Step(epoch, lease.Tick{})
		}
	})
}

// newRouter returns the routing table of a home node at the design size, and
// its shares.
func newRouter() (*route.Table, *budget.Shares) {
	shares := budget.NewShares("d00-e00", "1")
	rt := route.NewTable(route.Options{Seed: 1}, shares)
	for i := range 2 {
		name := fmt.Sprintf("d00/g%02d", i)
		rt.Step(epoch, route.EndpointUpdated{Endpoint: route.Endpoint{Name: name, Incarnation: "i", Target: model, Serving: true}})
		grantShare(shares, "d00", name, "i")
	}
	nodes, _, _ := Design.PerDataCentre()
	for i := range nodes - 1 {
		rt.Step(epoch, route.PeerReported{Node: fmt.Sprintf("d00-e%02d", i+1), Target: model, Limit: 256, InFlight: 200})
	}
	for i := range Design.DataCentres - 1 {
		rt.Step(epoch, route.RemoteReported{DataCentre: fmt.Sprintf("d%02d", i+1), Target: model, Limit: 4096, InFlight: 4000, Node: "e"})
	}
	return rt, shares
}

func grantShare(s *budget.Shares, source, endpointName, incarnation string) {
	s.ApplyGrant(epoch, budget.Grant{
		Source: source, Fence: member.Fence{Term: 1, Sequence: 1}, Node: "d00-e00", NodeIncarnation: "1",
		Endpoint: endpointName, Incarnation: incarnation, Limit: 256, Cold: 256,
	})
}

func measureRequests(t *testing.T, c *CPU) {
	rt, shares := newRouter()
	now := epoch
	c.RoutePick = timePerOp(func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Microsecond)
			choice, p := rt.Pick(now, route.Request{Target: model})
			assert.Assert(t, p == nil)
			rt.Step(now, route.Completed{Choice: choice, Took: time.Second, Incarnation: "i"})
		}
	})
	ctl := admit.New(admit.Options{Seed: 1, Source: "accounts"}, rt, shares)
	ctl.SetAccount(admit.Account{Name: "archive", MaxInFlight: 256})
	grantShare(shares, "accounts", admit.ShareName("archive"), "accounts")
	id := admit.ID(0)
	c.Admit = timePerOp(func(b *testing.B) {
		for b.Loop() {
			id++
			d := ctl.Offer(now, admit.Request{ID: id, Account: "archive", Target: model})
			assert.Equal(t, d.Verdict, admit.Admit)
			ctl.Release(now, id, true)
		}
	})
}

// newLedger returns the ledger of a data centre after all its nodes have
// reported their usage.
func newLedger() *budget.Ledger {
	nodes, _, groups := Design.PerDataCentre()
	l := budget.NewLedger(budget.LedgerOptions{Source: "d00", Term: 1})
	var holders []budget.Node
	for i := range nodes {
		holders = append(holders, budget.Node{Name: fmt.Sprintf("d00-e%02d", i), Live: true})
	}
	for _, a := range l.SetNodes(epoch, holders).Announcements {
		l.ApplyUsage(epoch, budget.Usage{Source: "d00", Term: 1, Nonce: a.Nonce, Node: a.Node, NodeIncarnation: "1", Sequence: 1, Full: true})
	}
	for i := range groups {
		l.SetEndpoint(epoch, budget.Endpoint{Name: fmt.Sprintf("d00/g%02d", i), Incarnation: "i", ColdInFlight: 64, MaxInFlight: 512})
	}
	return l
}

func measureBudget(t *testing.T, c *CPU) {
	l := newLedger()
	assert.Assert(t, l.Synced())
	u := newUsage()
	c.BudgetUsage = timePerOp(func(b *testing.B) {
		for b.Loop() {
			u.Sequence++
			u.Entries[0].Demand = int(u.Sequence % 64)
			l.ApplyUsage(epoch, u)
		}
	})
}

func newUsage() budget.Usage {
	return budget.Usage{Source: "d00", Term: 1, Nonce: 1, Node: "d00-e03", NodeIncarnation: "1", Sequence: 1, Entries: []budget.Entry{{
		Endpoint: "d00/g03", Incarnation: "i", Fence: member.Fence{Term: 1, Sequence: 9}, Held: 128, Cold: 32, Demand: 99, Completed: 123456,
	}}}
}

// claimSimulation simulates the claims of a node on a table that commits
// immediately.
type claimSimulation struct {
	state      *claim.State
	id         uint64
	revision   uint64
	unanswered bool // whether dispatched calls stay unanswered
}

func newClaimSimulation() *claimSimulation {
	c := &claimSimulation{state: claim.New(claim.Options{Self: claim.Node{VM: "e", Incarnation: "1"}, CommitsPerSecond: 1e9, CommitBurst: 1 << 30, MaxQueue: 1 << 20})}
	c.step(epoch, claim.Tick{})
	return c
}

func (c *claimSimulation) step(now time.Time, ev claim.Event) {
	for _, e := range c.state.Step(now, ev) {
		switch e := e.(type) {
		case claim.Read:
			rows := make([]table.Row, len(e.Keys))
			for i, key := range e.Keys {
				rows[i].Key = key
			}
			c.step(now, claim.RowsRead{Read: e.Read, Rows: rows})
		case claim.Commit:
			c.revision++
			c.step(now, claim.Committed{Batch: e.Batch, Outcome: table.Applied, Revision: c.revision})
		case claim.Dispatch:
			if c.unanswered {
				continue
			}
			outcome := claim.NewOutcome(200, "application/json", []byte(`{"order_id":"o-1"}`))
			c.step(now, claim.Answered{Key: e.Key, Attempt: e.Attempt, Outcome: outcome})
		}
	}
}

func (c *claimSimulation) call(now time.Time) {
	c.id++
	c.step(now, claim.Arrived{Call: claim.Call{ID: c.id, Key: claim.NewKey("archive", fmt.Sprint(c.id)), Fingerprint: "f"}})
}

func measureClaims(t *testing.T, c *CPU) {
	cl := newClaimSimulation()
	now := epoch
	c.Claim = timePerOp(func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			cl.call(now)
			cl.step(now, claim.Tick{})
		}
	})
	assert.Assert(t, cl.revision > 1, "no claim was committed")
}

func measureConfig(t *testing.T, c *CPU) {
	doc := designDocument()
	s := config.New(config.Options{VM: "e"})
	s.Step(epoch, config.Fetched{From: "p", Snapshot: &config.Snapshot{Number: 1, Token: "1", Document: doc}})
	assert.Equal(t, s.Number(), uint64(1))
	c.ConfigChange = timePerOp(func(b *testing.B) {
		for b.Loop() {
			s.Step(epoch, config.Fetched{From: "p", Changes: []config.Change{vmChange(s.Number() + 1)}})
		}
	})
	assert.Assert(t, s.Number() > 1)
}

// vmChange returns a configuration change that takes a VM out of use if number
// is even, or puts it back.
func vmChange(number uint64) config.Change {
	vm := endpointVM(3, 7)
	vm.Out = number%2 == 0
	return config.Change{
		Number: number, Token: fmt.Sprint(number), Previous: fmt.Sprint(number - 1), Author: "operator",
		Put: inventory.Document{VMs: []inventory.VM{vm}},
	}
}

func measureProbe(t *testing.T, c *CPU) {
	e := engine.New(engine.Options{VM: "d00-m001"})
	srv := httptest.NewServer(e)
	defer srv.Close()
	client := endpoint.NewClient(transport.New(nil))
	address := strings.TrimPrefix(srv.URL, "http://")
	c.Probe = cpuPer(2000, func() {
		_, err := client.Report(context.Background(), address)
		assert.NilError(t, err)
	})
}

func measurePulls(c *CPU) {
	nodes, vms, _ := Design.PerDataCentre()
	full := settledFleet(40, vms, 1, nodes)
	start := cpuTime()
	full.reset()
	const rounds = 60
	full.run(rounds)
	withReports := cpuTime() - start
	reports := 0
	for _, n := range full.nodes {
		reports += n.calls["reports"]
	}
	reports /= 2 // a call is counted on both sides
	bare := settledFleet(40, 0, 1, nodes)
	start = cpuTime()
	bare.run(rounds)
	withoutReports := cpuTime() - start
	c.ReportsPull = max(0, withReports-withoutReports) / time.Duration(reports)
}
