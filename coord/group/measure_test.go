package group

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// regroupAll is a baseline: whenever a group has lost a member for longer
// than the grace, it groups all VMs of the data centre anew at once.
type regroupAll struct {
	opts    Options
	fencer  Fencer
	size    int
	wanted  int
	reports *Reports
	vms     []inventory.VM
	groups  []Group
	formed  uint64
	placeOf map[string]place
	sentAt  map[string]time.Time
	badFrom time.Time
}

func newRegroupAll(opts Options) *regroupAll {
	return &regroupAll{
		opts: opts.withDefaults(), reports: NewReports(opts),
		placeOf: map[string]place{}, sentAt: map[string]time.Time{},
	}
}

func (b *regroupAll) Groups() []Group { return b.groups }

func (b *regroupAll) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Configuration:
		b.vms = ev.Document.VMs
		b.size, b.wanted = ev.Document.Models[0].GroupSize, ev.Document.Models[0].Groups
	case LeaseGained:
		b.fencer = ev.Fencer
	case Reported:
		b.reports.Observe(ev.SentAt, ev.Report)
	case Tick:
		return b.tick(now)
	}
	return nil
}

func (b *regroupAll) tick(now time.Time) []Effect {
	if b.faulty(now) {
		b.regroup(now)
	}
	var effects []Effect
	for _, vm := range b.vms {
		if o, ok := b.order(now, vm.Name); ok {
			o.Fence, _ = b.fencer.Fence(now)
			b.sentAt[vm.Name] = now
			effects = append(effects, SendOrder{Order: o})
		}
	}
	return effects
}

// faulty reports whether members have been lost for longer than the grace.
func (b *regroupAll) faulty(now time.Time) bool {
	bad := min(b.capacity(now), b.wanted) > len(b.groups)
	for i := range b.groups {
		bad = bad || b.reports.Reason(&b.groups[i], now).Code == NotReporting
	}
	for _, g := range b.groups {
		for _, name := range g.Members {
			r, _, _ := b.reports.Report(name)
			bad = bad || (r.Group == "" && now.Sub(b.sentAt[name]) > 4*b.opts.OrderTimeout)
		}
	}
	if !bad {
		b.badFrom = time.Time{}
		return false
	}
	if b.badFrom.IsZero() {
		b.badFrom = now
	}
	return now.Sub(b.badFrom) >= b.opts.RepairGrace
}

// capacity is the number of groups that the present VMs can form.
func (b *regroupAll) capacity(now time.Time) int {
	byDomain := map[string]int{}
	groups := 0
	for _, vm := range b.present(now) {
		byDomain[vm.FabricDomain]++
		if byDomain[vm.FabricDomain]%b.size == 0 {
			groups++
		}
	}
	return groups
}

func (b *regroupAll) present(now time.Time) []inventory.VM {
	var present []inventory.VM
	for _, vm := range b.vms {
		if _, at, ok := b.reports.Report(vm.Name); ok && now.Sub(at) < b.opts.ReportTTL {
			present = append(present, vm)
		}
	}
	return present
}

func (b *regroupAll) regroup(now time.Time) {
	b.badFrom = time.Time{}
	b.groups = nil
	clear(b.placeOf)
	b.formed++
	byDomain := map[string][]string{}
	for _, vm := range b.present(now) {
		d := vm.FabricDomain
		byDomain[d] = append(byDomain[d], vm.Name)
		if len(byDomain[d]) == b.size && len(b.groups) < b.wanted {
			b.form(d, byDomain[d], now)
			byDomain[d] = nil
		}
	}
}

func (b *regroupAll) form(domain string, names []string, now time.Time) {
	g := Group{
		ID: "praha/m/" + strconv.Itoa(len(b.groups)+1), Generation: b.formed, Model: "m",
		FabricDomain: domain, Members: names,
	}
	for rank, name := range names {
		b.placeOf[name] = place{strayKey{g.ID, g.Generation}, rank}
		b.sentAt[name] = now
	}
	b.groups = append(b.groups, g)
}

func (b *regroupAll) order(now time.Time, vm string) (member.Order, bool) {
	r, at, ok := b.reports.Report(vm)
	p, placed := b.placeOf[vm]
	fresh := ok && now.Sub(at) < b.opts.ReportTTL
	if !fresh || now.Sub(b.sentAt[vm]) < b.opts.OrderTimeout {
		return member.Order{}, false
	}
	in := place{strayKey{r.Group, r.Generation}, r.Rank}
	switch {
	case placed && in == p, !placed && r.Group == "":
		return member.Order{}, false
	case r.Group != "":
		return member.Order{VM: vm, Action: member.Leave}, true
	}
	return member.Order{
		VM: vm, Action: member.Join, Group: p.key.group, Generation: p.key.generation, Model: "m", Rank: p.rank,
	}, true
}

// measured are the figures of one run of the trace.
type measured struct {
	down     time.Duration // group downtime below the wanted number
	stranded time.Duration // of healthy VMs in no serving group
	loads    int           // groups that were loaded
	orders   int
}

// traceEvent is one fault of the trace, or its end.
type traceEvent struct {
	at   time.Duration
	fate string
	vm   int
}

const (
	traceLength  = 100 * time.Minute
	traceDomains = 3
	traceGroups  = 12 // four in each domain
)

// site is the size of the data centre in the trace.
type site struct {
	domain int // VMs in a fabric domain
	group  int // VMs in a group
}

var (
	todaysSite = site{domain: 18, group: 4}
	designSite = site{domain: 138, group: 32}
)

var designSize = flag.Bool("design-size", false, "replay the fault trace on 414 VMs instead of 54")

func traceSite() site {
	if *designSize {
		return designSite
	}
	return todaysSite
}

// faultTrace holds more than a day's faults of one data centre in 100
// minutes: deaths with a new VM 20 minutes later, restarts, short pauses, a
// straggler, a dark fabric domain and planned stops.
func faultTrace(seed uint64) []traceEvent {
	rng := newWorld(testOptions(), inventory.Document{}, seed, 1).rng
	var trace []traceEvent
	add := func(fate, end string, n int, length time.Duration) {
		for range n {
			at := 10*time.Minute + time.Duration(rng.Int64N(int64(60*time.Minute)))
			vm := rng.IntN(traceDomains * traceSite().domain)
			trace = append(trace, traceEvent{at, fate, vm})
			if end != "" {
				trace = append(trace, traceEvent{at + length, end, vm})
			}
		}
	}
	add("die", "cold", 5, 20*time.Minute)
	add("cold", "", 5, 0)
	add("pause", "resume", 6, 6*time.Second)
	add("slow", "swift", 1, 30*time.Minute)
	add("dark", "light", 1, 5*time.Minute)
	add("stop", "cancel", 3, 20*time.Minute)
	slices.SortStableFunc(trace, func(a, b traceEvent) int { return int(a.at - b.at) })
	return trace
}

func replay(d decider, trace []traceEvent) measured {
	opts := Options{DataCentre: "praha"}
	doc := inventoryOf(traceDomains, traceSite().domain, model("m", traceSite().group, traceGroups))
	w := newWorld(opts, doc, 1, 1)
	w.nodes[0].d = d
	w.tick, w.loadTime, w.store, w.quick = 2*time.Second, 90*time.Second, DefaultMaxLoads, true
	w.configure()
	w.grant(w.nodes[0])
	var out measured
	loading := map[strayKey]bool{}
	for elapsed := time.Duration(0); elapsed < traceLength; elapsed += w.tick {
		for len(trace) > 0 && trace[0].at <= elapsed {
			fates[trace[0].fate](w, w.engines[trace[0].vm])
			trace = trace[1:]
		}
		w.advance()
		if elapsed >= 8*time.Minute { // everything is whole by then
			w.measure(&out, loading)
		}
	}
	out.loads, out.orders = len(loading), w.sent
	return out
}

func (w *world) measure(out *measured, loading map[strayKey]bool) {
	serving := w.serving()
	out.down += time.Duration(traceGroups-serving) * w.tick
	up := 0
	for _, e := range w.engines {
		if e.up() {
			up++
		}
		if e.up() && e.report.State == member.Loading {
			loading[e.key()] = true
		}
	}
	out.stranded += time.Duration(up-traceSite().group*serving) * w.tick
}

// TestFaultTraceAgainstBaselines compares group downtime and stranded VMs of
// the manager with two baselines on the same faults.
func TestFaultTraceAgainstBaselines(t *testing.T) {
	opts := Options{DataCentre: "praha"}
	without := func(mechanism Mechanism) func() decider {
		off := opts
		off.Disable = mechanism
		return func() decider { return New(off) }
	}
	policies := []struct {
		name string
		make func() decider
	}{
		{"spares and repair", func() decider { return New(opts) }},
		{"no spares", without(Spares)},
		{"regroup everything", func() decider { return newRegroupAll(opts) }},
		{"no pause grace", without(PauseGrace)},
		{"no merging", without(Regroup)},
	}
	var table strings.Builder
	totals := make([]measured, len(policies))
	for seed := uint64(1); seed <= 3; seed++ {
		trace := faultTrace(seed)
		for i, p := range policies {
			r := replay(p.make(), slices.Clone(trace))
			totals[i].down += r.down
			totals[i].stranded += r.stranded
			fmt.Fprintf(&table, "\n| %d | %s | %.0f | %.0f | %d | %d |",
				seed, p.name, r.down.Minutes(), r.stranded.Hours(), r.loads, r.orders)
		}
	}
	t.Logf("%d VMs\n| seed | policy | group downtime, minutes | stranded, VM-hours | group loads | orders |\n|---|---|---|---|---|---|%s", traceDomains*traceSite().domain, table.String())
	for i, p := range policies[1:3] {
		assert.Assert(t, totals[0].down < totals[i+1].down, "%s has less downtime", p.name)
		assert.Assert(t, totals[0].stranded < totals[i+1].stranded, "%s strands less", p.name)
	}
}
