package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// SetReturnedAt sets the function that returns the latest time at which a data centre
// may have been taken back after an evacuation. Its endpoints may be cold then.
func (t *Table) SetReturnedAt(f func(dataCentre string) time.Time) { t.returnedAt = f }

// unknownWarmthUntil returns until when a VM may be cold without having said so: one
// that can't reach the platform may have become cold while its data centre was
// evacuated. The result is zero if the VM has said since that it is warm or for how
// long it is cold, or at most its cold time before for how long it is cold.
func (t *Table) unknownWarmthUntil(vm *fleet.VM) time.Time {
	svc := t.catalog.Service(vm.Service)
	if svc == nil || t.returnedAt == nil {
		return time.Time{}
	}
	returnedAt := t.returnedAt(vm.DataCentre)
	if !vm.WarmSaidAt.Before(returnedAt) || !vm.ColdSaidAt.Before(returnedAt.Add(-svc.ColdTime)) {
		return time.Time{}
	}
	return returnedAt.Add(svc.ColdTime)
}

// WarmthQuestion asks an endpoint whether it is cold.
type WarmthQuestion struct {
	VM, Address string
	Born        int64
	// Path is the path of the question.
	Path string
}

// UnknownWarmth returns the questions to the endpoints that requests may go to and that
// may be cold. The nodes that have a share of such an endpoint's rate ask.
func (t *Table) UnknownWarmth(now time.Time) []WarmthQuestion {
	var out []WarmthQuestion
	for key, pool := range t.pools {
		svc := t.catalog.Service(key.service)
		if svc == nil || svc.HealthPath == "" || svc.ColdPerSecond <= 0 {
			continue
		}
		for _, target := range pool {
			if now.Before(target.unknownWarmthUntil) && t.coldShare(now, target.ID, t.usableColdRate(svc)) > 0 {
				out = append(out, WarmthQuestion{VM: target.ID, Address: target.Address, Born: target.Born, Path: svc.HealthPath})
			}
		}
	}
	return out
}
