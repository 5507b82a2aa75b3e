package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// driver feeds one machine by hand. Times are seconds on its clock.
type driver struct {
	t *testing.T
	m *Machine
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func newDriver(t *testing.T, vm string) *driver {
	t.Helper()
	return &driver{t: t, m: New(Options{DataCentre: "praha", VM: vm, Incarnation: vm + ".1", Seed: 1})}
}

// effect returns the first effect of a type.
func effect[T Effect](effects []Effect) (T, bool) {
	for _, e := range effects {
		if found, ok := e.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func (d *driver) step(seconds float64, ev Event) []Effect {
	return d.m.Step(at(seconds), ev)
}

// read ticks, expects a read to be due or in flight and answers it.
func (d *driver) read(seconds float64, ev RowsRead) []Effect {
	d.t.Helper()
	d.step(seconds, Tick{})
	assert.Assert(d.t, d.m.read.inFlight, "no read at %v", seconds)
	ev.Read = d.m.read.id
	return d.step(seconds, ev)
}

// write expects the effects to hold a write.
func (d *driver) write(effects []Effect) WriteRow {
	d.t.Helper()
	w, ok := effect[WriteRow](effects)
	assert.Assert(d.t, ok, "no write in %v", effects)
	return w
}

func (d *driver) held(seconds float64) bool {
	_, ok := d.m.Held(at(seconds))
	return ok
}

// own returns a driver that holds term 1 at revision 1 from second 0, with
// the other candidates listed at revision 2 from second 3.
func own(t *testing.T, others ...string) *driver {
	t.Helper()
	d := newDriver(t, "e1")
	w := d.write(d.read(0, RowsRead{}))
	d.step(0, WriteAnswered{Token: w.Row.Token, Revision: 1})
	assert.Assert(t, d.held(0))
	regs := []Registration{{Candidate: Candidate{VM: "e1", Incarnation: "e1.1"}}}
	for _, vm := range others {
		regs = append(regs, Registration{Candidate: Candidate{VM: vm, Incarnation: vm + ".1"}})
	}
	w = d.write(d.read(3, RowsRead{Row: &w.Row, Revision: 1, Registrations: regs}))
	d.step(3, WriteAnswered{Token: w.Row.Token, Revision: 2})
	return d
}

func foreignRow(vms ...string) *Row {
	r := &Row{Term: 4, Holder: "e9", Incarnation: "e9.1", Token: "t", Duration: DefaultDuration, Promise: DefaultPromise, OrderTimeout: 3 * time.Second}
	for _, vm := range vms {
		r.Candidates = append(r.Candidates, Candidate{VM: vm, Incarnation: vm + ".1"})
	}
	return r
}

func TestTakeoverWaitsFromLastChange(t *testing.T) {
	d := newDriver(t, "e1")
	row := foreignRow("e1", "e9")
	d.read(0, RowsRead{Row: row, Revision: 7})
	d.read(3, RowsRead{Row: row, Revision: 8})
	for _, s := range []float64{6, 9, 12} {
		_, wrote := effect[WriteRow](d.read(s, RowsRead{Row: row, Revision: 8}))
		assert.Assert(t, !wrote, "took over at %v", s)
	}
	w := d.write(d.read(13.2, RowsRead{Row: row, Revision: 8}))
	assert.Equal(t, w.Row.Term, uint64(5))
	assert.Equal(t, w.Revision, uint64(8))
	became, ok := effect[BecameHolder](d.step(14, WriteAnswered{Token: w.Row.Token, Revision: 9}))
	assert.Assert(t, ok)
	assert.Equal(t, became.Grant.Until, at(13.2+9))
	wait := became.Grant.UnfencedFrom.Sub(at(13.2))
	assert.Assert(t, wait >= 3*time.Second+DefaultPauseBound, "%v", wait)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	d := newDriver(t, "e1")
	first := d.write(d.read(0, RowsRead{}))
	d.step(1, WriteAnswered{Token: first.Row.Token, Outcome: Unknown})
	assert.Assert(t, !d.held(1))
	second := d.write(d.read(2, RowsRead{}))
	assert.Equal(t, second.Revision, first.Revision)
	assert.Assert(t, second.Row.Token != first.Row.Token)
	d.step(3, WriteAnswered{Token: second.Row.Token, Outcome: Conflict})
	d.read(4, RowsRead{Row: &first.Row, Revision: 1})
	g, ok := d.m.Held(at(4))
	assert.Assert(t, ok)
	assert.Equal(t, g.Until, at(0+9)) // from the sending of the first write
}

func TestLateAnswerGrantsNothing(t *testing.T) {
	d := newDriver(t, "e1")
	w := d.write(d.read(0, RowsRead{}))
	d.step(10, WriteAnswered{Token: w.Row.Token, Revision: 1})
	assert.Assert(t, !d.held(10))
	d.step(11, WriteAnswered{Token: "another", Revision: 2})
	assert.Assert(t, !d.held(11))
}

func TestOrdersNeedMargin(t *testing.T) {
	d := own(t)
	until := 3 + DefaultDuration.Seconds()
	assert.Assert(t, d.m.MayOrder(at(until-2.5), 2*time.Second))
	assert.Assert(t, !d.m.MayOrder(at(until-2.4), 2*time.Second))
	a, _ := d.m.NextFence(at(4))
	b, _ := d.m.NextFence(at(4))
	assert.Assert(t, a.Before(b))
	_, ok := d.m.NextFence(at(until))
	assert.Assert(t, !ok)
}

// asks returns the requests sent in an outage at a time, by candidate.
func asks(effects []Effect) map[string]PromiseRequest {
	found := map[string]PromiseRequest{}
	for _, e := range effects {
		if a, ok := e.(AskPromise); ok {
			found[a.Candidate] = a.Request
		}
	}
	return found
}

func grantTo(req PromiseRequest) PromiseAnswered {
	return PromiseAnswered{PromiseReply{ID: req.ID, Candidate: req.Candidate, Incarnation: req.Incarnation, Duration: req.Duration}}
}

func TestOneSilentCandidateEndsTheLease(t *testing.T) {
	d := own(t, "e2", "e3")
	reqs := asks(d.step(8, Tick{}))
	assert.Equal(t, len(reqs), 2)
	d.step(8.5, grantTo(reqs["e2"]))
	assert.Assert(t, !d.held(12))
	d.step(9, grantTo(reqs["e2"])) // doubled
	assert.Assert(t, !d.held(12))
	d.step(9.5, grantTo(reqs["e3"]))
	assert.Assert(t, d.held(8+8.9)) // from before the asking
	assert.Assert(t, !d.held(8+9))
}

func TestLapsedLeaseIsNotRevivedByPromises(t *testing.T) {
	d := own(t, "e2")
	reqs := asks(d.step(8, Tick{}))
	lost, ok := effect[LostLease](d.step(12, Tick{}))
	assert.Assert(t, ok && lost.Reason == Lapsed)
	d.step(12.1, grantTo(reqs["e2"]))
	assert.Assert(t, !d.held(12.1))
}

func TestPromiseBarsTakeover(t *testing.T) {
	d := newDriver(t, "e1")
	row := foreignRow("e1", "e9")
	d.read(0, RowsRead{Row: row, Revision: 8})
	req := PromiseRequest{ID: 1, Candidate: "e1", Holder: "e9", Incarnation: "e9.1", Term: 4, Revision: 8, Duration: DefaultPromise}
	a, _ := effect[AnswerPromise](d.step(9, PromiseRequested{req}))
	assert.Equal(t, a.Reply.Refusal, Refusal(""))
	for _, s := range []float64{13, 17.9} {
		_, wrote := effect[WriteRow](d.read(s, RowsRead{Row: row, Revision: 8}))
		assert.Assert(t, !wrote, "broke its promise at %v", s)
	}
	d.write(d.read(21, RowsRead{Row: row, Revision: 8}))
}

func TestPromiseIsRefused(t *testing.T) {
	d := newDriver(t, "e1")
	row := foreignRow("e1", "e9")
	d.read(0, RowsRead{Row: row, Revision: 8})
	refusal := func(s float64, candidate string, revision uint64, incarnation string) Refusal {
		req := PromiseRequest{ID: 1, Candidate: candidate, Holder: "e9", Incarnation: incarnation, Revision: revision, Duration: time.Second}
		a, _ := effect[AnswerPromise](d.step(s, PromiseRequested{req}))
		return a.Reply.Refusal
	}
	assert.Equal(t, refusal(1, "e2", 8, "e9.1"), WrongCandidate)
	assert.Equal(t, refusal(1, "e1", 7, "e9.0"), NewerRow)
	w := d.write(d.read(14, RowsRead{Row: row, Revision: 8}))
	assert.Equal(t, refusal(14, "e1", 8, "e9.1"), Unsettled)
	d.step(15, WriteAnswered{Token: w.Row.Token, Outcome: Unknown})
	assert.Equal(t, refusal(15, "e1", 8, "e9.1"), Unsettled)
	// A newer revision proves that the write can no longer take effect.
	assert.Equal(t, refusal(16, "e1", 9, "e9.1"), Refusal(""))
}

func TestNewcomerWaitsForListOfVMs(t *testing.T) {
	d := newDriver(t, "e1")
	row := foreignRow("e9")
	gone := RowsRead{Row: row, Revision: 8, VMsKnown: true, VMs: []string{"e1"}}
	d.read(0, RowsRead{Row: row, Revision: 8})
	for _, s := range []float64{20, 40, 60} { // the list may be older than the term
		_, wrote := effect[WriteRow](d.read(s, gone))
		assert.Assert(t, !wrote, "took over at %v", s)
	}
	leaving := gone
	leaving.VMs = []string{"e1", "e9"}
	_, wrote := effect[WriteRow](d.read(64, leaving))
	assert.Assert(t, !wrote)
	d.write(d.read(68, gone))
}

func TestRenewalListsLiveCandidates(t *testing.T) {
	d := own(t, "e2", "e3", "e4")
	row := d.m.seen.row
	regs := []Registration{
		{Candidate: Candidate{VM: "e2", Incarnation: "e2.2"}, Revision: 5}, // a new process
		{Candidate: Candidate{VM: "e3", Incarnation: "e3.1"}, Revision: 6},
		{Candidate: Candidate{VM: "e4", Incarnation: "e4.1"}, Revision: 7},
	}
	d.m.presence.update(at(5), []string{"e1", "e2", "e3", "e4"})
	effects := d.read(6, RowsRead{Row: &row, Revision: 2, Registrations: regs, VMsKnown: true, VMs: []string{"e1", "e2", "e4"}})
	w := d.write(effects)
	assert.DeepEqual(t, w.Row.Candidates, []Candidate{{VM: "e1", Incarnation: "e1.1"}, {VM: "e2", Incarnation: "e2.2"}, {VM: "e4", Incarnation: "e4.1"}})
	removed, ok := effect[RemoveCandidate](effects)
	assert.Assert(t, ok)
	assert.Equal(t, removed, RemoveCandidate{Key: "lease/praha/e3", Revision: 6})
	// Until the write is settled, the candidate it leaves out counts too.
	d.step(7, WriteAnswered{Token: w.Row.Token, Outcome: Unknown})
	assert.Equal(t, len(d.m.rivals()), 3)
}

func TestPlannedStopReleasesLease(t *testing.T) {
	d := own(t, "e2")
	row := d.m.seen.row
	lost, ok := effect[LostLease](d.step(4, Stop{}))
	assert.Assert(t, ok && lost.Reason == Stopped && !d.held(4))
	regs := []Registration{{Candidate: Candidate{VM: "e1", Incarnation: "e1.1"}, Revision: 3}}
	d.step(4, RowsRead{Read: d.m.read.id, Row: &row, Revision: 2, Registrations: regs})
	w := d.m.attempts.list[0].row
	assert.Assert(t, w.Released && !w.lists("e1") && !d.m.HasHandedOver())
	_, released := effect[Released](d.step(4.1, WriteAnswered{Token: w.Token, Revision: 3}))
	assert.Assert(t, released)
	d.read(6, RowsRead{Row: &w, Revision: 3})
	assert.Assert(t, d.m.HasHandedOver())

	next := newDriver(t, "e2")
	took := next.write(next.read(100, RowsRead{Row: &w, Revision: 3}))
	assert.Equal(t, took.Row.Term, uint64(2))
}

func TestValidateNamesRemedy(t *testing.T) {
	assert.NilError(t, Options{}.Validate())
	assert.NilError(t, testOptions("e1").Validate())
	for _, o := range []Options{{RenewEvery: 5 * time.Second}, {AskEvery: 9 * time.Second}, {OrderTimeout: 4 * time.Second}} {
		assert.ErrorContains(t, o.Validate(), "set it below")
	}
}

func TestLostAnswersTakeBoundedMemory(t *testing.T) {
	d := own(t, "e2")
	row := d.m.seen.row
	for s := 6.0; s < 600; s++ {
		w, ok := effect[WriteRow](d.read(s, RowsRead{Row: &row, Revision: 2}))
		if ok {
			d.step(s, WriteAnswered{Token: w.Row.Token, Outcome: Unknown})
		}
	}
	assert.Assert(t, len(d.m.attempts.list) <= 12, "%d", len(d.m.attempts.list))
	assert.Assert(t, len(d.m.promises.asks) <= 12, "%d", len(d.m.promises.asks))
}
