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

// lostAfter is how long a node may be silent before it isn't waited for.
const lostAfter = 10 * time.Second

// condition reads from a status whether an effect is there, and what is
// still to come.
type condition func(view) (done bool, left string)

// target is the VM, VMs or data centre that work leaves.
type target struct {
	name            string
	vms             []string
	wholeDataCentre bool
}

func (t target) holds(dataCentre, vm string) bool {
	if t.wholeDataCentre {
		return dataCentre == t.name
	}
	return vm == t.name || slices.Contains(t.vms, vm)
}

// follow waits for a condition and prints what is left whenever it changes.
func (a *app) follow(ctx context.Context, timeout time.Duration, met condition) error {
	client, err := newOperatorClient(a.access)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	last := ""
	for {
		gathered, err := client.gather(ctx)
		done, left := false, fmt.Sprint(err)
		if err == nil {
			done, left = met(gathered)
		}
		if done {
			a.progress("done")
			return nil
		}
		if left != last && ctx.Err() == nil {
			a.progress("%s", left)
			last = left
		}
		if err := pause(ctx, a.PollInterval); err != nil {
			return errors.Errorf("not done after %s: %s; the change stays in force, look at pimentoshore status", timeout, last)
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// inForce is met when every node that is heard of has a configuration and,
// if work leaves, none is left in flight.
func inForce(number uint64, of target, leaves bool) condition {
	return func(s view) (bool, string) {
		behind := 0
		for _, n := range s.Nodes {
			if n.Configuration < number && n.LastHeard < lostAfter {
				behind++
			}
		}
		inFlight := 0
		if leaves {
			inFlight = work(s.Status, of)
		}
		left := fmt.Sprintf("%s: %d requests in flight; %d of %d nodes are behind configuration %d",
			of.name, inFlight, behind, len(s.Nodes), number)
		if leaves && len(s.Silent) > 0 {
			return false, fmt.Sprintf("%s; no status of its own from %s, name it with --operators", left, strings.Join(s.Silent, ", "))
		}
		return behind == 0 && inFlight == 0, left
	}
}

// work counts the requests in flight at the target.
func work(s operator.Status, of target) int {
	n := 0
	for _, dc := range s.DataCentres {
		for _, g := range dc.Groups {
			if slices.ContainsFunc(g.Members, func(vm string) bool { return of.holds(dc.Name, vm) }) {
				n += g.InFlight
			}
		}
		for _, e := range dc.Services {
			if of.holds(dc.Name, e.VM) {
				n += e.InFlight
			}
		}
	}
	return n
}

// leftGroups is met when inForce is and none of the VMs is in a group.
func leftGroups(number uint64, of target) condition {
	drained := inForce(number, of, true)
	return func(s view) (bool, string) {
		done, left := drained(s)
		for _, dc := range s.DataCentres {
			for _, g := range dc.Groups {
				i := slices.IndexFunc(g.Members, func(vm string) bool { return of.holds(dc.Name, vm) })
				if i >= 0 {
					return false, fmt.Sprintf("%s; %s is still in group %s", left, g.Members[i], g.Name)
				}
			}
		}
		return done, left
	}
}
