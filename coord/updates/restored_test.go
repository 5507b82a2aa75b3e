package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

func draining(r fleet.Row) fleet.Row {
	r.Draining = true
	return r
}

// put applies an update to a record, which must not be older.
func put(t *testing.T, r *Record, now time.Time, u VMs) VMs {
	t.Helper()
	apply, ok := r.PutVMs(now, u)
	assert.Assert(t, ok)
	return apply
}

// Guards against a record that waits for versions which the store gives out again.
func TestListOfNewEraIsApplied(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 300, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	put(t, r, start, VMs{Era: 2, Version: 250, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	assert.Equal(t, r.Position().VMs, Revision{2, 250})
	apply := put(t, r, start, VMs{Era: 2, Version: 251, Rows: []fleet.Row{row("c", 1)}})
	assert.DeepEqual(t, apply.Rows, []fleet.Row{row("c", 1)})
	_, ok := r.PutVMs(start, VMs{Era: 1, Version: 400, Whole: true})
	assert.Assert(t, !ok, "a read that was sent before the restore")
	assert.Assert(t, r.VMsAfter(Revision{1, 400}, true).Whole)
	assert.Assert(t, r.VMsAfter(Revision{3, 1}, true) == nil)
}

// Guards against changes of a new era that are taken as a continuation of the old one.
func TestChangesOfNewEraNeedItsList(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 300, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	_, ok := r.PutVMs(start, VMs{Era: 2, Version: 310, Rows: []fleet.Row{row("b", 1)}})
	assert.Assert(t, !ok)
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 300, Whole: true}))
	assert.Assert(t, !r.PutOperators(start, Operators{Era: 2, Version: 310}))
}

// Guards against a copy that lists as ready what is draining or has left, and drops
// what registered since.
func TestCopyTakesNothingBackBeforeItIsWrittenAgain(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("leaving", 1), row("left", 1), row("new", 1), row("again", 2)}})
	put(t, r, start, VMs{Era: 1, Version: 12, Rows: []fleet.Row{draining(row("leaving", 1))}, Removed: []string{"left"}})
	apply := put(t, r, start, VMs{Era: 2, Version: 8, Whole: true, Rows: []fleet.Row{row("leaving", 1), row("left", 1), row("again", 1)}})
	assert.Equal(t, len(apply.Rows)+len(apply.Removed), 0)
	assert.Assert(t, !apply.Whole)

	apply, _ = r.Settle(start.Add(RelistGrace - time.Millisecond))
	assert.Equal(t, len(apply.Rows)+len(apply.Removed), 0)
	apply = put(t, r, start, VMs{Era: 2, Version: 9, Rows: []fleet.Row{row("new", 1)}})
	assert.Equal(t, len(apply.Rows), 1, "written again")
	apply, _ = r.Settle(start.Add(RelistGrace))
	assert.DeepEqual(t, apply.Removed, []string{"again"})
	apply, _ = r.Settle(start.Add(rewriteGrace))
	got := map[string]bool{}
	for _, row := range apply.Rows {
		got[row.ID] = row.Draining
	}
	assert.DeepEqual(t, got, map[string]bool{"leaving": true, "left": false, "again": false})
}

// Guards against a departure that is written again but taken for the copy's row.
func TestChangeAfterRestoreIsAppliedAtOnce(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	put(t, r, start, VMs{Era: 2, Version: 8, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	apply := put(t, r, start, VMs{Era: 2, Version: 9, Whole: true, Rows: []fleet.Row{draining(row("a", 1))}})
	assert.DeepEqual(t, apply.Rows, []fleet.Row{draining(row("a", 1))})
	assert.DeepEqual(t, apply.Removed, []string{"b"})
}

// Guards against configurations and evacuations that the copy takes back.
func TestCopyTakesNoOperatorsSettingBack(t *testing.T) {
	r := NewRecord()
	newer := catalog.New(5, nil, nil, catalog.Accounts{}, catalog.Limits{})
	older := catalog.New(4, nil, nil, catalog.Accounts{}, catalog.Limits{})
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 9, Whole: true, Evacuated: map[string]bool{"ended": true}}))
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true, Catalog: newer, Evacuated: map[string]bool{"lost": true}}))
	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 8, Whole: true, Catalog: older, Evacuated: map[string]bool{"ended": true}}))
	assert.Equal(t, r.Catalog().Version, int64(5))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"lost": true})

	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 9, Evacuated: map[string]bool{"next": true}}))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"lost": true, "next": true})
	// The whole of another node names the same evacuations as the copy, and one more.
	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 10, Whole: true, Evacuated: map[string]bool{"ended": true, "next": true, "more": true}}))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"lost": true, "next": true, "more": true})
	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 11, Whole: true, Evacuated: map[string]bool{"ended": true, "more": true}}))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"lost": true, "more": true})

	_, changed := r.Settle(start.Add(rewriteGrace))
	assert.Assert(t, changed)
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"ended": true, "more": true})
}

// Stores come back from copies at any time, also twice, and all that VMs wrote is
// written again. Then each node lists what the store lists.
func TestRecordsAgreeWithStoreAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		var copied *fakePlatform
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "copy", "restore"}).Draw(t, "what") {
			case "copy":
				copied = s.platform.copy()
			case "restore":
				if copied != nil {
					s.restore(copied)
				}
			default:
				s.step(t)
			}
		}
		for id, r := range s.platform.rows {
			s.setVM(id, r.Born) // written again
		}
		s.inFlight = nil
		for i := range s.nodes {
			s.read(i)
			s.deliver(0)
		}
		s.settle()
		for i, n := range s.nodes {
			s.read(i)
			s.deliver(0)
			assert.DeepEqual(t, bornByVM(n.rows), bornByVM(s.platform.rows))
		}
	})
}
