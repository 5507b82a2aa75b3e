package updates

import (
	"encoding/json"
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// TestMain fixes the seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func row(id string, born int64) fleet.Row {
	return fleet.Row{ID: id, Service: "llm", Address: "10.0.0.1:1", State: fleet.State{Born: born, Staged: []string{"m"}}}
}

func TestVMsAfterReturnsChanges(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.VMsAfter(Revision{Version: 0}, true) == nil, "the record is still empty")
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	r.PutVMs(start, VMs{Version: 12, Rows: []fleet.Row{row("b", 2)}})
	r.PutVMs(start, VMs{Version: 14, Removed: []string{"a"}})

	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 10}, true), &VMs{Version: 14, Rows: []fleet.Row{row("b", 2)}, Removed: []string{"a"}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 12}, true), &VMs{Version: 14, Removed: []string{"a"}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 14}, true), &VMs{Version: 14})
	assert.Assert(t, r.VMsAfter(Revision{Version: 15}, true) == nil, "the requester has a newer version")
}

// A requester with a version from before the first read may have missed
// removals, so it must get the whole list.
func TestVMsAfterOldVersionReturnsAll(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 9}, true), &VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 11, Removed: []string{"a"}})
	r.PutVMs(start.Add(2*removalRetention), VMs{Version: 20})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 10}, true), &VMs{Version: 20, Whole: true}) // the removal is no longer kept
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 11}, true), &VMs{Version: 20})
}

// A VM that was added and removed between two reads was never in this record,
// but the requester may have it.
func TestRemovalOfUnknownVMIsReturned(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true})
	r.PutVMs(start, VMs{Version: 14, Removed: []string{"b"}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 12}, true), &VMs{Version: 14, Removed: []string{"b"}})
	r.PutVMs(start, VMs{Version: 20, Whole: true})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 16}, true), &VMs{Version: 20, Whole: true, Removed: []string{"b"}})
}

func TestUnchangedRowsAreNotReturned(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 11, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 10}, true), &VMs{Version: 11})
	r.PutVMs(start, VMs{Version: 12, Removed: []string{"a"}})
	r.PutVMs(start, VMs{Version: 13, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 12}, true), &VMs{Version: 13, Rows: []fleet.Row{row("a", 1)}}) // it is listed again
}

// A row that changed and changed back is unchanged for this record's own
// followers, but not for a node that saw the content in between.
func TestRevertedRowIsReturnedToOthers(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 12, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 11}, false), &VMs{Version: 12, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 11}, true), &VMs{Version: 12})
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	r := NewRecord()
	_, ok := r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 2)}})
	assert.Assert(t, ok)
	_, ok = r.PutVMs(start, VMs{Version: 9, Whole: true})
	assert.Assert(t, !ok)
	assert.DeepEqual(t, r.VMsAfter(Revision{Version: 0}, true).Rows, []fleet.Row{row("a", 2)})

	assert.Assert(t, r.PutOperators(start, Operators{Version: 10, Whole: true, Evacuated: map[string]bool{"dc": true}}))
	assert.Assert(t, !r.PutOperators(start, Operators{Version: 9, Whole: true}))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"dc": true})
}

func TestCatalogIsReturnedOnce(t *testing.T) {
	r := NewRecord()
	cat := catalog.New(3, []catalog.Route{{Name: "r", Host: "h", Prefix: "/"}}, []catalog.Service{{Name: "s"}},
		catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"key"}}), catalog.Limits{MaxBodyBytes: 7})
	r.PutOperators(start, Operators{Version: 10, Whole: true, Catalog: cat})
	r.PutOperators(start, Operators{Version: 12, Evacuated: map[string]bool{"a": true, "b": true}})
	r.PutOperators(start, Operators{Version: 13, Evacuated: map[string]bool{"a": false}})
	r.PutOperators(start, Operators{Version: 14, Catalog: catalog.New(2, nil, nil, catalog.Accounts{}, catalog.Limits{})})

	got := r.OperatorsAfter(Position{Operators: Revision{Version: 9}})
	assert.DeepEqual(t, got.Evacuated, map[string]bool{"b": true})
	assert.Equal(t, r.OperatorsAfter(Position{Operators: Revision{Version: 10}, CatalogVersion: 3}).Catalog, (*catalog.Catalog)(nil))

	raw, err := json.Marshal(got)
	assert.NilError(t, err)
	var back Operators
	assert.NilError(t, json.Unmarshal(raw, &back))
	assert.Equal(t, back.Catalog.Version, int64(3), "an older version never replaces a newer one")
	assert.Equal(t, back.Catalog.Match("h", "/x").Name, "r")
	assert.Equal(t, back.Catalog.Account("key").Name, "acc")
	assert.Assert(t, back.Catalog.Service("s") != nil)
	assert.Equal(t, back.Catalog.Limits.MaxBodyBytes, int64(7))
}

// fakePlatform is the platform's table with the version of each change.
type fakePlatform struct {
	era     uint64
	version uint64
	rows    map[string]fleet.Row
	changed map[string]uint64
}

// read returns the platform's answer to a read. Changes after a revision of an
// earlier era are not known, so that all rows are read.
func (p *fakePlatform) read(after Revision) VMs {
	if after.Era != p.era {
		after = Revision{}
	}
	u := VMs{Era: p.era, Version: p.version, Whole: after.Version == 0}
	for id, at := range p.changed {
		if at <= after.Version {
			continue
		}
		if row, ok := p.rows[id]; ok {
			u.Rows = append(u.Rows, row)
		} else if !u.Whole {
			u.Removed = append(u.Removed, id)
		}
	}
	return u
}

// fakeNode applies updates to its rows as entry.State does.
type fakeNode struct {
	record *Record
	rows   map[string]fleet.Row
}

func (n *fakeNode) apply(now time.Time, u *VMs) {
	if u == nil {
		return
	}
	apply, ok := n.record.PutVMs(now, *u)
	if !ok {
		return
	}
	n.applyRows(apply)
}

func (n *fakeNode) applyRows(u VMs) {
	if u.Whole {
		clear(n.rows)
	}
	for _, row := range u.Rows {
		n.rows[row.ID] = row
	}
	for _, id := range u.Removed {
		delete(n.rows, id)
	}
}

// platformSource stands for the platform in place of a node's index.
const platformSource = -1

// origin is the node that sent the last update, and the revision of it.
type origin struct {
	node int
	rev  Revision
}

// delivery is an update on its way to a node.
type delivery struct {
	to, from int // from is platformSource for the platform
	update   *VMs
}

// simulation runs three nodes that follow one platform.
type simulation struct {
	platform *fakePlatform
	history  map[uint64]map[string]int64 // what the platform listed at each version
	nodes    []*fakeNode
	origins  []origin
	inFlight []delivery
	now      time.Time
}

func newSimulation() *simulation {
	s := &simulation{
		platform: &fakePlatform{version: 1, rows: map[string]fleet.Row{}, changed: map[string]uint64{}},
		history:  map[uint64]map[string]int64{}, origins: make([]origin, 3), now: start,
	}
	for range 3 {
		s.nodes = append(s.nodes, &fakeNode{record: NewRecord(), rows: map[string]fleet.Row{}})
	}
	s.recordHistory()
	return s
}

// bornByVM returns the rows' start times, by VM.
func bornByVM(rows map[string]fleet.Row) map[string]int64 {
	out := map[string]int64{}
	for id, row := range rows {
		out[id] = row.Born
	}
	return out
}

// copy returns a copy of the platform.
func (p *fakePlatform) copy() *fakePlatform {
	return &fakePlatform{p.era, p.version, maps.Clone(p.rows), maps.Clone(p.changed)}
}

// restore makes the platform come back from a copy.
func (s *simulation) restore(from *fakePlatform) {
	era := s.platform.era + 1
	s.platform = from.copy()
	s.platform.era = era
}

// settle lets the time pass after which the copies count.
func (s *simulation) settle() {
	for range 2 {
		s.now = s.now.Add(rewriteGrace)
		for _, n := range s.nodes {
			changes, _ := n.record.Settle(s.now)
			n.applyRows(changes)
		}
	}
}

func (s *simulation) recordHistory() { s.history[s.platform.version] = bornByVM(s.platform.rows) }

// setVM lists a VM with a start time, or removes it if that is 0.
func (s *simulation) setVM(id string, born int64) {
	p := s.platform
	if _, ok := p.rows[id]; born == 0 && !ok {
		return
	}
	p.version++
	p.rows[id] = row(id, born)
	if born == 0 {
		delete(p.rows, id)
	}
	p.changed[id] = p.version
	s.recordHistory()
}

func (s *simulation) read(i int) {
	u := s.platform.read(s.nodes[i].record.Position().VMs)
	s.inFlight = append(s.inFlight, delivery{i, platformSource, &u})
}

func (s *simulation) request(i, other int) {
	rev := s.nodes[i].record.Position().VMs
	u := s.nodes[other].record.VMsAfter(rev, s.origins[i] == origin{other, rev})
	s.inFlight = append(s.inFlight, delivery{i, other, u})
}

func (s *simulation) deliver(index int) {
	d := s.inFlight[index]
	s.inFlight = append(s.inFlight[:index], s.inFlight[index+1:]...)
	s.nodes[d.to].apply(s.now, d.update)
	if d.from != platformSource && d.update != nil {
		s.origins[d.to] = origin{d.from, d.update.Revision()}
	}
}

func (s *simulation) step(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
	i := rapid.IntRange(0, 2).Draw(t, "node")
	switch rapid.SampledFrom([]string{"change", "change", "read", "ask", "deliver"}).Draw(t, "step") {
	case "change":
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
		s.setVM(id, int64(rapid.IntRange(0, 2).Draw(t, "born")))
	case "read":
		s.read(i)
	case "ask":
		s.request(i, (i+1)%3)
	case "deliver":
		if len(s.inFlight) > 0 {
			s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "answer"))
		}
	}
}

// Nodes read from the platform and from each other in any order, with delayed
// answers. Each must contain what the platform listed at the node's version.
func TestRecordsMatchPlatformHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step(t)
			for _, n := range s.nodes {
				if version := n.record.Position().VMs.Version; version > 0 {
					assert.DeepEqual(t, bornByVM(n.rows), s.history[version])
				}
			}
		}
	})
}
