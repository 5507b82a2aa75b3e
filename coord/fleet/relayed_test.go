package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRelayedReports(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(born int64, running int) Report {
		return Report{State: State{Born: born}, Load: Load{Running: running}}
	}
	for _, test := range []struct {
		name    string
		before  func(*Table)
		report  Report
		running int
	}{
		{"is taken in", func(*Table) {}, report(5, 3), 3},
		{"of an earlier start is not", func(*Table) {}, report(4, 3), 0},
		{"of a start that no row has told of is not", func(*Table) {}, report(6, 3), 0},
		{"of a VM that doesn't answer this node is not", func(t *Table) { t.RecordProbeFailure(now, "a") }, report(5, 3), 0},
		{"older than this node's own is not", func(t *Table) { t.ApplyReport(now.Add(2*time.Second), now.Add(2*time.Second), "a", report(5, 1)) }, report(5, 3), 1},
	} {
		table := NewTable()
		table.ApplyRow(now, Row{ID: "a", Address: "10.0.0.1:1", State: State{Born: 5}})
		test.before(table)
		failed := table.Get("a").FailedProbes
		table.ApplyRelayed(now.Add(time.Second), now.Add(time.Second), "a", test.report)
		assert.Equal(t, table.Get("a").Running, test.running, test.name)
		assert.Equal(t, table.Get("a").FailedProbes, failed, test.name)
	}
}

// A row that tells of a newer group is newer than any report, also one that
// has just come.
func TestRowOfANewerGroupGoesBeforeReports(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(epoch uint64) State {
		return State{Born: 5, Membership: Membership{Group: "g", Epoch: epoch, Stage: Ready}}
	}
	table := NewTable()
	table.ApplyRow(now, Row{ID: "a", Address: "10.0.0.1:1", State: member(7)})
	table.ApplyReport(now, now, "a", Report{State: member(7)})
	table.ApplyRow(now.Add(time.Millisecond), Row{ID: "a", Address: "10.0.0.1:1", State: member(6)})
	assert.Equal(t, table.Get("a").Epoch, uint64(7))
	table.ApplyRow(now.Add(time.Millisecond), Row{ID: "a", Address: "10.0.0.1:1", State: member(8)})
	assert.Equal(t, table.Get("a").Epoch, uint64(8))
}

// A VM that has left its group by its report, as an old row has not seen yet.
func TestOldRowDoesNotBringALeftGroupBack(t *testing.T) {
	now := time.Unix(1000, 0)
	member := State{Born: 5, Membership: Membership{Group: "g", Epoch: 7, Stage: Ready}}
	table := NewTable()
	table.ApplyRow(now, Row{ID: "a", Address: "10.0.0.1:1", State: member})
	table.ApplyReport(now, now, "a", Report{State: State{Born: 5}})
	table.ApplyRow(now.Add(time.Millisecond), Row{ID: "a", Address: "10.0.0.1:1", State: member})
	assert.Equal(t, table.Get("a").Group, "")
}

// Rows that say the same are not told again: one that came shortly after a
// report holds once the report is old.
func TestRowHoldsOnceTheReportIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	joined := State{Born: 5, Membership: Membership{Group: "g", Epoch: 8, Stage: Ready}}
	table := NewTable()
	table.ApplyRow(now, Row{ID: "a", Address: "10.0.0.1:1", State: State{Born: 5}})
	table.ApplyReport(now, now, "a", Report{State: State{Born: 5, Orders: 3}})
	table.ApplyRow(now.Add(time.Second), Row{ID: "a", Address: "10.0.0.1:1", State: joined})
	table.Sweep(now.Add(reportPreferred))
	assert.Equal(t, table.Get("a").Group, "")
	table.Sweep(now.Add(reportPreferred + time.Millisecond))
	assert.Equal(t, table.Get("a").Group, "g")
	assert.Equal(t, table.Get("a").Orders, uint64(3))

	table.ApplyReport(now.Add(2*time.Second), now.Add(2*time.Second), "a", Report{State: State{Born: 5}})
	table.ApplyRow(now.Add(2*time.Second), Row{ID: "a", Address: "10.0.0.1:1", State: joined})
	table.ApplyReport(now.Add(3*time.Second), now.Add(3*time.Second), "a", Report{State: State{Born: 5}})
	table.Sweep(now.Add(9 * time.Second))
	assert.Equal(t, table.Get("a").Group, "", "a newer report goes before the row")
}
