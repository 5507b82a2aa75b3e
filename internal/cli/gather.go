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

// maxCalls bounds the nodes that are asked at a time.
const maxCalls = 16

// view is the status of the whole system, put together from the nodes' own.
type view struct {
	operator.Status
	// Silent are the nodes that are up by what others hear and whose own
	// status could not be read, so that their requests are not counted.
	Silent []string
}

// gather asks every node that it can reach. Each knows its own requests in
// flight, and a coordinator the VMs of its data centre.
func (c *operatorClient) gather(ctx context.Context) (view, error) {
	first, err := c.status(ctx)
	if err != nil {
		return view{}, err
	}
	statuses := append([]operator.Status{first}, askAll[operator.Status](ctx, c, c.others(first), operator.StatusPath)...)
	return merge(statuses), nil
}

// askAll reads a path from many addresses and returns the answers there are.
func askAll[T any](ctx context.Context, c *operatorClient, addresses []string, path string) []T {
	var mu sync.Mutex
	var answers []T
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
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

// findRequest returns the account of the node that a request came to, or
// else of one that it was forwarded to.
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
	for _, e := range askAll[operator.RequestExplanation](ctx, c, c.others(status), path) {
		if !e.Forwarded {
			return e, nil
		}
		if err != nil {
			first, err = e, nil
		}
	}
	return first, err
}

// others are the addresses beside the one that has answered.
func (c *operatorClient) others(first operator.Status) []string {
	addresses := slices.Clone(c.addresses)
	for _, n := range first.Nodes {
		if n.Operators != "" && n.VM != first.Node {
			addresses = append(addresses, n.Operators)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == c.answering })
}

// merge puts the statuses of several nodes together; the first leads.
func merge(statuses []operator.Status) view {
	byNode := map[string]operator.Status{}
	for _, s := range statuses {
		byNode[s.Node] = s
	}
	v := view{Status: statuses[0]}
	v.Nodes = slices.Clone(v.Nodes)
	v.DataCentres = slices.Clone(v.DataCentres)
	for i, n := range v.Nodes {
		own, ok := byNode[n.VM]
		switch {
		case ok:
			v.Nodes[i] = ownEntry(own, n)
		case n.LastHeard < lostAfter:
			v.Silent = append(v.Silent, n.VM)
		}
	}
	for i, dc := range v.DataCentres {
		v.DataCentres[i] = withLoad(bestView(dc, statuses), byNode)
	}
	return v
}

// ownEntry is a node's account of itself, as long ago heard of as by others.
func ownEntry(own operator.Status, heard operator.Node) operator.Node {
	for _, n := range own.Nodes {
		if n.VM == own.Node {
			n.LastHeard = heard.LastHeard
			return n
		}
	}
	return heard
}

// bestView is the section of the data centre's coordinator, or else of one
// of its nodes, or else the given one.
func bestView(dc operator.DataCentre, statuses []operator.Status) operator.DataCentre {
	best, rank := dc, 0
	for _, s := range statuses {
		i := slices.IndexFunc(s.DataCentres, func(d operator.DataCentre) bool { return d.Name == dc.Name })
		if i < 0 {
			continue
		}
		section := s.DataCentres[i]
		r := 0
		switch {
		case section.Coordinator == s.Node:
			r = 2
		case dataCentreOf(s) == dc.Name:
			r = 1
		}
		if r > rank || r == rank && r > 0 && section.Term > best.Term {
			best, rank = section, r
		}
	}
	return best
}

// dataCentreOf is the data centre of the node that answered.
func dataCentreOf(s operator.Status) string {
	for _, n := range s.Nodes {
		if n.VM == s.Node {
			return n.DataCentre
		}
	}
	return ""
}

// demand is the requests in flight at an endpoint and what it may take.
type demand struct{ inFlight, limit int }

func (d demand) plus(inFlight, limit int) demand {
	return demand{inFlight: d.inFlight + inFlight, limit: d.limit + limit}
}

// withLoad replaces the requests in flight and the limits by the sums over
// all nodes, and adds groups at which only another node still has requests.
func withLoad(dc operator.DataCentre, statuses map[string]operator.Status) operator.DataCentre {
	sums := map[string]demand{}
	dc.Groups = slices.Clone(dc.Groups)
	for _, node := range slices.Sorted(maps.Keys(statuses)) {
		for _, section := range statuses[node].DataCentres {
			if section.Name == dc.Name {
				addLoad(sums, section)
				dc.Groups = append(dc.Groups, busyGroups(section, dc.Groups)...)
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

// busyGroups are the groups of a section with requests that are not known.
func busyGroups(section operator.DataCentre, known []operator.Group) []operator.Group {
	return slices.DeleteFunc(slices.Clone(section.Groups), func(g operator.Group) bool {
		return g.InFlight == 0 || slices.ContainsFunc(known, func(k operator.Group) bool { return k.Name == g.Name })
	})
}

func addLoad(sums map[string]demand, section operator.DataCentre) {
	for _, g := range section.Groups {
		sums[g.Name] = sums[g.Name].plus(g.InFlight, g.Limit)
	}
	for _, e := range section.Services {
		sums[e.VM] = sums[e.VM].plus(e.InFlight, e.Limit)
	}
}
