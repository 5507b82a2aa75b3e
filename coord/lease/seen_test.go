package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// standby returns a candidate that has read term 1 of e1 at revision 4 and is
// registered.
func standby(t *testing.T) *driver {
	t.Helper()
	d := &driver{t: t, m: New(Options{
		DataCentre: "praha", VM: "e2", Incarnation: "e2.1", Seed: 1, WithoutPromises: true,
		Duration: 2 * time.Second, RenewEvery: 700 * time.Millisecond, PollEvery: 700 * time.Millisecond, RetryEvery: 300 * time.Millisecond,
		OrderTimeout: 300 * time.Millisecond, Margin: 300 * time.Millisecond,
	})}
	d.read(0, RowsRead{Row: renewed(1), Revision: 4, Registrations: []Registration{{Candidate: d.m.self(), Revision: 3}}})
	return d
}

func renewed(renewal uint64) *Row {
	return &Row{Term: 1, Holder: "e1", Incarnation: "e1.1", Duration: 2 * time.Second, Renewal: renewal}
}

func (d *driver) reads(seconds float64) bool {
	_, ok := effect[ReadRows](d.step(seconds, Tick{}))
	return ok
}

func TestToldCandidateReadsSeldom(t *testing.T) {
	d := standby(t)
	for i := range 60 {
		s := 0.1 * float64(i+1)
		d.step(s, RowRelayed{Row: *renewed(uint64(i + 2)), Revision: uint64(i + 5)})
		assert.Assert(t, !d.reads(s), "a read at %v", s)
	}
	d.step(7, RowRelayed{Row: *renewed(70), Revision: 70})
	assert.Assert(t, d.m.read.inFlight, "its registration is looked after")
}

func TestToldCandidateTakesOverOnceNothingComes(t *testing.T) {
	d := standby(t)
	d.step(1, RowRelayed{Row: *renewed(2), Revision: 5})
	assert.Assert(t, !d.reads(2.9))
	w := d.write(d.read(4, RowsRead{Row: renewed(2), Revision: 5}))
	assert.Equal(t, w.Revision, uint64(5))
	assert.Equal(t, w.Row.Term, uint64(2))
}

func TestOlderRowIsNotTaken(t *testing.T) {
	d := standby(t)
	d.step(1, RowRelayed{Row: Row{Term: 9, Holder: "e3"}, Revision: 3})
	row, revision := d.m.Row()
	assert.Equal(t, row.Term, uint64(1))
	assert.Equal(t, revision, uint64(4))
}

func TestToldHolderLosesTheLease(t *testing.T) {
	d := own(t, "e2")
	lost, ok := effect[LostLease](d.step(4, RowRelayed{Row: Row{Term: 2, Holder: "e2", Incarnation: "e2.1"}, Revision: 90}))
	assert.Assert(t, ok)
	assert.Equal(t, lost.Reason, Superseded)
	assert.Assert(t, !d.held(4))
}

// A candidate that has read nothing yet can't tell what it hears from what it
// wrote itself.
func TestNewcomerReadsFirst(t *testing.T) {
	d := newDriver(t, "e2")
	d.step(0, RowRelayed{Row: *renewed(1), Revision: 4})
	_, revision := d.m.Row()
	assert.Equal(t, revision, uint64(0))
	assert.Assert(t, d.m.read.inFlight)
}

// restarted returns a candidate that has read that an earlier process of its VM
// holds the lease at revision 9.
func restarted(t *testing.T) (*driver, *Row) {
	t.Helper()
	d := &driver{t: t, m: New(standby(t).m.opts)}
	own := &Row{Term: 3, Holder: "e2", Incarnation: "e2.0", Duration: 2 * time.Second}
	d.read(0, RowsRead{Row: own, Revision: 9})
	return d, own
}

// Load: all entry VMs are killed at once and start again. The one whose process
// held the lease need not wait for it to run out.
func TestRestartedHolderTakesItsOwnLeaseOver(t *testing.T) {
	d, own := restarted(t)
	w := d.write(d.read(0.3, RowsRead{Row: own, Revision: 9, Registrations: []Registration{
		{Candidate: Candidate{VM: "e1", Incarnation: "e1.7"}, Revision: 11}, {Candidate: d.m.self(), Revision: 10},
	}}))
	assert.Equal(t, w.Revision, uint64(9))
	assert.Equal(t, w.Row.Term, uint64(4))
	assert.Equal(t, w.Row.Incarnation, "e2.1")
}

// Load: the holder alone is killed. Candidates that go on running know more of
// the groups, so that its new process leaves the lease to them.
func TestRestartedHolderLeavesTheLeaseToThoseThatRunOn(t *testing.T) {
	d, own := restarted(t)
	effects := d.read(0.3, RowsRead{Row: own, Revision: 9, Registrations: []Registration{
		{Candidate: Candidate{VM: "e1", Incarnation: "e1.1"}, Revision: 2}, {Candidate: d.m.self(), Revision: 10},
	}})
	_, writes := effect[WriteRow](effects)
	assert.Assert(t, !writes)
}

// Load: the holder is lost soon after a VM was added. Any candidate that has run
// for longer reads, and writes, before the new one does.
func TestNewProcessTakesOverAfterTheOthers(t *testing.T) {
	d := standby(t)
	lapsed := d.m.opts.stretch(2 * time.Second)
	for range 100 {
		after := d.m.takeoverAt(at(1), *renewed(1)).Sub(at(1))
		assert.Assert(t, after >= lapsed+d.m.opts.RetryEvery, "a new process after %v", after)
		after = d.m.takeoverAt(at(1).Add(newFor), *renewed(1)).Sub(at(1).Add(newFor))
		assert.Assert(t, after < lapsed+d.m.opts.RetryEvery, "an old one after %v", after)
	}
}
