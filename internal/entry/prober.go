package entry

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Engines fetches reports from endpoint VMs that run models.
type Engines interface {
	// Report returns the report of the VM with the given ID and address. It
	// returns an error if another VM answers there.
	Report(ctx context.Context, address, id string) (fleet.Report, error)
	// Warmth returns the answer to a question for the warmth of a VM. It returns an
	// error if the answer doesn't say or another VM answers there.
	Warmth(ctx context.Context, q dispatch.WarmthQuestion) (fleet.Warmth, error)
}

// ProbeOptions configure a Prober.
type ProbeOptions struct {
	// HeadEvery is the interval between probes of a group's head to which this
	// node sends requests.
	HeadEvery time.Duration
	// RelayedHeadEvery replaces HeadEvery while a peer provides reports: a head
	// is probed when its latest report reaches this age.
	RelayedHeadEvery time.Duration
	// FastEvery is the interval between probes of a VM whose last probe failed.
	FastEvery time.Duration
	// VerifyEvery is the minimum interval between probes of the VMs of a group
	// at which requests make no progress. VerifyPerSecond limits these probes
	// over all groups, and likewise fast probes of VMs whose last probe failed:
	// if very many VMs stall or fail at once, the cause is not the loss of these
	// VMs.
	VerifyEvery     time.Duration
	VerifyPerSecond int
	// Timeout limits the duration of a probe.
	Timeout time.Duration
	// The members of a group are probed once none of its requests has made
	// progress for StalledAfter, provided that one of them made progress before
	// or has waited StalledFirst for its first. A single request without
	// progress is ended after SilentAfter, or after FirstAfter if it never made
	// any.
	StalledAfter, StalledFirst, SilentAfter, FirstAfter time.Duration
	Metrics                                             metrics.Registry
}

// Prober probes the VMs that this node depends on, so that their reports stay
// recent.
type Prober struct {
	opts    ProbeOptions
	state   *State
	engines Engines

	mu sync.Mutex
	// coordinatorIntervals is the probe interval requested by the coordinator,
	// by VM.
	coordinatorIntervals map[string]time.Duration
	running              map[string]bool
	lastProbeAt          map[string]time.Time
	// paused contains the VMs that asked for a pause in probes.
	paused map[string]probePause
	// warmthAskedAt is when each endpoint that may be cold was last asked.
	warmthAskedAt map[string]time.Time
}

// probePause is a pause in probes requested by the VM start identified by born.
type probePause struct {
	born  int64
	until time.Time
}

// NewProber returns a prober for the VMs of the given state.
func NewProber(opts ProbeOptions, state *State, engines Engines) *Prober {
	return &Prober{
		opts: opts, state: state, engines: engines,
		coordinatorIntervals: make(map[string]time.Duration), running: make(map[string]bool),
		lastProbeAt: make(map[string]time.Time), paused: make(map[string]probePause),
	}
}

// SetIntervals replaces the probe intervals requested by the coordinator, by VM.
func (p *Prober) SetIntervals(intervals map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coordinatorIntervals = intervals
}

// Reasons for probes, used as values of the metric label "for".
const (
	reasonHead    = "head"    // this node sends requests to the VM
	reasonPlanned = "planned" // the lease holder needs a recent report
	reasonAwaited = "awaited" // the lease holder awaits the effect of an order
	reasonDoubt   = "doubt"   // the last probe failed
	reasonStalled = "stalled" // requests at the VM's group make no progress
	reasonBroken  = "broken"  // the VM's group broke off requests
)

// schedule is the interval between probes of a VM and the reason for them.
type schedule struct {
	interval time.Duration
	reason   string
}

// dueProbe is a probe that is due.
type dueProbe struct {
	id, address string
	born        int64
	reason      string
}

// Tick starts the probes that are due. It cancels the requests whose targets are
// certainly lost, and passes on doubts about others.
func (p *Prober) Tick(ctx context.Context, losses []dispatch.Loss) {
	p.state.Locked(func(st LockedState) {
		losses = append(losses, st.Targets.Silent(st.Now, p.opts.SilentAfter, p.opts.FirstAfter)...)
		st.Suspects.AddOwn(st.Now, st.Targets.Stalled(st.Now, p.opts.StalledAfter, p.opts.StalledFirst))
	})
	for _, l := range losses {
		if l.Reason.IsCertain() {
			l.Ticket.Cancel(l.Reason)
			continue
		}
		l.Ticket.Doubt(l.Reason)
	}
	for _, t := range p.takeDue() {
		go p.probe(ctx, t)
	}
	p.askWarmth(ctx)
}

// takeDue returns the probes that are due and marks them as running.
func (p *Prober) takeDue() []dueProbe {
	var out []dueProbe
	p.state.Locked(func(st LockedState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		schedules := p.schedules(st)
		retryInterval := p.retryInterval(st, schedules)
		for id, sched := range schedules {
			interval := sched.interval
			vm := st.VMs.Get(id)
			if vm == nil || vm.Address == "" || p.running[id] || p.isPaused(st.Now, vm) {
				continue
			}
			if vm.FailedProbes > 0 && vm.FailedProbes < maxFastRetries {
				interval = min(interval, retryInterval)
				sched.reason = reasonDoubt
			}
			if st.Now.Sub(p.lastProbeAt[id]) < interval || vm.FailedProbes == 0 && st.Now.Sub(vm.ReportedAt) < interval {
				continue
			}
			p.running[id] = true
			p.lastProbeAt[id] = st.Now
			out = append(out, dueProbe{id, vm.Address, vm.Born, sched.reason})
		}
	})
	return out
}

// retryInterval returns the interval between probes of a VM whose last probe failed.
// It grows with the number of such VMs: if very many fail, the network path is
// lost, and each probe yields less information.
func (p *Prober) retryInterval(st LockedState, schedules map[string]schedule) time.Duration {
	failing := 0
	for id := range schedules {
		if vm := st.VMs.Get(id); vm != nil && vm.FailedProbes > 0 {
			failing++
		}
	}
	return max(p.opts.FastEvery, Interval(failing, p.opts.VerifyPerSecond))
}

// Interval returns the interval between probes of each of n VMs at which all of
// them together receive perSecond probes a second.
func Interval(n, perSecond int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(max(1, perSecond))
}

// maxFastRetries is the number of failed probes in a row from which a VM is no
// longer retried at the fast interval. Every maxFastRetries failures also double
// the interval between probes of a VM that is probed only because it fails.
const maxFastRetries = 4

// maxBackoffDoublings is the maximum number of times that the interval between
// probes of a failing VM is doubled.
const maxBackoffDoublings = 2

// schedules returns the schedule of each VM to probe. p.mu must be held.
func (p *Prober) schedules(st LockedState) map[string]schedule {
	out := make(map[string]schedule, len(p.coordinatorIntervals))
	headInterval := p.opts.HeadEvery
	if st.HasPeerUpdates {
		headInterval = p.opts.RelayedHeadEvery
	}
	for _, id := range st.Targets.Heads() {
		out[id] = schedule{headInterval, reasonHead}
	}
	for id, interval := range p.coordinatorIntervals {
		if current, ok := out[id]; ok && current.interval <= interval {
			continue
		}
		reason := reasonPlanned
		if interval <= p.opts.FastEvery {
			reason = reasonAwaited
		}
		out[id] = schedule{interval, reason}
	}
	p.scheduleVerification(st, out)
	// A VM whose last probe failed is probed until it answers.
	for id := range p.lastProbeAt {
		vm := st.VMs.Get(id)
		if vm == nil {
			delete(p.lastProbeAt, id)
			continue
		}
		if _, ok := out[id]; !ok && vm.FailedProbes > 0 && vm.Listed {
			out[id] = schedule{p.opts.HeadEvery << min(vm.FailedProbes/maxFastRetries, maxBackoffDoublings), reasonDoubt}
		}
	}
	return out
}

// scheduleVerification adds probes of the VMs of groups at which requests of any
// node make no progress, or that broke requests off. One node of each data centre runs these probes for the
// others there, and the lease holder runs them for its own decisions. p.mu must
// be held.
func (p *Prober) scheduleVerification(st LockedState, out map[string]schedule) {
	if st.HasLocalPeerUpdates && len(p.coordinatorIntervals) == 0 {
		return
	}
	var vms []string
	for _, s := range st.Suspects.ForAnswer(st.Now) {
		vms = append(vms, st.Targets.Members(s.VM)...)
	}
	p.scheduleEach(out, vms, p.opts.VerifyEvery, reasonStalled)
	// Plain servers give no reports: whether they have ended shows when they are sent
	// the next request.
	broken := slices.DeleteFunc(st.Quarantine.Unconfirmed(), func(id string) bool {
		vm := st.VMs.Get(id)
		return vm == nil || !vm.Engine
	})
	p.scheduleEach(out, broken, p.opts.FastEvery, reasonBroken)
}

// scheduleEach adds probes of VMs at the given interval, or a longer one if all of
// them would get more than VerifyPerSecond probes a second.
func (p *Prober) scheduleEach(out map[string]schedule, vms []string, interval time.Duration, reason string) {
	interval = max(interval, Interval(len(vms), p.opts.VerifyPerSecond))
	for _, id := range vms {
		if current, ok := out[id]; !ok || current.interval > interval {
			out[id] = schedule{interval, reason}
		}
	}
}

// probe fetches the report of a VM and applies the result.
func (p *Prober) probe(ctx context.Context, t dueProbe) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	sent := p.state.now()
	report, err := p.engines.Report(ctx, t.address, t.id)
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	telemetry.Counter(p.opts.Metrics, "probes_total", "for", t.reason, "outcome", outcome).Inc(1)
	var pause *fleet.PausedError
	p.state.Locked(func(st LockedState) {
		late := st.Now.Sub(sent) > 2*p.opts.Timeout // this node itself was suspended
		switch {
		case err == nil:
			st.VMs.ApplyReport(st.Now, sent, t.id, report)
		case errors.As(err, &pause):
		case !late && ctx.Err() != context.Canceled:
			st.VMs.RecordProbeFailure(sent, t.id)
			if errors.Is(err, syscall.ECONNREFUSED) {
				st.VMs.RecordRefusal(t.id, t.born)
			}
			p.state.log.Info("probe failed", "endpoint", t.id, "error", err.Error())
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, t.id)
	if pause != nil {
		p.pause(pause, t.born)
	}
}

// pause records that a start of a VM has asked for a pause in probes. p.mu must be held.
func (p *Prober) pause(e *fleet.PausedError, born int64) {
	p.state.log.Info("endpoint wants no probes", "endpoint", e.VM, "for", e.For)
	p.paused[e.VM] = probePause{born: born, until: p.state.now().Add(min(e.For, fleet.MaxPause))}
}

// isPaused reports whether a VM has asked for a pause that is still in effect.
// p.mu must be held.
func (p *Prober) isPaused(now time.Time, vm *fleet.VM) bool {
	pause, ok := p.paused[vm.ID]
	if ok && (pause.born != vm.Born || !now.Before(pause.until)) {
		delete(p.paused, vm.ID)
		return false
	}
	return ok
}
