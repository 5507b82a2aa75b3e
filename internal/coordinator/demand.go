package coordinator

import (
	"math"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/engineload"
	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// FollowsDemand returns Options.FollowDemand for a value of the setting
// planning.follow_demand.
func FollowsDemand(setting string) func(c *catalog.Catalog, service string) bool {
	return func(c *catalog.Catalog, service string) bool {
		return setting == settings.FollowOn || setting == settings.FollowAuto && c.IsRanked(service)
	}
}

// followDemand sets whether a planner follows the demand under the configuration in
// force, and the requests that it plans for.
func (c *Coordinator) followDemand(p *replica.Planner, svc *catalog.Service, k entry.LockedState) {
	follow := c.opts.FollowDemand != nil && c.opts.FollowDemand(k.Catalog, svc.Name)
	p.SetFollowDemand(follow)
	if follow {
		p.SetWorkloads(workloads(svc, k))
	}
}

// workloads returns the mean requests of each model of a service with the
// objectives of the service's routes.
func workloads(svc *catalog.Service, k entry.LockedState) map[string][]engineload.Workload {
	out := make(map[string][]engineload.Workload, len(svc.Engine.Models))
	routes := k.Catalog.ServiceRoutes(svc.Name)
	for i := range svc.Engine.Models {
		model := svc.Engine.Models[i].Name
		prompt := k.Targets.MeanPromptTokens(svc.Name, model)
		for _, r := range routes {
			w := engineload.Workload{Prompt: prompt}
			if r.Kind == catalog.Stream {
				w.FirstEvent, w.Gap = r.Objective, r.PauseObjective
			}
			out[model] = append(out[model], w)
		}
	}
	return out
}

// reportShares logs and publishes the shares of a service's models after a change.
func (c *Coordinator) reportShares(now time.Time, service string, p *replica.Planner) {
	changes := p.TakeShareChange()
	if changes == nil {
		return
	}
	c.opts.Log.Info("shares of models changed", "service", service, "models", changes, "load_age", p.LoadAge(now).String())
}

// setShareGauges publishes the shares of the work of a service's models.
func (c *Coordinator) setShareGauges(service string, p *replica.Planner) {
	for model, share := range p.Shares() {
		c.setShareGauge(service, model, share)
	}
}

// clearShareGauges sets the shares to 0 on a node that doesn't hold the lease.
func (c *Coordinator) clearShareGauges(service string, p *replica.Planner) {
	for model := range p.Shares() {
		c.setShareGauge(service, model, 0)
	}
}

func (c *Coordinator) setShareGauge(service, model string, share float64) {
	telemetry.Gauge(c.opts.Metrics, "model_share_number", "service", service, "model", model).Update(int64(math.Round(1000 * share)))
}
