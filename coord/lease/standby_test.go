package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newStandby returns a candidate that has read term 1 of e1 at revision 4 and is
// registered.
func newStandby(t *testing.T) *driver {
	t.Helper()
	d := &driver{t: t, m: New(Options{
		DataCentre: "praha", VM: "e2", Incarnation: "e2.1", Seed: 1, WithoutPromises: true,
		Duration: 2 * time.Second, RenewEvery: 700 * time.Millisecond, PollEvery: 700 * time.Millisecond, RetryEvery: 300 * time.Millisecond,
		OrderTimeout: 300 * time.Millisecond, Margin: 300 * time.Millisecond,
	})}
	d.read(0, RowsRead{Row: renewedRow(1), Revision: 4, Registrations: []Registration{{Candidate: d.m.self(), Revision: 3}}})
	return d
}

func renewedRow(renewal uint64) *Row {
	return &Row{Term: 1, Holder: "e1", Incarnation: "e1.1", Duration: 2 * time.Second, Renewal: renewal}
}

func (d *driver) startsRead(seconds float64) bool {
	_, ok := findEffect[ReadRows](d.step(seconds, Tick{}))
	return ok
}

func TestRelayedRowsReduceReads(t *testing.T) {
	d := newStandby(t)
	for i := range 60 {
		s := 0.1 * float64(i+1)
		d.step(s, RowRelayed{Row: *renewedRow(uint64(i + 2)), Revision: uint64(i + 5)})
		assert.Assert(t, !d.startsRead(s), "a read at %v", s)
	}
	d.step(7, RowRelayed{Row: *renewedRow(70), Revision: 70})
	assert.Assert(t, d.m.read.inFlight, "its registration is checked")
}

func TestCandidateTakesOverWhenRelaysStop(t *testing.T) {
	d := newStandby(t)
	d.step(1, RowRelayed{Row: *renewedRow(2), Revision: 5})
	assert.Assert(t, !d.startsRead(2.9))
	w := d.write(d.read(4, RowsRead{Row: renewedRow(2), Revision: 5}))
	assert.Equal(t, w.Revision, uint64(5))
	assert.Equal(t, w.Row.Term, uint64(2))
}

func TestOlderRelayedRowIsIgnored(t *testing.T) {
	d := newStandby(t)
	d.step(1, RowRelayed{Row: Row{Term: 9, Holder: "e3"}, Revision: 3})
	row, revision := d.m.Row()
	assert.Equal(t, row.Term, uint64(1))
	assert.Equal(t, revision, uint64(4))
}

func TestRelayedTakeoverEndsLease(t *testing.T) {
	d := newHolder(t, "e2")
	lost, ok := findEffect[LostLease](d.step(4, RowRelayed{Row: Row{Term: 2, Holder: "e2", Incarnation: "e2.1"}, Revision: 90}))
	assert.Assert(t, ok)
	assert.Equal(t, lost.Reason, Superseded)
	assert.Assert(t, !d.held(4))
}

// A candidate without a completed read can't tell a relayed row from one that it
// wrote itself.
func TestRelayedRowBeforeFirstReadIsIgnored(t *testing.T) {
	d := newDriver(t, "e2")
	d.step(0, RowRelayed{Row: *renewedRow(1), Revision: 4})
	_, revision := d.m.Row()
	assert.Equal(t, revision, uint64(0))
	assert.Assert(t, d.m.read.inFlight)
}

// newRestartedHolder returns a candidate whose read showed that an earlier process
// of its VM holds the lease at revision 9.
func newRestartedHolder(t *testing.T) (*driver, *Row) {
	t.Helper()
	d := &driver{t: t, m: New(newStandby(t).m.opts)}
	own := &Row{Term: 3, Holder: "e2", Incarnation: "e2.0", Duration: 2 * time.Second}
	d.read(0, RowsRead{Row: own, Revision: 9})
	return d, own
}

// Fault: all entry VMs are killed at once and restart. The one whose process held
// the lease need not wait for it to run out.
func TestRestartedHolderTakesOverAtOnce(t *testing.T) {
	d, own := newRestartedHolder(t)
	w := d.write(d.read(0.3, RowsRead{Row: own, Revision: 9, Registrations: []Registration{
		{Candidate: Candidate{VM: "e1", Incarnation: "e1.7"}, Revision: 11}, {Candidate: d.m.self(), Revision: 10},
	}}))
	assert.Equal(t, w.Revision, uint64(9))
	assert.Equal(t, w.Row.Term, uint64(4))
	assert.Equal(t, w.Row.Incarnation, "e2.1")
}

// Fault: only the holder is killed. Candidates that keep running know more about
// the groups, so the holder's new process leaves the lease to them.
func TestRestartedHolderDefersToRunningCandidates(t *testing.T) {
	d, own := newRestartedHolder(t)
	effects := d.read(0.3, RowsRead{Row: own, Revision: 9, Registrations: []Registration{
		{Candidate: Candidate{VM: "e1", Incarnation: "e1.1"}, Revision: 2}, {Candidate: d.m.self(), Revision: 10},
	}})
	_, writes := findEffect[WriteRow](effects)
	assert.Assert(t, !writes)
}

// Fault: the holder is lost soon after a VM was added. Any candidate that has been
// running for longer reads and writes before the new one does.
func TestNewProcessTakesOverLast(t *testing.T) {
	d := newStandby(t)
	lapsed := d.m.opts.compensateDrift(2 * time.Second)
	for range 100 {
		after := d.m.takeoverTime(at(1), *renewedRow(1)).Sub(at(1))
		assert.Assert(t, after >= lapsed+d.m.opts.RetryEvery, "a new process after %v", after)
		after = d.m.takeoverTime(at(1).Add(startupPeriod), *renewedRow(1)).Sub(at(1).Add(startupPeriod))
		assert.Assert(t, after < lapsed+d.m.opts.RetryEvery, "an old process after %v", after)
	}
}
