package cli

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// maxConcurrentCalls bounds the number of nodes that are called at a time.
const maxConcurrentCalls = 16

// systemStatus is the status of the whole system, merged from the statuses of
// its nodes.
type systemStatus struct {
	operator.Status
	// Unreachable lists the nodes that others have heard of within nodeTimeout
	// but whose own status could not be read. Their requests in flight are not
	// counted.
	Unreachable []string
}

// gather reads and merges the statuses of all reachable nodes, since each node
// knows only its own requests in flight, and a data centre's coordinator knows
// its VMs.
func (c *operatorClient) gather(ctx context.Context) (systemStatus, error) {
	first, err := c.status(ctx)
	if err != nil {
		return systemStatus{}, err
	}
	statuses := append([]operator.Status{first}, getAll[operator.Status](ctx, c, c.otherAddresses(first), operator.StatusPath)...)
	return mergeStatuses(statuses), nil
}

// getAll reads a path from all addresses and returns the answers of those that
// succeed, in no particular order.
func getAll[T any](ctx context.Context, c *operatorClient, addresses []string, path string) []T {
	var mu sync.Mutex
	var answers []T
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, address := range addresses {
		calls.Go(func() error {
			var v T
			if _, err := c.call(ctx, http.MethodGet, address, path, &v); err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, v)
			return nil
		})
	}
	_ = calls.Wait()
	return answers
}

// findRequest returns the explanation by the node that received a request from
// its caller, or else by a node that it was forwarded to.
func (c *operatorClient) findRequest(ctx context.Context, path string) (operator.RequestExplanation, error) {
	var first operator.RequestExplanation
	err := c.get(ctx, path, &first)
	if err == nil && !first.Forwarded || err != nil && !problem.Is(err, problem.NotFound) {
		return first, err
	}
	status, statusErr := c.status(ctx)
	if statusErr != nil {
		return first, err
	}
	for _, e := range getAll[operator.RequestExplanation](ctx, c, c.otherAddresses(status), path) {
		if !e.Forwarded {
			return e, nil
		}
		if err != nil {
			first, err = e, nil
		}
	}
	return first, err
}

// otherAddresses returns the addresses of all known nodes, sorted, without the
// one that answered first.
func (c *operatorClient) otherAddresses(first operator.Status) []string {
	addresses := slices.Clone(c.addresses)
	for _, n := range first.Nodes {
		if n.Operators != "" && n.VM != first.Node {
			addresses = append(addresses, n.Operators)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == c.lastAnswered })
}

// mergeStatuses merges the statuses of several nodes. The first one lists the
// nodes and data centres and is used where no better source exists.
func mergeStatuses(statuses []operator.Status) systemStatus {
	byNode := map[string]operator.Status{}
	for _, s := range statuses {
		byNode[s.Node] = s
	}
	v := systemStatus{Status: statuses[0]}
	v.Nodes = slices.Clone(v.Nodes)
	v.DataCentres = slices.Clone(v.DataCentres)
	for i, n := range v.Nodes {
		own, ok := byNode[n.VM]
		switch {
		case ok:
			v.Nodes[i] = selfReportedNode(own, n)
		case n.LastHeard < nodeTimeout:
			v.Unreachable = append(v.Unreachable, n.VM)
		}
	}
	for i, dc := range v.DataCentres {
		v.DataCentres[i] = withTotalLoad(authoritativeSection(dc, statuses), byNode)
	}
	return v
}

// selfReportedNode returns the entry of a node from its own status, with the
// time since it was last heard of by others.
func selfReportedNode(own operator.Status, heard operator.Node) operator.Node {
	for _, n := range own.Nodes {
		if n.VM == own.Node {
			n.LastHeard = heard.LastHeard
			return n
		}
	}
	return heard
}

// authoritativeSection returns the section on a data centre as reported by its
// coordinator, or else by one of its nodes, or else the given one. Of two equal
// sources the one with the higher term is used.
func authoritativeSection(dc operator.DataCentre, statuses []operator.Status) operator.DataCentre {
	best, bestRank := dc, 0
	for _, s := range statuses {
		i := slices.IndexFunc(s.DataCentres, func(d operator.DataCentre) bool { return d.Name == dc.Name })
		if i < 0 {
			continue
		}
		section := s.DataCentres[i]
		rank := 0
		switch {
		case section.Coordinator == s.Node:
			rank = 2
		case dataCentreOf(s) == dc.Name:
			rank = 1
		}
		if rank > bestRank || rank == bestRank && rank > 0 && section.Term > best.Term {
			best, bestRank = section, rank
		}
	}
	return best
}

// dataCentreOf returns the data centre of the node that reported a status, or
// "" if the status does not list that node.
func dataCentreOf(s operator.Status) string {
	for _, n := range s.Nodes {
		if n.VM == s.Node {
			return n.DataCentre
		}
	}
	return ""
}

// loadSum is the sum over nodes of the requests in flight at a group or endpoint
// and of the limits on them.
type loadSum struct{ inFlight, limit int }

func (d loadSum) add(inFlight, limit int) loadSum {
	return loadSum{inFlight: d.inFlight + inFlight, limit: d.limit + limit}
}

// withTotalLoad replaces the requests in flight and the limits of a data centre
// by their sums over all nodes, and adds groups that the data centre's section
// lacks but that still have requests in flight from some node.
func withTotalLoad(dc operator.DataCentre, statuses map[string]operator.Status) operator.DataCentre {
	sums := map[string]loadSum{}
	dc.Groups = slices.Clone(dc.Groups)
	for _, node := range slices.Sorted(maps.Keys(statuses)) {
		for _, section := range statuses[node].DataCentres {
			if section.Name == dc.Name {
				addLoad(sums, section)
				dc.Groups = append(dc.Groups, missingBusyGroups(section, dc.Groups)...)
			}
		}
	}
	for i := range dc.Groups {
		sum := sums[dc.Groups[i].Name]
		dc.Groups[i].InFlight, dc.Groups[i].Limit = sum.inFlight, sum.limit
	}
	dc.Services = slices.Clone(dc.Services)
	for i := range dc.Services {
		sum := sums[dc.Services[i].VM]
		dc.Services[i].InFlight, dc.Services[i].Limit = sum.inFlight, sum.limit
	}
	return dc
}

// missingBusyGroups returns the groups of a section that have requests in
// flight and are not in known.
func missingBusyGroups(section operator.DataCentre, known []operator.Group) []operator.Group {
	return slices.DeleteFunc(slices.Clone(section.Groups), func(g operator.Group) bool {
		return g.InFlight == 0 || slices.ContainsFunc(known, func(k operator.Group) bool { return k.Name == g.Name })
	})
}

// addLoad adds the load of a section's groups and services to sums, by name of
// the group or VM.
func addLoad(sums map[string]loadSum, section operator.DataCentre) {
	for _, g := range section.Groups {
		sums[g.Name] = sums[g.Name].add(g.InFlight, g.Limit)
	}
	for _, e := range section.Services {
		sums[e.VM] = sums[e.VM].add(e.InFlight, e.Limit)
	}
}
