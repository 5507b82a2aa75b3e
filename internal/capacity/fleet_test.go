package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

const (
	interval     = 500 * time.Millisecond // between exchanges and between probes
	reportTTL    = 2 * time.Second
	groupSize    = 32
	loadEntry    = "load"
	summaryEntry = "summary"
	// Kinds of traffic.
	gossipWithin  = "gossip within a data centre"
	gossipBetween = "gossip between data centres"
	// summaryFactor is the ratio between the intervals after which the load of
	// a data centre and that of a node have changed by enough to be published.
	summaryFactor = 4
)

// node runs the control state machines of one entry VM.
type node struct {
	vm, dataCentre string
	gossip         *gossip.Table
	reports        *probe.Table
	followers      map[string]*probe.Follower
	client         *peers.Client
	server         http.Handler
	probedVMs      []string
	pulledFrom     map[string]bool
	coordinator    bool
	// bytes and calls count, by kind of traffic, the bytes that the node sent
	// and received, and the calls that it made and served.
	bytes map[string]int
	calls map[string]int
	fleet *fleet
}

// Exchange implements peers.Handler.
func (n *node) Exchange(dataCentre string, view gossip.View, known gossip.Counters) []gossip.Node {
	return n.gossip.Delta(dataCentre, view, known)
}

// KnownVersions implements peers.Handler.
func (n *node) KnownVersions(dataCentre string, view gossip.View) []gossip.ProcessVersion {
	return n.gossip.KnownVersionsFrom(dataCentre, view)
}

// Reports implements peers.Handler.
func (n *node) Reports(req probe.Request) probe.Answer { return n.reports.Answer(n.fleet.now, req) }

// ConfigurationSince implements peers.Handler.
func (n *node) ConfigurationSince(uint64) ([]config.Change, *config.Snapshot) { return nil, nil }

// Tell implements peers.Handler.
func (n *node) Tell(context.Context, string, peers.Message) (peers.Message, error) {
	return peers.Message{}, nil
}

// fleet is a system whose nodes exchange their real messages without a network.
// Each call is counted as its bodies plus header bytes.
type fleet struct {
	now    time.Time
	rounds int
	nodes  []*node
	byName map[string]*node
	header int
	caller *node
}

// RoundTrip implements http.RoundTripper. It passes the call to its target and
// counts it at both nodes.
func (f *fleet) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	to := f.byName[req.URL.Host]
	rec := httptest.NewRecorder()
	req.Body = io.NopCloser(bytes.NewReader(body))
	to.server.ServeHTTP(rec, req)
	kind := trafficKind(req.URL.Path, body)
	for _, n := range []*node{f.caller, to} {
		n.bytes[kind] += f.header + len(body) + rec.Body.Len()
		n.calls[kind]++
	}
	return rec.Result(), nil
}

func trafficKind(path string, body []byte) string {
	if !strings.HasSuffix(path, "/Exchange") {
		return "reports"
	}
	var req peerspb.ExchangeRequest
	if proto.Unmarshal(body, &req) == nil && gossip.View(req.View) == gossip.OtherDataCentres {
		return gossipBetween
	}
	return gossipWithin
}

// newFleet returns a system with one data centre for each number of entry VMs.
// The first one also has endpoint VMs, in groups and spare.
func newFleet(header, vms int, entries ...int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), byName: map[string]*node{}, header: header}
	for d, count := range entries {
		for i := range count {
			f.addNode(fmt.Sprintf("d%02d-e%02d", d, i), fmt.Sprintf("d%02d", d), i == count-1)
		}
	}
	for _, n := range f.nodes {
		for i, other := range f.nodes {
			if other.dataCentre == n.dataCentre || i%16 < 2 {
				n.gossip.Seed(other.vm, other.dataCentre, other.vm)
			}
		}
	}
	f.assignProbers("d00", entries[0], vms)
	return f
}

func (f *fleet) addNode(vm, dataCentre string, coordinator bool) {
	t := transport.New(nil)
	t.Transport = f
	n := &node{
		vm: vm, dataCentre: dataCentre, coordinator: coordinator, fleet: f,
		gossip: gossip.New(gossip.Options{
			VM: vm, DataCentre: dataCentre, Address: vm, Incarnation: vm + "-incarnation", Seed: uint64(len(f.nodes)),
			Fanout: 2, Remote: 1, Expiry: 6 * interval,
		}),
		reports:   probe.NewTable(probe.Options{Incarnation: vm, SilentAfter: reportTTL / 2}),
		followers: map[string]*probe.Follower{}, pulledFrom: map[string]bool{},
		client: peers.NewClient(vm, dataCentre, t),
		bytes:  map[string]int{}, calls: map[string]int{},
	}
	n.server = peerspb.NewPeersServer(peers.NewServer(n))
	f.nodes = append(f.nodes, n)
	f.byName[vm] = n
}

// assignProbers assigns the VMs of a data centre to probers as the daemon does.
func (f *fleet) assignProbers(dataCentre string, entries, vms int) {
	var live []string
	for i := range entries {
		live = append(live, fmt.Sprintf("%s-e%02d", dataCentre, i))
	}
	division := probe.Divide(probeEndpoints(dataCentre, vms), live)
	for _, vm := range slices.Sorted(maps.Keys(division)) {
		probers := division[vm]
		first := f.byName[probers[0]]
		first.probedVMs = append(first.probedVMs, vm)
		for _, name := range live {
			n := f.byName[name]
			if n != first && (n.coordinator || slices.Contains(probers, name)) {
				n.pulledFrom[probers[0]] = true
			}
		}
	}
}

// probeEndpoints returns the groups and spare VMs of a data centre as endpoints
// to probe.
func probeEndpoints(dataCentre string, vms int) []probe.Endpoint {
	var out []probe.Endpoint
	for v := range vms {
		vm := fmt.Sprintf("%s-m%03d", dataCentre, v)
		switch {
		case v >= vms/groupSize*groupSize:
			out = append(out, probe.Endpoint{Name: vm, VMs: []string{vm}})
		case v%groupSize == 0:
			out = append(out, probe.Endpoint{Name: fmt.Sprintf("%s/g%02d", dataCentre, v/groupSize), VMs: []string{vm}})
		default:
			last := &out[len(out)-1]
			last.VMs = append(last.VMs, vm)
		}
	}
	return out
}

// run simulates rounds in which every node exchanges gossip, probes its VMs and
// pulls reports.
func (f *fleet) run(rounds int) {
	for range rounds {
		f.now = f.now.Add(interval)
		f.rounds++
		for i, n := range f.nodes {
			f.caller = n
			n.runRound(i)
		}
	}
}

func (n *node) runRound(i int) {
	now := n.fleet.now
	if (i+n.fleet.rounds)%loadRounds == 0 {
		n.gossip.Publish(loadEntry, gossip.Local, encodedLoad(n.fleet.rounds, ""))
	}
	if n.coordinator && (i+n.fleet.rounds)%(loadRounds*summaryFactor) == 0 {
		n.gossip.Publish(summaryEntry, gossip.Global, encodedLoad(n.fleet.rounds, n.vm))
	}
	for _, peer := range n.gossip.Tick(now, 1, false) {
		known := n.gossip.KnownVersions(peer.View)
		if delta, err := n.client.Exchange(context.Background(), peer.Address, peer.View, known); err == nil {
			n.gossip.Merge(now, peer.VM, delta)
		}
	}
	for _, vm := range n.probedVMs {
		n.reports.Observe(now, memberReport(vm))
	}
	for vm := range n.pulledFrom {
		f, ok := n.followers[vm]
		if !ok {
			f = probe.NewFollower()
			n.followers[vm] = f
		}
		req := f.Request()
		if answer, err := n.client.Reports(context.Background(), vm, req); err == nil {
			f.Merge(now, now, req, answer)
		}
	}
}

func encodedLoad(round int, vm string) []byte {
	raw, err := proto.Marshal(&peerspb.Loads{Loads: []*peerspb.Load{
		{Target: "conversation-large", Limit: 256, InFlight: uint32(round % 256), Node: vm},
	}})
	if err != nil {
		panic(err)
	}
	return raw
}

func memberReport(vm string) member.Report {
	return member.Report{
		VM: vm, Incarnation: "1234567890abc", State: member.Ready, Group: vm[:3] + "/g01", Generation: 7,
		Model: "conversation-large", Rank: 3, Fence: member.Fence{Term: 12, Sequence: 345}, InFlight: 9, Completed: 123456,
		StepLatency: 40 * time.Millisecond,
	}
}

// reset sets all counts to zero.
func (f *fleet) reset() {
	for _, n := range f.nodes {
		n.bytes, n.calls = map[string]int{}, map[string]int{}
	}
}

// traffic summarizes what a set of nodes sent and received per second.
type traffic struct {
	mean, highest float64 // bytes per second and node
	byKind        map[string]float64
}

// traffic returns the traffic of the nodes that match, over a number of rounds.
func (f *fleet) traffic(rounds int, matches func(*node) bool) traffic {
	t := traffic{byKind: map[string]float64{}}
	seconds := float64(rounds) * interval.Seconds()
	count := 0.0
	for _, n := range f.nodes {
		if !matches(n) {
			continue
		}
		count++
		sum := 0.0
		for kind, b := range n.bytes {
			sum += float64(b) / seconds
			t.byKind[kind] += float64(b) / seconds
		}
		t.mean += sum
		t.highest = max(t.highest, sum)
	}
	t.mean /= count
	for kind := range t.byKind {
		t.byKind[kind] /= count
	}
	return t
}

// designEntries returns the number of entry VMs in each data centre at the
// design size.
func designEntries() []int {
	entries := make([]int, Design.DataCentres)
	for i := range Design.Nodes {
		entries[i%len(entries)]++
	}
	return entries
}
