package claim

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// broken is a State with one mechanism off.
type broken struct {
	name  string
	lies  bool // breaks "not run" and not "at most once"
	setup scenario
}

func withoutConditions(txn table.Txn) table.Txn {
	txn.Conditions = nil
	return txn
}

// withoutReadBack takes a lost answer for an applied write.
func withoutReadBack(_ *vm, ev Event) Event {
	if e, ok := ev.(Committed); ok && e.Outcome == table.Unknown {
		return Committed{Batch: e.Batch, Outcome: table.Applied, Revision: 1}
	}
	return ev
}

// reclaiming takes the claim of any other node for a released one.
func reclaiming(v *vm, ev Event) Event {
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

// retrying repeats a call that broke off after it was sent.
func retrying(_ *vm, ev Event) Event {
	if e, ok := ev.(Failed); ok {
		return NotSent{Key: e.Key, Attempt: e.Attempt}
	}
	return ev
}

// anyIssuer lets every node vouch for every ticket.
func anyIssuer(v *vm, ev Event) Event {
	if e, ok := ev.(Arrived); ok && e.Call.Ticket != nil {
		t := *e.Call.Ticket
		t.Issuer, t.Age = v.state.opts.Self, 0
		e.Call.Ticket = &t
		return e
	}
	return ev
}

// TestLateReleases lets several callers repeat calls that are mostly not sent
// while many writes are late, with and without the fence.
func TestLateReleases(t *testing.T) {
	doubled := func(sc scenario) int {
		n := 0
		rapid.Check(t, func(t *rapid.T) {
			c, _ := sc.share(t)
			for _, runs := range c.runs {
				if runs > 1 {
					n++
				}
			}
		})
		return n
	}
	assert.Equal(t, doubled(scenario{unsent: true}), 0)
	assert.Assert(t, doubled(scenario{unsent: true, tamper: forgettingLateReleases}) > 0)
}

// forgettingLateReleases takes a lost release for one that never lands.
func forgettingLateReleases(v *vm, ev Event) Event {
	for _, e := range v.state.entries {
		e.lateRelease = 0
	}
	return ev
}

// trusting takes each call for the first one with its key.
func trusting(_ *vm, ev Event) Event {
	if e, ok := ev.(Arrived); ok {
		e.Call.First = true
		return e
	}
	return ev
}

// TestEachMechanismMatters shows that the checks of TestOrdersRunAtMostOnce
// fail with any one mechanism off.
func TestEachMechanismMatters(t *testing.T) {
	for _, b := range []broken{
		{name: "conditions", setup: scenario{tamperTxn: withoutConditions}},
		{name: "read-back", setup: scenario{tamper: withoutReadBack}},
		{name: "claims of the dead", setup: scenario{tamper: reclaiming}},
		{name: "no retry after sending", setup: scenario{tamper: retrying}},
		{name: "issuer of a ticket", setup: scenario{tamper: anyIssuer, tickets: true, outage: true}},
		{name: "first send", lies: true, setup: scenario{tamper: trusting, outage: true}},
	} {
		t.Run(b.name, func(t *testing.T) {
			var doubled, lies int
			rapid.Check(t, func(t *rapid.T) {
				if doubled > 0 || b.lies && lies > 0 {
					return
				}
				got := b.setup.run(t)
				doubled += got.doubled
				lies += got.lies
			})
			t.Logf("doubled %d, told not run and ran %d", doubled, lies)
			assert.Assert(t, doubled > 0 || b.lies && lies > 0, "the fault was not noticed")
		})
	}
}
