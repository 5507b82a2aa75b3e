package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

var self = Node{VM: "e1", Incarnation: "i1"}

// newReadyState returns a State that can reach the table and knows the epoch.
func newReadyState(opts Options) *State {
	opts.Self = self
	s := New(opts)
	s.down = false
	s.writer.epochKnown = true
	return s
}

func newCall(id uint64, key string) Call {
	return Call{ID: id, Key: NewKey("archive", key), Fingerprint: "f"}
}

// singleEffect returns the effect of type T and fails unless there is exactly one.
func singleEffect[T Effect](t *testing.T, effects []Effect) T {
	t.Helper()
	var found []T
	for _, e := range effects {
		if typed, ok := e.(T); ok {
			found = append(found, typed)
		}
	}
	assert.Equal(t, len(found), 1, "%+v", effects)
	return found[0]
}

// dispatchCall runs a call with a plain key up to its dispatch.
func dispatchCall(t *testing.T, s *State, c Call) Dispatch {
	t.Helper()
	commit := singleEffect[Commit](t, s.Step(epoch, Arrived{c}))
	return singleEffect[Dispatch](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 7}))
}

func TestRepeatGetsRecordedOutcome(t *testing.T) {
	s := newReadyState(Options{})
	d := dispatchCall(t, s, newCall(1, "k"))
	assert.Equal(t, len(s.Step(epoch, Arrived{newCall(2, "k")})), 0, "the repeat waits")
	other := newCall(3, "k")
	other.Fingerprint = "g"
	answer := singleEffect[Answer](t, s.Step(epoch, Arrived{other}))
	assert.Equal(t, answer.Err.Kind, problem.KeyReused)
	s.Step(epoch, PeerAsked{RequestID: 9, Key: d.Key, Incarnation: self.Incarnation})
	outcome := Outcome{StatusCode: 201, Body: []byte("ordered")}
	assert.Equal(t, len(s.Step(epoch, Answered{Key: d.Key, Attempt: "another", Outcome: outcome})), 0)
	effects := s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: outcome})
	for i, id := range []uint64{1, 2} {
		assert.DeepEqual(t, effects[i], Effect(Answer{Call: id, Outcome: &outcome}))
	}
	assert.Equal(t, singleEffect[ReplyPeer](t, effects).Reply.Kind, ReplySettled)
	commit := singleEffect[Commit](t, effects)
	rec, _ := decodeRecord(table.Row{Revision: 1, Value: commit.Txn.Writes[0].Value})
	assert.Equal(t, rec.Status, Finished)
	assert.Equal(t, string(rec.Outcome.Body), "ordered")
	s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 8})
	assert.Equal(t, s.EntryCount(), 0, "the record is in the table")
	assert.Equal(t, len(s.callers), 0)
}

func TestNotSentReleasesClaim(t *testing.T) {
	s := newReadyState(Options{})
	d := dispatchCall(t, s, newCall(1, "k"))
	effects := s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt})
	assert.Equal(t, singleEffect[Answer](t, effects).Err.Ran, problem.RanNo)
	commit := singleEffect[Commit](t, effects)
	assert.DeepEqual(t, commit.Txn.Conditions[1], table.Condition{Key: d.Key.Row(), Revision: 7})
	// A repeat during the release waits for it and claims the row again.
	s.Step(epoch, Arrived{newCall(2, "k")})
	again := singleEffect[Commit](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 8}))
	assert.DeepEqual(t, again.Txn.Conditions[1].Revision, uint64(8))
	singleEffect[Dispatch](t, s.Step(epoch, Committed{Batch: again.Batch, Outcome: table.Applied, Revision: 9}))
}

func TestNotSentAfterSentIsUnknown(t *testing.T) {
	s := newReadyState(Options{})
	d := dispatchCall(t, s, newCall(1, "k"))
	s.Step(epoch, Sent{Key: d.Key, Attempt: d.Attempt})
	answer := singleEffect[Answer](t, s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt}))
	assert.Equal(t, answer.Err.Kind, problem.OutcomeUnknown)
	assert.Equal(t, answer.Err.Ran, problem.RanUnknown)
}

// TestLateReleaseIsFenced checks that a call is not dispatched while a release
// whose answer was lost may still be applied.
func TestLateReleaseIsFenced(t *testing.T) {
	s := newReadyState(Options{})
	d := dispatchCall(t, s, newCall(1, "k"))
	claimed := encode(Record{Token: "e1/i1/1", Status: Claimed, Fingerprint: "f", Claimant: self})
	release := singleEffect[Commit](t, s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt}))
	s.Step(epoch, Arrived{newCall(2, "k")})
	read := singleEffect[Read](t, s.Step(epoch, Committed{Batch: release.Batch, Outcome: table.Unknown}))
	effects := s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{{Key: d.Key.Row(), Value: claimed, Revision: 7}}})
	assert.Equal(t, len(effects), 1, "no dispatch while the release may still be applied")
	rewrite := singleEffect[Commit](t, effects)
	singleEffect[Dispatch](t, s.Step(epoch, Committed{Batch: rewrite.Batch, Outcome: table.Applied, Revision: 8}))
}

func TestForeignClaim(t *testing.T) {
	other := Node{VM: "e2", Incarnation: "j"}
	row := table.Row{Key: newCall(0, "k").Key.Row(), Revision: 4, Value: encode(Record{
		Token: "t", Status: Claimed, Fingerprint: "f", Claimant: other})}
	done := &Record{Token: "t", Status: Finished, Fingerprint: "f", Claimant: other, Outcome: &Outcome{StatusCode: 201}}
	follow := func(t *testing.T) *State {
		s := newReadyState(Options{})
		commit := singleEffect[Commit](t, s.Step(epoch, Arrived{newCall(1, "k")}))
		read := singleEffect[Read](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Conflict}))
		ask := singleEffect[AskPeer](t, s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{row}}))
		assert.Equal(t, ask.To, other)
		return s
	}
	reply := func(s *State, r Reply) []Effect {
		return s.Step(epoch, PeerReplied{Key: newCall(0, "k").Key, From: other, Reply: r})
	}
	t.Run("settled", func(t *testing.T) {
		answer := singleEffect[Answer](t, reply(follow(t), Reply{Kind: ReplySettled, Record: done}))
		assert.Equal(t, answer.Outcome.StatusCode, 201)
	})
	t.Run("gone", func(t *testing.T) {
		s := follow(t)
		effects := reply(s, Reply{Kind: ReplyGone})
		assert.Equal(t, singleEffect[Answer](t, effects).Err.Kind, problem.OutcomeUnknown)
		commit := singleEffect[Commit](t, effects)
		rec, _ := decodeRecord(table.Row{Revision: 1, Value: commit.Txn.Writes[0].Value})
		assert.Equal(t, rec.Status, Unknown)
		assert.Equal(t, rec.Token, "t")
		// The claimant is still running and has recorded the outcome, which is kept.
		read := singleEffect[Read](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Conflict}))
		row := table.Row{Key: row.Key, Revision: 5, Value: encode(*done)}
		effects = s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{row}})
		assert.Equal(t, len(effects), 0)
		assert.Equal(t, s.EntryCount(), 0)
	})
	t.Run("released", func(t *testing.T) {
		s := follow(t)
		read := singleEffect[Read](t, reply(s, Reply{Kind: ReplyReleased}))
		released := table.Row{Key: row.Key, Revision: 5, Value: encode(Record{Token: "t", Status: Released, Fingerprint: "f"})}
		commit := singleEffect[Commit](t, s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{released}}))
		assert.Equal(t, commit.Txn.Conditions[1].Revision, uint64(5))
	})
	t.Run("unreachable", func(t *testing.T) {
		answer := singleEffect[Answer](t, reply(follow(t), Reply{Kind: ReplyUnreachable}))
		assert.Equal(t, answer.Err.Ran, problem.RanUnknown)
	})
}

func TestBatchAndQueueLimits(t *testing.T) {
	s := newReadyState(Options{MaxBatch: 8, MaxQueue: 20, CommitsPerSecond: 10, CommitBurst: 1})
	commits, refused := 0, 0
	for i := range 40 {
		c := newCall(uint64(i+1), fmt.Sprint(i))
		c.First = i%2 == 0
		for _, e := range s.Step(epoch, Arrived{c}) {
			switch e := e.(type) {
			case Commit:
				commits++
			case Answer:
				refused++
				assert.Equal(t, e.Err.Kind, problem.Overloaded)
				assert.Assert(t, e.Err.RetryAfter > 0)
				assert.Equal(t, e.Err.Ran == problem.RanNo, c.First)
			}
		}
	}
	assert.Equal(t, commits, 1)
	assert.Equal(t, refused, 40-1-20)
	effects := s.Step(epoch, Committed{Batch: 1, Outcome: table.Applied, Revision: 1})
	assert.Equal(t, len(effects), 1, "the rate limit does not allow another transaction yet")
	next := singleEffect[Commit](t, s.Step(epoch.Add(100*time.Millisecond), Tick{}))
	assert.Equal(t, len(next.Txn.Writes), 8)
}

// TestTickDoesNotAllocate ticks a State with keys in memory during an outage.
func TestTickDoesNotAllocate(t *testing.T) {
	for _, keys := range []int{10, 1000} {
		s := newReadyState(Options{})
		s.down = true
		for i := range keys {
			ticket := s.IssueTicket(epoch)
			key := NewKey("archive", ticket.String())
			d := singleEffect[Dispatch](t, s.Step(epoch, Arrived{Call{ID: uint64(i + 1), Key: key, Fingerprint: "f", Ticket: &ticket}}))
			s.Step(epoch, Answered{Key: key, Attempt: d.Attempt})
		}
		s.Step(epoch, Tick{}) // probes the table
		assert.Equal(t, s.EntryCount(), keys)
		allocs := testing.AllocsPerRun(100, func() { s.Step(epoch, Tick{}) })
		assert.Equal(t, allocs, 0.0)
	}
}

// TestCommitRateIsLimited sends more calls than the rate limit would allow with one
// transaction each, through nodes that each have a share of the platform's write
// rate. All must be served.
func TestCommitRateIsLimited(t *testing.T) {
	const share, burst, seconds, callsPerSecond, nodes = 25, 5, 4, 1000, 4
	c := newCluster(1, Options{CommitsPerSecond: share, CommitBurst: burst}, 2, 2)
	l := &audit{}
	l.attach(c)
	for i := range seconds * callsPerSecond {
		o := &order{}
		c.after(time.Duration(i)*time.Second/callsPerSecond, func() { l.add(c, o, 5*time.Second) })
	}
	c.run(2 * seconds * time.Second)
	got := l.count()
	t.Logf("%d calls in %d s, served %d, %d transactions within %d s",
		seconds*callsPerSecond, seconds, got.served, c.table.commits, 2*seconds)
	assert.Assert(t, c.table.commits <= nodes*(2*seconds*share+burst))
	assert.Equal(t, got.served, seconds*callsPerSecond)
	assert.Equal(t, got.duplicated+got.falseNotRun, 0)
}

// TestRateCountsOnlyTransactions checks that a batch that turns out empty uses
// nothing of the rate.
func TestRateCountsOnlyTransactions(t *testing.T) {
	s := newReadyState(Options{CommitsPerSecond: 1, CommitBurst: 2})
	first := singleEffect[Commit](t, s.Step(epoch, Arrived{newCall(1, "k")}))
	s.Step(epoch, Arrived{newCall(2, "l")})
	s.Step(epoch, Cancelled{Call: 2})
	effects := s.Step(epoch, Committed{Batch: first.Batch, Outcome: table.Applied, Revision: 7})
	singleEffect[Dispatch](t, effects)
	assert.Equal(t, len(effects), 1, "the cancelled call needs no transaction")
	singleEffect[Commit](t, s.Step(epoch, Arrived{newCall(3, "m")}))
	s.Step(epoch, Committed{Batch: 2, Outcome: table.Applied, Revision: 8})
	assert.Equal(t, len(s.Step(epoch, Arrived{newCall(4, "n")})), 0, "two transactions are the burst")
}

// TestClosingRowKeepsToRate checks that the closing row waits for the rate limit
// as other rows do.
func TestClosingRowKeepsToRate(t *testing.T) {
	s := newReadyState(Options{CommitsPerSecond: 1, CommitBurst: 1})
	d := dispatchCall(t, s, newCall(1, "k"))
	now := epoch.Add(time.Second)
	record := singleEffect[Commit](t, s.Step(now, Answered{Key: d.Key, Attempt: d.Attempt}))
	s.Step(now, Stop{})
	assert.Equal(t, len(s.Step(now, Committed{Batch: record.Batch, Outcome: table.Applied, Revision: 8})), 0)
	assert.Equal(t, len(s.Step(now.Add(time.Second-1), Tick{})), 0)
	closing := singleEffect[Commit](t, s.Step(now.Add(time.Second), Tick{}))
	assert.Equal(t, closing.Txn.Writes[0].Key, self.closedRow())
	singleEffect[Stopped](t, s.Step(now.Add(time.Second), Committed{Batch: closing.Batch, Outcome: table.Applied, Revision: 9}))
}

// TestAnsweredTransactionEndsOutage checks that an answer to a transaction shows
// that the table can be reached, as an answer to a read does.
func TestAnsweredTransactionEndsOutage(t *testing.T) {
	for outcome, down := range map[table.Outcome]bool{
		table.Applied: false, table.Conflict: false, table.NotWritten: true, table.Unknown: true,
	} {
		s := newReadyState(Options{})
		s.writer.epochKnown = false
		probe := singleEffect[Read](t, s.Step(epoch, Arrived{newCall(1, "k")}))
		s.writer.epochKnown = true
		commit := singleEffect[Commit](t, s.Step(epoch, Tick{}))
		s.Step(epoch, ReadFailed{Read: probe.Read})
		assert.Assert(t, s.Down())
		s.Step(epoch, Committed{Batch: commit.Batch, Outcome: outcome, Revision: 7})
		assert.Equal(t, s.Down(), down, "%v", outcome)
	}
}

func TestTicketsDuringOutage(t *testing.T) {
	s := newReadyState(Options{})
	ticket := s.IssueTicket(epoch)
	parsed, ok := ParseTicket(ticket.String())
	assert.Assert(t, ok)
	assert.DeepEqual(t, parsed, ticket)
	first := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
	commit := singleEffect[Commit](t, s.Step(epoch, Arrived{first}))
	d := singleEffect[Dispatch](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.NotWritten}))
	answer := singleEffect[Answer](t, s.Step(epoch, Arrived{newCall(2, "plain")}))
	assert.Equal(t, answer.Err.Kind, problem.PlatformDown)
	assert.Equal(t, answer.Err.Ran, problem.RanUnknown, "an earlier call may have run")
	s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: Outcome{StatusCode: 201, Body: []byte("b")}})
	repeat := first
	repeat.ID = 3
	assert.Equal(t, singleEffect[Answer](t, s.Step(epoch, Arrived{repeat})).Outcome.StatusCode, 201)
	// Once the table is reachable again, the record is written.
	probe := singleEffect[Read](t, s.Step(epoch.Add(time.Minute), Tick{}))
	commit = singleEffect[Commit](t, s.Step(epoch.Add(time.Minute), RowsRead{Read: probe.Read, Rows: []table.Row{{Key: EpochKey}}}))
	s.Step(epoch.Add(time.Minute), Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 3})
	assert.Equal(t, s.EntryCount(), 1, "a used ticket stays in memory until it expires")
	s.Step(epoch.Add(DefaultTicketLifetime), Tick{})
	assert.Equal(t, s.EntryCount(), 0)
	repeat.ID = 4
	read := singleEffect[Read](t, s.Step(epoch.Add(DefaultTicketLifetime), Arrived{repeat}))
	effects := s.Step(epoch.Add(DefaultTicketLifetime), RowsRead{Read: read.Read, Rows: []table.Row{{Key: first.Key.Row()}}})
	assert.Equal(t, singleEffect[Answer](t, effects).Err.Kind, problem.OutcomeUnknown, "a call with an expired ticket is never run again")
}

func TestSlowTableDoesNotDelayTickets(t *testing.T) {
	s := newReadyState(Options{})
	ticket := s.IssueTicket(epoch)
	c := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
	commit := singleEffect[Commit](t, s.Step(epoch, Arrived{c}))
	singleEffect[Dispatch](t, s.Step(epoch.Add(DefaultMaxCommitWait), Tick{}))
	assert.Equal(t, len(s.Step(epoch.Add(time.Second), Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 2})), 0)
}

// TestStopMakesUnusedTicketsClaimable checks that another node can claim an unused
// ticket of a stopped issuer, but not without the issuer's closing row.
func TestStopMakesUnusedTicketsClaimable(t *testing.T) {
	s := newReadyState(Options{})
	ticket := s.IssueTicket(epoch)
	d := dispatchCall(t, s, newCall(1, "k"))
	assert.Equal(t, len(s.Step(epoch, Stop{})), 0, "a call is still running")
	assert.Equal(t, singleEffect[Answer](t, s.Step(epoch, Arrived{newCall(2, "l")})).Err.Kind, problem.Stopping)
	record := singleEffect[Commit](t, s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt}))
	closing := singleEffect[Commit](t, s.Step(epoch, Committed{Batch: record.Batch, Outcome: table.Applied, Revision: 8}))
	assert.Equal(t, closing.Txn.Writes[0].Key, self.closedRow())
	singleEffect[Stopped](t, s.Step(epoch, Committed{Batch: closing.Batch, Outcome: table.Applied, Revision: 9}))

	for _, closed := range []bool{false, true} {
		successor := New(Options{Self: Node{VM: "e2", Incarnation: "j"}})
		successor.writer.epochKnown = true
		c := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
		singleEffect[Forward](t, successor.Step(epoch, Arrived{c}))
		read := singleEffect[Read](t, successor.Step(epoch, ForwardFailed{Call: c, Reason: IssuerGone}))
		rows := []table.Row{{Key: c.Key.Row()}}
		if closed {
			rows = append(rows, table.Row{Key: self.closedRow(), Revision: 9})
		}
		effects := successor.Step(epoch, RowsRead{Read: read.Read, Rows: rows})
		if closed {
			singleEffect[Commit](t, effects)
		} else {
			assert.Equal(t, singleEffect[Answer](t, effects).Err.Ran, problem.RanUnknown)
		}
	}
}

func TestRecordedBodyIsBounded(t *testing.T) {
	s := newReadyState(Options{MaxBody: 3})
	d := dispatchCall(t, s, newCall(1, "k"))
	effects := s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: Outcome{BodyDigest: "d", Body: []byte("long")}})
	assert.Equal(t, string(singleEffect[Answer](t, effects).Outcome.Body), "long")
	rec, _ := decodeRecord(table.Row{Revision: 1, Value: singleEffect[Commit](t, effects).Txn.Writes[0].Value})
	assert.DeepEqual(t, *rec.Outcome, Outcome{BodyDigest: "d", BodyOmitted: true})
}

func TestUnkeyed(t *testing.T) {
	u := Unkeyed{MaxRetries: 2}
	assert.Assert(t, u.Failed(ProgressNotSent))
	assert.Equal(t, u.Err().Ran, problem.RanNo)
	assert.Assert(t, !u.Failed(ProgressSent), "it may have run")
	assert.Equal(t, u.Err().Ran, problem.RanUnknown)
	u = Unkeyed{Idempotent: true, MaxRetries: 1}
	assert.Assert(t, u.Failed(ProgressSent))
	assert.Assert(t, !u.Failed(ProgressSent), "the retries are used up")
}

// runSweeper runs a sweeper against a table for a duration, once per minute.
func runSweeper(s *Sweeper, tab *fakeTable, from time.Time, d time.Duration) {
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Minute) {
		effects := s.Step(now, SweepTick{})
		for len(effects) > 0 {
			switch e := effects[0].(type) {
			case ReadEpoch:
				effects = s.Step(now, EpochRow{tab.get([]string{EpochKey})[0]})
			case ReadPage:
				effects = s.Step(now, Page{tab.list(e.Prefix, e.After, e.Limit)})
			case SweepCommit:
				tab.commit(e.Txn)
				effects = s.Step(now, SweepCommitted{})
			}
		}
	}
}

func TestSweeperKeepsRowsForRetention(t *testing.T) {
	tab := &fakeTable{rows: map[string]table.Row{}}
	for i := range 5 {
		tab.commit(table.Txn{Writes: []table.Write{{Key: NewKey("a", fmt.Sprint(i)).Row(), Value: encode(Record{Status: Finished})}}})
	}
	tab.commit(table.Txn{Writes: []table.Write{{Key: self.closedRow(), Value: encode(0)}}})
	const rows = 6
	retention := DefaultEpochLength * DefaultRetainedEpochs
	// Two sweepers, one of which restarts every 50 minutes, do not remove rows early.
	s := NewSweeper(SweepOptions{PageLimit: 2})
	now := epoch
	for ; now.Before(epoch.Add(retention)); now = now.Add(50 * time.Minute) {
		runSweeper(NewSweeper(SweepOptions{PageLimit: 2}), tab, now, 50*time.Minute)
		runSweeper(s, tab, now, 50*time.Minute)
	}
	assert.Equal(t, len(tab.rows), rows+1, "all rows and the epoch")
	runSweeper(s, tab, now, 3*DefaultEpochLength)
	assert.Equal(t, len(tab.rows), 1)
}
