package claim

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// brokenMechanism is a scenario with one mechanism disabled.
type brokenMechanism struct {
	name         string
	breaksNotRun bool // it violates "not run" rather than "at most once"
	setup        scenario
}

// withoutConditions removes the conditions of a transaction.
func withoutConditions(txn table.Txn) table.Txn {
	txn.Conditions = nil
	return txn
}

// withoutReadBack makes a State treat a write whose answer was lost as applied.
func withoutReadBack(_ *vm, ev Event) Event {
	if e, ok := ev.(Committed); ok && e.Outcome == table.Unknown {
		return Committed{Batch: e.Batch, Outcome: table.Applied, Revision: 1}
	}
	return ev
}

// withoutForeignClaims makes a State treat the claims of other VMs as released.
func withoutForeignClaims(v *vm, ev Event) Event {
	e, ok := ev.(RowsRead)
	if !ok {
		return ev
	}
	rows := append([]table.Row(nil), e.Rows...)
	for i, row := range rows {
		rec, exists := decodeRecord(row)
		if exists && rec.Status == Claimed && rec.Claimant.VM != v.name {
			rec.Status = Released
			rows[i].Value = encode(rec)
		}
	}
	return RowsRead{Read: e.Read, Rows: rows}
}

// withRetryAfterSend makes a State retry a call that failed after it was sent.
func withRetryAfterSend(_ *vm, ev Event) Event {
	if e, ok := ev.(Failed); ok {
		return NotSent{Key: e.Key, Attempt: e.Attempt}
	}
	return ev
}

// withAnyIssuer makes every node treat all tickets as its own.
func withAnyIssuer(v *vm, ev Event) Event {
	if e, ok := ev.(Arrived); ok && e.Call.Ticket != nil {
		t := *e.Call.Ticket
		t.Issuer, t.Age = v.state.opts.Self, 0
		e.Call.Ticket = &t
		return e
	}
	return ev
}

// TestLateReleases checks that a late release does not lead to a second run when
// several callers repeat calls that are mostly not sent. It also checks that the
// test detects a State without the fence for late releases.
func TestLateReleases(t *testing.T) {
	duplicated := func(sc scenario) int {
		n := 0
		rapid.Check(t, func(t *rapid.T) {
			c, _ := sc.runSharedKeys(t)
			for _, runs := range c.runs {
				if runs > 1 {
					n++
				}
			}
		})
		return n
	}
	assert.Equal(t, duplicated(scenario{mostlyNotSent: true}), 0)
	assert.Assert(t, duplicated(scenario{mostlyNotSent: true, tamper: withoutReleaseFence}) > 0)
}

// withoutReleaseFence makes a State assume that a release whose answer was lost is
// never applied.
func withoutReleaseFence(v *vm, ev Event) Event {
	for _, e := range v.state.entries {
		e.lateRelease = 0
	}
	return ev
}

// withAlwaysFirst makes a State treat each call as the first one with its key.
func withAlwaysFirst(_ *vm, ev Event) Event {
	if e, ok := ev.(Arrived); ok {
		e.Call.First = true
		return e
	}
	return ev
}

// TestChecksDetectDisabledMechanism checks that the checks of
// TestOrdersRunAtMostOnce fail if any one mechanism is disabled.
func TestChecksDetectDisabledMechanism(t *testing.T) {
	for _, b := range []brokenMechanism{
		{name: "conditions", setup: scenario{tamperTxn: withoutConditions}},
		{name: "read-back", setup: scenario{tamper: withoutReadBack}},
		{name: "claims of other nodes", setup: scenario{tamper: withoutForeignClaims}},
		{name: "no retry after sending", setup: scenario{tamper: withRetryAfterSend}},
		{name: "issuer of a ticket", setup: scenario{tamper: withAnyIssuer, tickets: true, outage: true}},
		{name: "first send", breaksNotRun: true, setup: scenario{tamper: withAlwaysFirst, outage: true}},
	} {
		t.Run(b.name, func(t *testing.T) {
			var duplicated, falseNotRun int
			rapid.Check(t, func(t *rapid.T) {
				if duplicated > 0 || b.breaksNotRun && falseNotRun > 0 {
					return
				}
				got := b.setup.run(t)
				duplicated += got.duplicated
				falseNotRun += got.falseNotRun
			})
			t.Logf("ran twice %d, ran but answered \"not run\" %d", duplicated, falseNotRun)
			assert.Assert(t, duplicated > 0 || b.breaksNotRun && falseNotRun > 0, "the disabled mechanism was not detected")
		})
	}
}
