package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

const pollInterval = 100 * time.Millisecond

// waitUntil polls until missing returns nothing. If ctx ends first, the error
// lists what was still missing.
func waitUntil(ctx context.Context, missing func(context.Context) []string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		names := missing(ctx)
		if len(names) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("not ready in time: %s", strings.Join(names, "; "))
		case <-ticker.C:
		}
	}
}

// daemonsNotReady describes the daemons whose readiness check fails.
func daemonsNotReady(ctx context.Context, daemons []daemon) []string {
	var names []string
	for _, d := range daemons {
		if err := checkReady(ctx, d.address); err != nil {
			names = append(names, fmt.Sprintf("daemon %s at %s is not ready (%v)", d.vm, d.address, err))
		}
	}
	return names
}

func checkReady(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// incompleteDomains describes the fabric domains that have fewer whole groups,
// according to the engines' own reports, than their VMs allow.
func (s *site) incompleteDomains() []string {
	const wanted = vmsPerDomain / groupSize
	whole := map[string]int{}
	for _, g := range s.readyGroups() {
		if g.ready == groupSize {
			whole[g.domain]++
		}
	}
	var names []string
	for _, vm := range s.document.VMs {
		if vm.Role != inventory.RoleModel || whole[vm.FabricDomain] >= wanted {
			continue
		}
		name := fmt.Sprintf("fabric domain %s has %d of %d whole groups", vm.FabricDomain, whole[vm.FabricDomain], wanted)
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// groupKey identifies one generation of a group.
type groupKey struct {
	name       string
	generation uint64
}

// groupState is the fabric domain of a group and the number of its members that
// report to be ready.
type groupState struct {
	domain string
	ready  int
}

// readyGroups returns the groups of which at least one member reports to be
// ready.
func (s *site) readyGroups() map[groupKey]*groupState {
	groups := map[groupKey]*groupState{}
	for _, vm := range s.document.VMs {
		e, ok := s.engines[vm.Name]
		if !ok {
			continue
		}
		report := e.Report()
		if report.State != member.Ready {
			continue
		}
		key := groupKey{name: report.Group, generation: report.Generation}
		if groups[key] == nil {
			groups[key] = &groupState{domain: vm.FabricDomain}
		}
		groups[key].ready++
	}
	return groups
}
