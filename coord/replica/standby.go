package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// standbyRetryInterval is the minimum time between two orders to a VM to join a
// standby group.
const standbyRetryInterval = 2 * time.Second

// standBy orders free VMs whose hosts have a model's weights to load them into
// their accelerators, by joining a standby group. Such a VM replaces a lost
// member within joinHeldDuration instead of the model's WarmTime, which is most
// of the downtime of the group.
func (p *Planner) standBy(now time.Time) {
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil || p.engine.Model(m.LoadedModel) != nil || !p.isFree(now, m) || now.Sub(m.standbyAt) < standbyRetryInterval {
			continue
		}
		model := p.stagedModel(m)
		if model == "" {
			continue
		}
		m.standbyAt = now
		p.send(now, m, Order{
			Action: Join, Group: fleet.StandbyName(m.ID), Epoch: p.opts.Epochs.next(), Model: model, Members: []string{m.ID},
		})
	}
}

// stagedModel returns a model of the service whose weights a VM's host has, or
// "".
func (p *Planner) stagedModel(m *member) string {
	for _, name := range m.Staged {
		if p.engine.Model(name) != nil {
			return name
		}
	}
	return ""
}

// isWarming reports whether the VM is joining a standby group with weights that
// its host has. It may be ordered to join another group meanwhile.
func (m *member) isWarming() bool {
	return m.IsStandby() && m.Stage == fleet.Joining && len(m.Staged) > 0
}
