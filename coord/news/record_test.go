package news

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// TestMain fixes the seed, so that each run draws the same cases.
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

func TestRecordTellsWhatHasChanged(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.VMsAfter(0, true) == nil, "nothing is known yet")
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	r.PutVMs(start, VMs{Version: 12, Rows: []fleet.Row{row("b", 2)}})
	r.PutVMs(start, VMs{Version: 14, Removed: []string{"a"}})

	assert.DeepEqual(t, r.VMsAfter(10, true), &VMs{Version: 14, Rows: []fleet.Row{row("b", 2)}, Removed: []string{"a"}})
	assert.DeepEqual(t, r.VMsAfter(12, true), &VMs{Version: 14, Removed: []string{"a"}})
	assert.DeepEqual(t, r.VMsAfter(14, true), &VMs{Version: 14})
	assert.Assert(t, r.VMsAfter(15, true) == nil, "the other knows more")
}

// Who comes from before the first read may have missed removals.
func TestRecordTellsTheWholeToThoseFromBefore(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(9, true), &VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 11, Removed: []string{"a"}})
	r.PutVMs(start.Add(2*removedKept), VMs{Version: 20})
	assert.DeepEqual(t, r.VMsAfter(10, true), &VMs{Version: 20, Whole: true}) // the removal is forgotten
	assert.DeepEqual(t, r.VMsAfter(11, true), &VMs{Version: 20})
}

// A VM that came and went between two reads is not known here, but may be to
// one that asks.
func TestRemovalOfAVMThatWasNeverKnownIsTold(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true})
	r.PutVMs(start, VMs{Version: 14, Removed: []string{"b"}})
	assert.DeepEqual(t, r.VMsAfter(12, true), &VMs{Version: 14, Removed: []string{"b"}})
	r.PutVMs(start, VMs{Version: 20, Whole: true})
	assert.DeepEqual(t, r.VMsAfter(16, true), &VMs{Version: 20, Whole: true, Removed: []string{"b"}})
}

func TestUnchangedRowsAreNotTold(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 11, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(10, true), &VMs{Version: 11})
	r.PutVMs(start, VMs{Version: 12, Removed: []string{"a"}})
	r.PutVMs(start, VMs{Version: 13, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(12, true), &VMs{Version: 13, Rows: []fleet.Row{row("a", 1)}}) // it is listed again
}

// A row that changed and changed back is no change, but to one that saw it in
// between.
func TestRowThatChangedBackIsToldToOthers(t *testing.T) {
	r := NewRecord()
	r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	r.PutVMs(start, VMs{Version: 12, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(11, false), &VMs{Version: 12, Rows: []fleet.Row{row("a", 1)}})
	assert.DeepEqual(t, r.VMsAfter(11, true), &VMs{Version: 12})
}

func TestOlderNewsAreIgnored(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.PutVMs(start, VMs{Version: 10, Whole: true, Rows: []fleet.Row{row("a", 2)}}))
	assert.Assert(t, !r.PutVMs(start, VMs{Version: 9, Whole: true}))
	assert.DeepEqual(t, r.VMsAfter(0, true).Rows, []fleet.Row{row("a", 2)})

	assert.Assert(t, r.PutOperators(Operators{Version: 10, Whole: true, Evacuated: map[string]bool{"dc": true}}))
	assert.Assert(t, !r.PutOperators(Operators{Version: 9, Whole: true}))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"dc": true})
}

func TestRecordTellsTheCatalogOnce(t *testing.T) {
	r := NewRecord()
	cat := catalog.New(3, []catalog.Route{{Name: "r", Host: "h", Prefix: "/"}}, []catalog.Service{{Name: "s"}},
		[]catalog.Account{{Name: "acc", Keys: []string{"key"}}}, catalog.Limits{MaxBodyBytes: 7})
	r.PutOperators(Operators{Version: 10, Whole: true, Catalog: cat})
	r.PutOperators(Operators{Version: 12, Evacuated: map[string]bool{"a": true, "b": true}})
	r.PutOperators(Operators{Version: 13, Evacuated: map[string]bool{"a": false}})
	r.PutOperators(Operators{Version: 14, Catalog: catalog.New(2, nil, nil, nil, catalog.Limits{})})

	got := r.OperatorsAfter(9)
	assert.DeepEqual(t, got.Evacuated, map[string]bool{"b": true})
	assert.Equal(t, r.OperatorsAfter(10).Catalog, (*catalog.Catalog)(nil))

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

// platformModel is the platform's table with its whole history.
type platformModel struct {
	version uint64
	rows    map[string]fleet.Row
	changed map[string]uint64
}

// read is what the platform answers.
func (p *platformModel) read(after uint64) VMs {
	n := VMs{Version: p.version, Whole: after == 0}
	for id, at := range p.changed {
		if at <= after {
			continue
		}
		if row, ok := p.rows[id]; ok {
			n.Rows = append(n.Rows, row)
		} else if !n.Whole {
			n.Removed = append(n.Removed, id)
		}
	}
	return n
}

// listing is what a node believes that follows news as entry.State does.
type listing struct {
	record *Record
	rows   map[string]fleet.Row
}

func (l *listing) take(now time.Time, n *VMs) {
	if n == nil || !l.record.PutVMs(now, *n) {
		return
	}
	if n.Whole {
		clear(l.rows)
	}
	for _, row := range n.Rows {
		l.rows[row.ID] = row
	}
	for _, id := range n.Removed {
		delete(l.rows, id)
	}
}

// none stands for the platform among the nodes that tell.
const none = -1

// source is whom a node heard last, and up to which version.
type source struct {
	node    int
	version uint64
}

// answer is news on its way to a node.
type answer struct {
	to, from int // from is none for the platform
	news     *VMs
}

// world is nodes that follow one platform.
type world struct {
	platform *platformModel
	held     map[uint64]map[string]int64 // what the platform held at each version
	nodes    []*listing
	told     []source
	underway []answer
	now      time.Time
}

func newWorld() *world {
	w := &world{
		platform: &platformModel{version: 1, rows: map[string]fleet.Row{}, changed: map[string]uint64{}},
		held:     map[uint64]map[string]int64{}, told: make([]source, 3), now: start,
	}
	for range 3 {
		w.nodes = append(w.nodes, &listing{record: NewRecord(), rows: map[string]fleet.Row{}})
	}
	w.note()
	return w
}

// born is what the rows say, by VM.
func born(rows map[string]fleet.Row) map[string]int64 {
	out := map[string]int64{}
	for id, row := range rows {
		out[id] = row.Born
	}
	return out
}

func (w *world) note() { w.held[w.platform.version] = born(w.platform.rows) }

// change lists a VM, or removes it if it was born at 0.
func (w *world) change(id string, at int64) {
	p := w.platform
	if _, ok := p.rows[id]; at == 0 && !ok {
		return
	}
	p.version++
	p.rows[id] = row(id, at)
	if at == 0 {
		delete(p.rows, id)
	}
	p.changed[id] = p.version
	w.note()
}

func (w *world) read(i int) {
	n := w.platform.read(w.nodes[i].record.Position().VMs)
	w.underway = append(w.underway, answer{i, none, &n})
}

func (w *world) ask(i, other int) {
	at := w.nodes[i].record.Position().VMs
	n := w.nodes[other].record.VMsAfter(at, w.told[i] == source{other, at})
	w.underway = append(w.underway, answer{i, other, n})
}

func (w *world) deliver(at int) {
	a := w.underway[at]
	w.underway = append(w.underway[:at], w.underway[at+1:]...)
	w.nodes[a.to].take(w.now, a.news)
	if a.from != none && a.news != nil {
		w.told[a.to] = source{a.from, a.news.Version}
	}
}

func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
	i := rapid.IntRange(0, 2).Draw(t, "node")
	switch rapid.SampledFrom([]string{"change", "change", "read", "ask", "deliver"}).Draw(t, "step") {
	case "change":
		id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
		w.change(id, int64(rapid.IntRange(0, 2).Draw(t, "born")))
	case "read":
		w.read(i)
	case "ask":
		w.ask(i, (i+1)%3)
	case "deliver":
		if len(w.underway) > 0 {
			w.deliver(rapid.IntRange(0, len(w.underway)-1).Draw(t, "answer"))
		}
	}
}

// Nodes that read from the platform and from each other in any order, with
// answers that arrive late, hold at their version what the platform held then.
func TestRecordsFollowThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
			for _, n := range w.nodes {
				if version := n.record.Position().VMs; version > 0 {
					assert.DeepEqual(t, born(n.rows), w.held[version])
				}
			}
		}
	})
}
