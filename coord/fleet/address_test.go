package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// claimRow is the row of a plain server at the address of all tests in this file.
func claimRow(id, service string, born int64) Row {
	return Row{ID: id, Service: service, Address: "10.0.0.1:1", DataCentre: "a", Slots: 4, State: State{Born: born}}
}

// newClaimTable returns a table with the server i-1 of service desk, which a
// configuration names.
func newClaimTable() *Table {
	t := NewTable()
	t.SetServices(at(0), isDesk)
	t.ApplyRow(at(0), claimRow("i-1", "desk", 100))
	return t
}

func isDesk(service string) bool { return service == "desk" }

func assertHolds(t *testing.T, table *Table, id string, want bool, what string) {
	t.Helper()
	vm := table.Get(id)
	assert.Equal(t, vm.Listed, want, "%s: %s is listed", what, id)
	assert.Equal(t, vm.Address != "", want, "%s: %s has its address", what, id)
}

// Guards against a living server that is unlisted for good by the row of another writer,
// of a service that no configuration names, with the server's address (review/8).
func TestRowOfAnUnnamedServiceClaimsNoAddress(t *testing.T) {
	for name, apply := range map[string]func(*Table){
		"after the server's row": func(table *Table) { table.ApplyRow(at(1), claimRow("x", "ledger", 200)) },
		"written every second": func(table *Table) {
			for s := range 20 {
				table.ApplyRow(at(float64(s)), claimRow("x", "ledger", int64(200+s)))
			}
		},
		"a start that lies ahead": func(table *Table) { table.ApplyRow(at(1), claimRow("x", "ledger", 1<<41)) },
		"dropped again": func(table *Table) {
			table.ApplyRow(at(1), claimRow("x", "ledger", 200))
			table.Unlist(at(2), "x")
		},
	} {
		table := newClaimTable()
		apply(table)
		assertHolds(t, table, "i-1", true, name)
	}
}

// Guards against the same for rows that were there before the node started, when it
// doesn't know a configuration yet.
func TestRowOfAnUnnamedServiceIsFoundOutWithTheConfiguration(t *testing.T) {
	for _, foreignFirst := range []bool{false, true} {
		table := NewTable()
		rows := []Row{claimRow("i-1", "desk", 100), claimRow("x", "ledger", 200)}
		if foreignFirst {
			rows[0], rows[1] = rows[1], rows[0]
		}
		for _, row := range rows {
			table.ApplyRow(at(0), row)
		}
		table.SetServices(at(1), isDesk)
		assertHolds(t, table, "i-1", true, "once services are known")
	}
}

// A service may be named by a later configuration, and no longer by the one after it.
func TestClaimsFollowTheConfiguration(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(1), claimRow("x", "ledger", 200))
	table.SetServices(at(2), func(string) bool { return true })
	assertHolds(t, table, "i-1", false, "ledger is named")
	assertHolds(t, table, "x", true, "ledger is named")
	table.SetServices(at(3), isDesk)
	assertHolds(t, table, "i-1", true, "ledger is no longer named")
}

// The address of a server that has ended belongs to the next one, also while the row of
// the first is still there, and stays with it.
func TestAddressOfAnEndedServerBelongsToTheNext(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(2), claimRow("i-2", "desk", 200))
	assertHolds(t, table, "i-1", false, "claimed")
	assertHolds(t, table, "i-2", true, "claims")
	table.Unlist(at(4), "i-1")
	table.KeepAddresses(at(60), at(60))
	table.Sweep(at(60))
	assertHolds(t, table, "i-1", false, "ended")
	assertHolds(t, table, "i-2", true, "ended")
}

// Guards against a living server that is gone for good because another row of a named
// service claims its address: its row stays, unlike that of a server that has ended.
func TestServerWhoseRowStaysKeepsItsAddress(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(1), claimRow("x", "desk", 1<<41))
	for s := 2.0; s < 9; s++ {
		table.ApplyRow(at(s), claimRow("x", "desk", 1<<41+int64(s))) // written again and again
		table.KeepAddresses(at(s), at(s))
		assertHolds(t, table, "i-1", false, "it may have ended")
	}
	table.KeepAddresses(at(30), at(8.9))
	assertHolds(t, table, "i-1", false, "the list is not known to be newer")
	changes := table.Changes()
	table.KeepAddresses(at(30), at(9))
	assertHolds(t, table, "i-1", true, "it would be gone")
	assertHolds(t, table, "x", false, "the claim is false")
	assert.Assert(t, table.Changes() > changes)
	table.ApplyRow(at(31), claimRow("x", "desk", 1<<41+99))
	assertHolds(t, table, "i-1", true, "claimed once more")
	table.Unlist(at(32), "i-1")
	assertHolds(t, table, "x", true, "the other one is left")
}

// Guards against a server that holds the address of the one after it, because an answer
// of that one to its probe has shown the later start.
func TestAnswerOfTheNextServerClaimsNothingForTheFirst(t *testing.T) {
	table := newClaimTable()
	table.ApplyReport(at(1), at(1), "i-1", Report{State: State{Born: 300}})
	table.ApplyRow(at(2), claimRow("i-2", "desk", 200))
	assertHolds(t, table, "i-1", false, "the earlier start by its row")
	assertHolds(t, table, "i-2", true, "the later one")
}

// Guards against a VM whose time off the list begins anew with each of its rows.
func TestRowsOfAServerWithoutItsAddressDoNotListIt(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(1), claimRow("x", "desk", 200))
	row := claimRow("i-1", "desk", 100)
	row.Draining = true
	table.ApplyRow(at(5), row)
	assertHolds(t, table, "i-1", false, "x has the address")
	assert.Equal(t, table.Get("i-1").ListedAt, at(1))
}

// Guards against a server that stays without its address after the one that claimed it
// is gone, has moved, or was forgotten.
func TestServerHasItsAddressAgainOnceNoOtherClaimsIt(t *testing.T) {
	for name, leave := range map[string]func(*Table){
		"removed": func(table *Table) { table.Unlist(at(3), "x") },
		"moved": func(table *Table) {
			row := claimRow("x", "desk", 200)
			row.Address = "10.0.0.2:2"
			table.ApplyRow(at(3), row)
		},
		"of another service": func(table *Table) { table.ApplyRow(at(3), claimRow("x", "ledger", 200)) },
	} {
		table := newClaimTable()
		table.ApplyRow(at(1), claimRow("x", "desk", 200))
		assertHolds(t, table, "i-1", false, name)
		leave(table)
		assertHolds(t, table, "i-1", true, name)
	}
}

// Guards against a registered server that is forgotten while another one has its address.
func TestServerWithoutItsAddressIsNotForgotten(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(1), claimRow("x", "desk", 200))
	table.Sweep(at(300))
	table.Unlist(at(301), "x")
	assertHolds(t, table, "i-1", true, "after five minutes")
}

// Changes of addresses are reported once, for the log.
func TestAddressChanges(t *testing.T) {
	table := newClaimTable()
	assert.Equal(t, len(table.AddressChanges()), 0)
	table.ApplyRow(at(1), claimRow("x", "desk", 200))
	assert.DeepEqual(t, table.AddressChanges(), []AddressChange{{VM: "i-1", Address: "10.0.0.1:1", Holder: "x"}})
	table.Unlist(at(2), "x")
	assert.DeepEqual(t, table.AddressChanges(), []AddressChange{{VM: "i-1", Address: "10.0.0.1:1", Holder: "i-1"}})
	assert.Equal(t, len(table.AddressChanges()), 0)
}

// A server that starts again under its ID claims its address anew.
func TestRestartEndsTheCertaintyOfAnAddress(t *testing.T) {
	table := newClaimTable()
	table.ApplyRow(at(1), claimRow("x", "desk", 200))
	table.KeepAddresses(at(20), at(20))
	assertHolds(t, table, "i-1", true, "its row stays")
	table.ApplyRow(at(21), claimRow("i-1", "desk", 150))
	assertHolds(t, table, "x", true, "the later start")
	table.KeepAddresses(at(21).Add(MaxStaleRow), at(21).Add(MaxStaleRow))
	assertHolds(t, table, "i-1", true, "its row stays again")
}
