package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startRow(born int64, address string) Row {
	return Row{ID: "i-1", Service: "shop", Address: address, DataCentre: "a", Slots: 4, State: State{Born: born}}
}

// A row of another writer with a start in the far future hid all rows of the VM.
func TestStartInTheFutureHidesLaterRowsForALimitedTime(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable()
	table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
	table.ApplyRow(now, startRow(1<<41, "10.0.0.9:9"))
	now = now.Add(time.Second)
	table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
	table.Sweep(now.Add(earlierStartDelay - time.Millisecond))
	assert.Equal(t, table.Get("i-1").Address, "10.0.0.9:9")
	changes := table.Changes()
	now = now.Add(earlierStartDelay)
	table.Sweep(now)
	vm := table.Get("i-1")
	assert.Equal(t, vm.Address, "10.0.0.1:1")
	assert.Equal(t, vm.Born, int64(100))
	assert.Assert(t, vm.Listed && table.Changes() > changes)
}

// The last row of an earlier start may arrive after the first one of a later start.
func TestLateRowOfAnEarlierStartIsIgnored(t *testing.T) {
	for name, then := range map[string]func(t *Table, now time.Time){
		"a newer row": func(table *Table, now time.Time) { table.ApplyRow(now, startRow(200, "10.0.0.2:2")) },
		"an answer": func(table *Table, now time.Time) {
			table.ApplyReport(now, now, "i-1", Report{State: State{Born: 200}})
		},
		"removal": func(table *Table, now time.Time) { table.Unlist(now, "i-1") },
	} {
		now, table := time.Unix(1000, 0), NewTable()
		table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
		table.ApplyRow(now, startRow(200, "10.0.0.2:2"))
		table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
		then(table, now.Add(time.Second))
		table.Sweep(now.Add(earlierStartDelay + 2*time.Second))
		assert.Equal(t, table.Get("i-1").Born, int64(200), name)
	}
}

// A VM that has answered a probe as a later start keeps it, whatever its row says.
func TestRowOfAnEarlierStartDoesNotReplaceOneThatAnswers(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable()
	table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
	table.ApplyReport(now, now, "i-1", Report{State: State{Born: 200}})
	for range 30 {
		now = now.Add(time.Second)
		table.ApplyRow(now, startRow(100, "10.0.0.1:1"))
		table.Sweep(now)
	}
	assert.Equal(t, table.Get("i-1").Born, int64(200))
}

// Guards against a VM that is gone for good because its clock was set back before it
// registered again: after a removal the next row names the newest start.
func TestVMThatIsListedAgainWithAnEarlierStartIsUsed(t *testing.T) {
	for _, answered := range []bool{false, true} {
		now, table := time.Unix(1000, 0), NewTable()
		table.ApplyRow(now, startRow(200, "10.0.0.1:1"))
		if answered {
			table.ApplyReport(now, now, "i-1", Report{State: State{Born: 200, Model: "m"}})
		}
		table.Unlist(now, "i-1")
		assert.Assert(t, table.ApplyRow(now.Add(time.Second), startRow(100, "10.0.0.2:2")), "it is another start")
		vm := table.Get("i-1")
		assert.Assert(t, vm.Listed)
		assert.Equal(t, vm.Born, int64(100))
		assert.Equal(t, vm.Address, "10.0.0.2:2")
		assert.Equal(t, vm.Model, "", "nothing known of the later start may stay")
	}
}

// Guards against the same if removal and row come in one answer, of which only the row
// is left, while the VM has answered as the later start before.
func TestRowOfAnEarlierStartIsBelievedIfTheLaterOneAnswersNoMore(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable()
	table.ApplyRow(now, startRow(200, "10.0.0.1:1"))
	table.ApplyReport(now, now, "i-1", Report{State: State{Born: 200}})
	now = now.Add(time.Second)
	table.ApplyRow(now, startRow(100, "10.0.0.2:2"))
	table.Sweep(now.Add(earlierStartDelay - time.Millisecond))
	assert.Equal(t, table.Get("i-1").Born, int64(200))
	table.Sweep(now.Add(earlierStartDelay))
	assert.Equal(t, table.Get("i-1").Born, int64(100))
	assert.Assert(t, table.Get("i-1").Listed)
}
