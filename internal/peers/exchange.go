package peers

import (
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

// encodeSeen writes what a node knows without naming the processes.
func encodeSeen(vm, dataCentre string, view gossip.View, known []gossip.ProcessVersion) *peerspb.ExchangeRequest {
	req := &peerspb.ExchangeRequest{Vm: vm, DataCentre: dataCentre, View: uint32(view), List: gossip.HashProcesses(known)}
	for _, s := range known {
		req.Versions = append(req.Versions, s.Version)
	}
	return req
}

// name adds the processes to a request whose list the receiver does not know.
func name(req *peerspb.ExchangeRequest, known []gossip.ProcessVersion) {
	req.List = 0
	for _, s := range known {
		req.Processes = append(req.Processes, s.ProcessID())
	}
}

// resolve fills in the processes of a request that only lists them from the
// receiver's own view. It reports false if that has other ones.
func resolve(req *peerspb.ExchangeRequest, own []gossip.ProcessVersion) bool {
	if len(req.Processes) > 0 || len(req.Versions) == 0 {
		return true
	}
	if req.List != gossip.HashProcesses(own) || len(own) != len(req.Versions) {
		return false
	}
	for _, s := range own {
		req.Processes = append(req.Processes, s.ProcessID())
	}
	return true
}

func decodeCounters(req *peerspb.ExchangeRequest) (gossip.Counters, error) {
	if len(req.Processes) != len(req.Versions) {
		return nil, fmt.Errorf("%d versions of %d processes; send one for each", len(req.Versions), len(req.Processes))
	}
	known := make(gossip.Counters, len(req.Processes))
	for i, process := range req.Processes {
		known[process] = req.Versions[i]
	}
	return known, nil
}

// encodeDelta writes nodes that the request names by their position there. Of
// those whose counter alone has advanced only the advance is written.
func encodeDelta(req *peerspb.ExchangeRequest, delta []gossip.Node) *peerspb.ExchangeResponse {
	position := make(map[uint64]int, len(req.Processes))
	for i, process := range req.Processes {
		position[process] = i
	}
	resp := &peerspb.ExchangeResponse{}
	advanced := make([]uint64, len(req.Processes))
	last := 0
	for _, n := range delta {
		i, known := position[gossip.ProcessVersion{VM: n.VM, Incarnation: n.Incarnation}.ProcessID()]
		if !known {
			resp.States = append(resp.States, encodeNode(n))
			continue
		}
		if n.CounterOnly {
			advanced[i] = n.Version - req.Versions[i]
			last = max(last, i+1)
			continue
		}
		s := encodeNode(n)
		s.Vm, s.Incarnation, s.DataCentre, s.Address = "", "", "", ""
		s.Known = uint32(i + 1)
		resp.States = append(resp.States, s)
	}
	resp.Advanced = advanced[:last]
	return resp
}

func encodeNode(n gossip.Node) *peerspb.NodeState {
	s := &peerspb.NodeState{
		Vm: n.VM, Incarnation: n.Incarnation, DataCentre: n.DataCentre, Address: n.Address,
		Version: n.Version, Configuration: n.Configuration, Stopping: n.Stopping,
	}
	for _, e := range n.Entries {
		s.Entries = append(s.Entries, &peerspb.Entry{Key: e.Key, Value: e.Value, Version: e.Version, Scope: uint32(e.Scope)})
	}
	return s
}

// decodeDelta reads the answer to a request that named the known processes.
func decodeDelta(known []gossip.ProcessVersion, resp *peerspb.ExchangeResponse) []gossip.Node {
	var delta []gossip.Node
	for i, advance := range resp.Advanced {
		if advance > 0 && i < len(known) {
			s := known[i]
			delta = append(delta, gossip.Node{VM: s.VM, Incarnation: s.Incarnation, Version: s.Version + advance, CounterOnly: true})
		}
	}
	for _, s := range resp.States {
		n := decodeNode(s)
		if s.Known > 0 {
			if int(s.Known) > len(known) {
				continue
			}
			n.VM, n.Incarnation = known[s.Known-1].VM, known[s.Known-1].Incarnation
		}
		delta = append(delta, n)
	}
	return delta
}

func decodeNode(s *peerspb.NodeState) gossip.Node {
	n := gossip.Node{
		VM: s.Vm, Incarnation: s.Incarnation, DataCentre: s.DataCentre, Address: s.Address,
		Version: s.Version, Configuration: s.Configuration, Stopping: s.Stopping,
	}
	for _, e := range s.Entries {
		n.Entries = append(n.Entries, gossip.Entry{Key: e.Key, Value: e.Value, Version: e.Version, Scope: gossip.Scope(e.Scope)})
	}
	return n
}
