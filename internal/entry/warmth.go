package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// warmthInterval is the interval between questions to an endpoint that may be cold.
const warmthInterval = time.Second

// reasonWarmth is a value of the metric label "for": the endpoint may be cold.
const reasonWarmth = "warmth"

// askWarmth asks the endpoints that may be cold whether they are.
func (p *Prober) askWarmth(ctx context.Context) {
	for _, q := range p.takeWarmthQuestions() {
		go p.ask(ctx, q)
	}
}

// takeWarmthQuestions returns the questions that are due and marks them as sent.
func (p *Prober) takeWarmthQuestions() []dispatch.WarmthQuestion {
	var out []dispatch.WarmthQuestion
	p.state.Locked(func(st LockedState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		asked := make(map[string]time.Time)
		for _, q := range st.Targets.UnknownWarmth(st.Now) {
			if vm := st.VMs.Get(q.VM); vm == nil || p.isPaused(st.Now, vm) {
				continue
			}
			asked[q.VM] = p.warmthAskedAt[q.VM]
			if st.Now.Sub(asked[q.VM]) >= warmthInterval {
				asked[q.VM] = st.Now
				out = append(out, q)
			}
		}
		p.warmthAskedAt = asked
	})
	return out
}

// ask asks an endpoint whether it is cold and applies the answer.
func (p *Prober) ask(ctx context.Context, q dispatch.WarmthQuestion) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	sent := p.state.now()
	warmth, err := p.engines.Warmth(ctx, q)
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	telemetry.Counter(p.opts.Metrics, "probes_total", "for", reasonWarmth, "outcome", outcome).Inc(1)
	var pause *fleet.PausedError
	if errors.As(err, &pause) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pause(pause, q.Born)
		return
	}
	if err != nil {
		p.state.log.Info("warmth of an endpoint unknown", "endpoint", q.VM, "error", err.Error())
		return
	}
	p.state.log.Info("warmth of an endpoint", "endpoint", q.VM, "cold_for", warmth.ColdLeft)
	p.state.Locked(func(st LockedState) { st.VMs.ApplyWarmth(st.Now, sent, q.VM, q.Born, warmth) })
}
