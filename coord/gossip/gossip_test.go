package gossip

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const expiry = 3 * time.Second

func newTable(vm, dataCentre, incarnation string) *Table {
	return New(Options{VM: vm, DataCentre: dataCentre, Address: vm, Incarnation: incarnation, Fanout: 2, Remote: 1, Expiry: expiry})
}

// pull merges into one table everything that it lacks of another one's nodes.
func pull(now time.Time, to, from *Table) []string {
	view := OwnDataCentre
	if to.opts.DataCentre != from.opts.DataCentre {
		view = OtherDataCentres
	}
	return pullView(now, to, from, view)
}

func pullView(now time.Time, to, from *Table, view View) []string {
	return to.Merge(now, from.opts.VM, from.Delta(to.opts.DataCentre, view, CountersOf(to.KnownVersions(view))))
}

func TestPullGetsOnlyNewerEntries(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newTable("a", "praha", "1"), newTable("b", "praha", "1")
	a.Publish("load", Local, []byte("1"))
	assert.DeepEqual(t, pull(now, b, a), []string{"a"})
	assert.Equal(t, len(pull(now, b, a)), 0)
	a.Tick(now, 0, false)
	delta := a.Delta("praha", OwnDataCentre, CountersOf(b.KnownVersions(OwnDataCentre)))
	assert.Equal(t, len(delta), 1)
	assert.Equal(t, len(delta[0].Entries), 0)
}

func TestLocalEntriesStayInDataCentre(t *testing.T) {
	a, b := newTable("a", "praha", "1"), newTable("b", "brno", "1")
	a.Publish("load", Local, []byte("1"))
	a.Publish("summary", Global, []byte("2"))
	pull(time.Unix(0, 0), b, a)
	n, _ := b.Get("a")
	assert.Assert(t, n.Entry("load") == nil)
	assert.Equal(t, string(n.Entry("summary")), "2")
}

func TestRestartedNodeReplacesOldIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	old, b, c := newTable("a", "praha", "x"), newTable("b", "praha", "1"), newTable("c", "praha", "1")
	for range 10 {
		old.Tick(now, 0, false)
	}
	old.Publish("load", Local, []byte("old"))
	pull(now, b, old)
	pull(now, c, old)
	// The counter of the new process is lower than the last one of the old process.
	pull(now, b, newTable("a", "praha", "k"))
	n, _ := b.Get("a")
	assert.Equal(t, n.Incarnation, "k")
	assert.Assert(t, n.Entry("load") == nil)
	// c still has the old process and must not bring it back.
	pull(now, b, c)
	n, _ = b.Get("a")
	assert.Equal(t, n.Incarnation, "k")
}

func TestStaleIncarnationFromOtherNodeIsIgnored(t *testing.T) {
	now := time.Unix(0, 0)
	b, c := newTable("b", "praha", "1"), newTable("c", "praha", "1")
	second, third := newTable("a", "praha", "second"), newTable("a", "praha", "third")
	pull(now, c, second)
	pull(now, b, third)
	pull(now, b, c)
	n, _ := b.Get("a")
	assert.Equal(t, n.Incarnation, "third")
	// After the expiry of the known incarnation another one is accepted from
	// c. An incarnation reported by the node itself is always accepted.
	later := now.Add(expiry + time.Second)
	pull(later, b, c)
	n, _ = b.Get("a")
	assert.Equal(t, n.Incarnation, "second")
	pull(later, b, third)
	n, _ = b.Get("a")
	assert.Equal(t, n.Incarnation, "third")
}

func TestSilentNodeExpires(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newTable("a", "praha", "1"), newTable("b", "praha", "1")
	pull(now, b, a)
	assert.Equal(t, len(b.Live(now, "praha")), 2)
	// Receiving the same counter again does not make the node live.
	now = now.Add(expiry + time.Nanosecond)
	pull(now, b, a)
	assert.Equal(t, len(b.Live(now, "praha")), 1)
	a.Tick(now, 0, false)
	pull(now, b, a)
	assert.Equal(t, len(b.Live(now, "praha")), 2)
}

func TestSilence(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := newTable("a", "praha", "1"), newTable("b", "praha", "1")
	b.Seed("c", "praha", "c")
	pull(now, b, a)
	now = now.Add(time.Second)
	for vm, want := range map[string]time.Duration{
		"a": time.Second, "b": 0, "c": math.MaxInt64, "unknown": math.MaxInt64,
	} {
		assert.Equal(t, b.Silence(now, vm), want, vm)
	}
}

// TestSpreadInFewRounds checks that a value reaches all nodes of a data centre of
// the size assumed in the design within the number of rounds that fit into 5 s.
func TestSpreadInFewRounds(t *testing.T) {
	const nodes, maxRounds = 32, 9
	now := time.Unix(0, 0)
	tables := map[string]*Table{}
	var names []string
	for i := range nodes {
		name := fmt.Sprintf("e%02d", i)
		names = append(names, name)
		tables[name] = New(Options{VM: name, DataCentre: "praha", Seed: uint64(i), Fanout: 2, Expiry: expiry, Incarnation: "1"})
	}
	for _, tab := range tables {
		for _, name := range names {
			tab.Seed(name, "praha", name)
		}
	}
	tables["e00"].Publish("x", Local, []byte("1"))
	for round := 1; ; round++ {
		assert.Assert(t, round <= maxRounds)
		reached := 0
		for _, name := range names {
			for _, n := range tables[name].Tick(now, 0, false) {
				pull(now, tables[name], tables[n.VM])
			}
			n, _ := tables[name].Get("e00")
			if n.Entry("x") != nil {
				reached++
			}
		}
		if reached == nodes {
			return
		}
	}
}
