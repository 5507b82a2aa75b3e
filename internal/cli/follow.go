package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// nodeTimeout is the time since a node was last heard of after which commands
// no longer wait for it.
const nodeTimeout = 10 * time.Second

// condition reports whether a status shows the awaited effect. remaining
// describes what is still missing.
type condition func(systemStatus) (done bool, remaining string)

// drainTarget is what is taken out: one or more VMs or a whole data centre.
type drainTarget struct {
	name            string
	vms             []string
	wholeDataCentre bool
}

func (t drainTarget) includes(dataCentre, vm string) bool {
	if t.wholeDataCentre {
		return dataCentre == t.name
	}
	return vm == t.name || slices.Contains(t.vms, vm)
}

// waitFor polls the status until the condition is met and prints what remains
// whenever that changes. It fails after the timeout.
func (a *app) waitFor(ctx context.Context, timeout time.Duration, isMet condition) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	last := ""
	for {
		gathered, err := client.gather(ctx)
		done, remaining := false, fmt.Sprint(err)
		if err == nil {
			done, remaining = isMet(gathered)
		}
		if done {
			a.progress("done")
			return nil
		}
		if remaining != last && ctx.Err() == nil {
			a.progress("%s", remaining)
			last = remaining
		}
		if err := sleep(ctx, a.PollInterval); err != nil {
			return errors.Errorf("not done after %s: %s; the change stays in force, see pimentoshore status", timeout, last)
		}
	}
}

// sleep waits for d or until ctx ends, whose error it then returns.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// configurationApplied is met when every node heard of within nodeTimeout has
// the configuration and, if draining, the target has no requests in flight.
// While a node's own status is unavailable, a drain is not done: the node may
// still have requests in flight.
func configurationApplied(number uint64, target drainTarget, draining bool) condition {
	return func(s systemStatus) (bool, string) {
		behind := 0
		for _, n := range s.Nodes {
			if n.Configuration < number && n.LastHeard < nodeTimeout {
				behind++
			}
		}
		inFlight := 0
		if draining {
			inFlight = requestsInFlight(s.Status, target)
		}
		remaining := fmt.Sprintf("%s: %d requests in flight; %d of %d nodes are behind configuration %d",
			target.name, inFlight, behind, len(s.Nodes), number)
		if draining && len(s.Unreachable) > 0 {
			return false, fmt.Sprintf("%s; no status of its own from %s, name its address with --operators", remaining, strings.Join(s.Unreachable, ", "))
		}
		return behind == 0 && inFlight == 0, remaining
	}
}

// requestsInFlight counts the requests in flight at the groups and services of
// the target.
func requestsInFlight(s operator.Status, target drainTarget) int {
	n := 0
	for _, dc := range s.DataCentres {
		for _, g := range dc.Groups {
			if slices.ContainsFunc(g.Members, func(vm string) bool { return target.includes(dc.Name, vm) }) {
				n += g.InFlight
			}
		}
		for _, e := range dc.Services {
			if target.includes(dc.Name, e.VM) {
				n += e.InFlight
			}
		}
	}
	return n
}

// vmsIdle is met when configurationApplied is met and none of the target's VMs
// is in a group.
func vmsIdle(number uint64, target drainTarget) condition {
	drained := configurationApplied(number, target, true)
	return func(s systemStatus) (bool, string) {
		done, remaining := drained(s)
		for _, dc := range s.DataCentres {
			for _, g := range dc.Groups {
				i := slices.IndexFunc(g.Members, func(vm string) bool { return target.includes(dc.Name, vm) })
				if i >= 0 {
					return false, fmt.Sprintf("%s; %s is still in group %s", remaining, g.Members[i], g.Name)
				}
			}
		}
		return done, remaining
	}
}
