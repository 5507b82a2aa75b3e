package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Engines asks endpoint VMs that run models for their reports.
type Engines interface {
	// Report asks the VM of an ID at an address. Another VM there is an error.
	Report(ctx context.Context, address, id string) (fleet.Report, error)
}

// ProbeOptions set the pace of a Prober.
type ProbeOptions struct {
	// HeadEvery is the interval between probes of a head that this node
	// sends requests to.
	HeadEvery time.Duration
	// RelayedHeadEvery is the age of a head's newest report at which it is
	// probed while another node tells what it hears.
	RelayedHeadEvery time.Duration
	// FastEvery is the interval between probes of a VM in doubt.
	FastEvery time.Duration
	// VerifyEvery is the least interval between probes of the VMs of a group
	// at which requests make no progress. VerifyPerSecond bounds these probes
	// over all groups, and quick ones of VMs in doubt: where very many stand
	// still or fail, it is not these VMs that are lost.
	VerifyEvery     time.Duration
	VerifyPerSecond int
	// Timeout bounds a probe.
	Timeout time.Duration
	// StalledAfter is how long none of a group's requests may make progress
	// before its members are verified, StalledFirst how long one may wait for
	// its first; SilentAfter ends a request that alone makes none, FirstAfter
	// one that never made any.
	StalledAfter, StalledFirst, SilentAfter, FirstAfter time.Duration
	Metrics                                             metrics.Registry
}

// Prober keeps the reports of VMs fresh that this node depends on.
type Prober struct {
	opts    ProbeOptions
	state   *State
	engines Engines

	mu sync.Mutex
	// wanted is the interval that others ask for, by VM.
	wanted  map[string]time.Duration
	running map[string]bool
	lastAt  map[string]time.Time
	// paused holds the VMs that asked for no probes.
	paused map[string]probePause
}

// probePause is until when a start of a VM wants no probes.
type probePause struct {
	born  int64
	until time.Time
}

// NewProber returns a prober of the state's VMs.
func NewProber(opts ProbeOptions, state *State, engines Engines) *Prober {
	return &Prober{
		opts: opts, state: state, engines: engines,
		wanted: make(map[string]time.Duration), running: make(map[string]bool),
		lastAt: make(map[string]time.Time), paused: make(map[string]probePause),
	}
}

// SetIntervals replaces the intervals at which a coordinator wants VMs probed.
func (p *Prober) SetIntervals(intervals map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = intervals
}

// Reasons for probes, as metrics name them.
const (
	forRequests = "head"    // requests go to the VM
	forPlanner  = "planned" // the holder of the lease keeps its report fresh
	forOrder    = "awaited" // the holder awaits the effect of an order
	inDoubt     = "doubt"   // a probe has failed
	forStalled  = "stalled" // requests at its group make no progress
)

// pace is how often a VM is to be probed, and what for.
type pace struct {
	every time.Duration
	why   string
}

// target is a probe that is due.
type target struct {
	id, address string
	born        int64
	why         string
}

// Tick starts the probes that are due and ends requests that make no
// progress. lost are tickets whose targets are gone.
func (p *Prober) Tick(ctx context.Context, lost []*dispatch.Ticket) {
	p.state.Locked(func(k LockedState) {
		lost = append(lost, k.Targets.Silent(k.Now, p.opts.SilentAfter, p.opts.FirstAfter)...)
		k.Suspects.AddOwn(k.Now, k.Targets.Stalled(k.Now, p.opts.StalledAfter, p.opts.StalledFirst))
	})
	for _, t := range lost {
		t.Cancel()
	}
	for _, t := range p.due() {
		go p.probe(ctx, t)
	}
}

func (p *Prober) due() []target {
	var out []target
	p.state.Locked(func(k LockedState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		paces := p.paces(k)
		retryEvery := p.retryEvery(k, paces)
		for id, pace := range paces {
			every := pace.every
			vm := k.VMs.Get(id)
			if vm == nil || vm.Address == "" || p.running[id] || p.isPaused(k.Now, vm) {
				continue
			}
			if vm.FailedProbes > 0 && vm.FailedProbes < quickRetries {
				every = min(every, retryEvery)
				pace.why = inDoubt
			}
			if k.Now.Sub(p.lastAt[id]) < every || vm.FailedProbes == 0 && k.Now.Sub(vm.ReportedAt) < every {
				continue
			}
			p.running[id] = true
			p.lastAt[id] = k.Now
			out = append(out, target{id, vm.Address, vm.Born, pace.why})
		}
	})
	return out
}

// retryEvery returns the interval between probes of a VM that has just failed
// one. Where very many fail, it's the way there that is lost, and there is
// less to learn from each.
func (p *Prober) retryEvery(k LockedState, paces map[string]pace) time.Duration {
	failing := 0
	for id := range paces {
		if vm := k.VMs.Get(id); vm != nil && vm.FailedProbes > 0 {
			failing++
		}
	}
	return max(p.opts.FastEvery, Interval(failing, p.opts.VerifyPerSecond))
}

// Interval returns the time between two probes of each of n VMs at which they
// come to a number of probes a second in all.
func Interval(n, perSecond int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(max(1, perSecond))
}

// quickRetries is how many failed probes are repeated soon.
const quickRetries = 4

// doubtDoublings bounds how often the interval doubles between probes of a VM
// that goes on not to answer.
const doubtDoublings = 2

// paces returns how often each VM is to be probed. p.mu is held.
func (p *Prober) paces(k LockedState) map[string]pace {
	out := make(map[string]pace, len(p.wanted))
	headEvery := p.opts.HeadEvery
	if k.Told {
		headEvery = p.opts.RelayedHeadEvery
	}
	for _, id := range k.Targets.Heads() {
		out[id] = pace{headEvery, forRequests}
	}
	for id, every := range p.wanted {
		if have, ok := out[id]; ok && have.every <= every {
			continue
		}
		why := forPlanner
		if every <= p.opts.FastEvery {
			why = forOrder
		}
		out[id] = pace{every, why}
	}
	p.verify(k, out)
	// A member that has failed a probe is followed until it answers.
	for id := range p.lastAt {
		vm := k.VMs.Get(id)
		if vm == nil {
			delete(p.lastAt, id)
			continue
		}
		if _, ok := out[id]; !ok && vm.FailedProbes > 0 && vm.Listed {
			out[id] = pace{p.opts.HeadEvery << min(vm.FailedProbes/quickRetries, doubtDoublings), inDoubt}
		}
	}
	return out
}

// verify adds the VMs of groups at which requests of some node make no
// progress. One node of each data centre verifies them for the others there,
// and the holder of the lease for its own decisions. p.mu is held.
func (p *Prober) verify(k LockedState, out map[string]pace) {
	if k.ToldAtHome && len(p.wanted) == 0 {
		return
	}
	var vms []string
	for _, s := range k.Suspects.ForAnswer(k.Now) {
		vms = append(vms, k.Targets.Members(s.VM)...)
	}
	every := max(p.opts.VerifyEvery, Interval(len(vms), p.opts.VerifyPerSecond))
	for _, id := range vms {
		if have, ok := out[id]; !ok || have.every > every {
			out[id] = pace{every, forStalled}
		}
	}
}

func (p *Prober) probe(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	sent := p.state.now()
	report, err := p.engines.Report(ctx, t.address, t.id)
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	telemetry.Counter(p.opts.Metrics, "probes_total", "for", t.why, "outcome", outcome).Inc(1)
	var asked *fleet.PausedError
	p.state.Locked(func(k LockedState) {
		late := k.Now.Sub(sent) > 2*p.opts.Timeout // this node itself stood still
		switch {
		case err == nil:
			k.VMs.ApplyReport(k.Now, sent, t.id, report)
		case errors.As(err, &asked):
			p.state.log.Info("endpoint wants no probes", "endpoint", t.id, "for", asked.For)
		case !late && ctx.Err() != context.Canceled:
			k.VMs.RecordProbeFailure(sent, t.id)
			p.state.log.Info("probe failed", "endpoint", t.id, "error", err.Error())
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, t.id)
	if asked != nil {
		p.paused[t.id] = probePause{born: t.born, until: p.state.now().Add(min(asked.For, fleet.MaxPause))}
	}
}

// isPaused reports whether a VM wants no probes now. mu is held.
func (p *Prober) isPaused(now time.Time, vm *fleet.VM) bool {
	pause, ok := p.paused[vm.ID]
	if ok && (pause.born != vm.Born || !now.Before(pause.until)) {
		delete(p.paused, vm.ID)
		return false
	}
	return ok
}
