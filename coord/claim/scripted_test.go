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

// ready returns a State that knows the epoch.
func ready(opts Options) *State {
	opts.Self = self
	s := New(opts)
	s.down = false
	s.writer.epochKnown = true
	return s
}

func call(id uint64, key string) Call {
	return Call{ID: id, Key: NewKey("archive", key), Fingerprint: "f"}
}

// only returns the single effect of a type among the effects.
func only[T Effect](t *testing.T, effects []Effect) T {
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

// dispatched brings a plain call to its dispatch.
func dispatched(t *testing.T, s *State, c Call) Dispatch {
	t.Helper()
	commit := only[Commit](t, s.Step(epoch, Arrived{c}))
	return only[Dispatch](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 7}))
}

func TestRepeatGetsTheOneOutcome(t *testing.T) {
	s := ready(Options{})
	d := dispatched(t, s, call(1, "k"))
	assert.Equal(t, len(s.Step(epoch, Arrived{call(2, "k")})), 0, "the repeat waits")
	other := call(3, "k")
	other.Fingerprint = "g"
	answer := only[Answer](t, s.Step(epoch, Arrived{other}))
	assert.Equal(t, answer.Err.Kind, problem.KeyReused)
	s.Step(epoch, PeerAsked{RequestID: 9, Key: d.Key, Incarnation: self.Incarnation})
	outcome := Outcome{StatusCode: 201, Body: []byte("ordered")}
	assert.Equal(t, len(s.Step(epoch, Answered{Key: d.Key, Attempt: "another", Outcome: outcome})), 0)
	effects := s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: outcome})
	for i, id := range []uint64{1, 2} {
		assert.DeepEqual(t, effects[i], Effect(Answer{Call: id, Outcome: &outcome}))
	}
	assert.Equal(t, only[ReplyPeer](t, effects).Reply.Kind, ReplySettled)
	commit := only[Commit](t, effects)
	rec, _ := decodeRecord(table.Row{Revision: 1, Value: commit.Txn.Writes[0].Value})
	assert.Equal(t, rec.Status, Finished)
	assert.Equal(t, string(rec.Outcome.Body), "ordered")
	s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 8})
	assert.Equal(t, s.EntryCount(), 0, "the table has it")
	assert.Equal(t, len(s.callers), 0)
}

func TestNotSentIsReleased(t *testing.T) {
	s := ready(Options{})
	d := dispatched(t, s, call(1, "k"))
	effects := s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt})
	assert.Equal(t, only[Answer](t, effects).Err.Ran, problem.RanNo)
	commit := only[Commit](t, effects)
	assert.DeepEqual(t, commit.Txn.Conditions[1], table.Condition{Key: d.Key.Row(), Revision: 7})
	// A repeat during the release waits for it and claims the row again.
	s.Step(epoch, Arrived{call(2, "k")})
	again := only[Commit](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 8}))
	assert.DeepEqual(t, again.Txn.Conditions[1].Revision, uint64(8))
	only[Dispatch](t, s.Step(epoch, Committed{Batch: again.Batch, Outcome: table.Applied, Revision: 9}))
}

func TestNotSentAfterSentIsUnknown(t *testing.T) {
	s := ready(Options{})
	d := dispatched(t, s, call(1, "k"))
	s.Step(epoch, Sent{Key: d.Key, Attempt: d.Attempt})
	answer := only[Answer](t, s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt}))
	assert.Equal(t, answer.Err.Kind, problem.OutcomeUnknown)
	assert.Equal(t, answer.Err.Ran, problem.RanUnknown)
}

// TestLateReleaseIsFenced loses the answer to a release that lands later.
func TestLateReleaseIsFenced(t *testing.T) {
	s := ready(Options{})
	d := dispatched(t, s, call(1, "k"))
	claimed := encode(Record{Token: "e1/i1/1", Status: Claimed, Fingerprint: "f", Claimant: self})
	release := only[Commit](t, s.Step(epoch, NotSent{Key: d.Key, Attempt: d.Attempt}))
	s.Step(epoch, Arrived{call(2, "k")})
	read := only[Read](t, s.Step(epoch, Committed{Batch: release.Batch, Outcome: table.Unknown}))
	effects := s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{{Key: d.Key.Row(), Value: claimed, Revision: 7}}})
	assert.Equal(t, len(effects), 1, "no dispatch while the release may land")
	rewrite := only[Commit](t, effects)
	only[Dispatch](t, s.Step(epoch, Committed{Batch: rewrite.Batch, Outcome: table.Applied, Revision: 8}))
}

func TestClaimOfAnotherNode(t *testing.T) {
	other := Node{VM: "e2", Incarnation: "j"}
	row := table.Row{Key: call(0, "k").Key.Row(), Revision: 4, Value: encode(Record{
		Token: "t", Status: Claimed, Fingerprint: "f", Claimant: other})}
	done := &Record{Token: "t", Status: Finished, Fingerprint: "f", Claimant: other, Outcome: &Outcome{StatusCode: 201}}
	follow := func(t *testing.T) *State {
		s := ready(Options{})
		commit := only[Commit](t, s.Step(epoch, Arrived{call(1, "k")}))
		read := only[Read](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Conflict}))
		ask := only[AskPeer](t, s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{row}}))
		assert.Equal(t, ask.To, other)
		return s
	}
	reply := func(s *State, r Reply) []Effect {
		return s.Step(epoch, PeerReplied{Key: call(0, "k").Key, From: other, Reply: r})
	}
	t.Run("settled", func(t *testing.T) {
		answer := only[Answer](t, reply(follow(t), Reply{Kind: ReplySettled, Record: done}))
		assert.Equal(t, answer.Outcome.StatusCode, 201)
	})
	t.Run("gone", func(t *testing.T) {
		s := follow(t)
		effects := reply(s, Reply{Kind: ReplyGone})
		assert.Equal(t, only[Answer](t, effects).Err.Kind, problem.OutcomeUnknown)
		commit := only[Commit](t, effects)
		rec, _ := decodeRecord(table.Row{Revision: 1, Value: commit.Txn.Writes[0].Value})
		assert.Equal(t, rec.Status, Unknown)
		assert.Equal(t, rec.Token, "t")
		// The claimant lives after all and has recorded the outcome: it stands.
		read := only[Read](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.Conflict}))
		row := table.Row{Key: row.Key, Revision: 5, Value: encode(*done)}
		effects = s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{row}})
		assert.Equal(t, len(effects), 0)
		assert.Equal(t, s.EntryCount(), 0)
	})
	t.Run("released", func(t *testing.T) {
		s := follow(t)
		read := only[Read](t, reply(s, Reply{Kind: ReplyReleased}))
		released := table.Row{Key: row.Key, Revision: 5, Value: encode(Record{Token: "t", Status: Released, Fingerprint: "f"})}
		commit := only[Commit](t, s.Step(epoch, RowsRead{Read: read.Read, Rows: []table.Row{released}}))
		assert.Equal(t, commit.Txn.Conditions[1].Revision, uint64(5))
	})
	t.Run("unreachable", func(t *testing.T) {
		answer := only[Answer](t, reply(follow(t), Reply{Kind: ReplyUnreachable}))
		assert.Equal(t, answer.Err.Ran, problem.RanUnknown)
	})
}

func TestBatchesAndBounds(t *testing.T) {
	s := ready(Options{MaxBatch: 8, MaxQueue: 20, CommitsPerSecond: 10, CommitBurst: 1})
	commits, refused := 0, 0
	for i := range 40 {
		c := call(uint64(i+1), fmt.Sprint(i))
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
	assert.Equal(t, len(effects), 1, "the rate allows no further transaction yet")
	next := only[Commit](t, s.Step(epoch.Add(100*time.Millisecond), Tick{}))
	assert.Equal(t, len(next.Txn.Writes), 8)
}

// TestTickAllocatesNothing holds keys during an outage.
func TestTickAllocatesNothing(t *testing.T) {
	for _, held := range []int{10, 1000} {
		s := ready(Options{})
		s.down = true
		for i := range held {
			ticket := s.IssueTicket(epoch)
			key := NewKey("archive", ticket.String())
			d := only[Dispatch](t, s.Step(epoch, Arrived{Call{ID: uint64(i + 1), Key: key, Fingerprint: "f", Ticket: &ticket}}))
			s.Step(epoch, Answered{Key: key, Attempt: d.Attempt})
		}
		s.Step(epoch, Tick{}) // probes the table
		assert.Equal(t, s.EntryCount(), held)
		allocs := testing.AllocsPerRun(100, func() { s.Step(epoch, Tick{}) })
		assert.Equal(t, allocs, 0.0)
	}
}

// TestWritesStayWithinTheRate sends far more calls than fit into single
// transactions, through nodes that each have a share of the platform's writes.
func TestWritesStayWithinTheRate(t *testing.T) {
	const share, burst, seconds, callsPerSecond, nodes = 25, 5, 4, 1000, 4
	c := newCluster(1, Options{CommitsPerSecond: share, CommitBurst: burst}, 2, 2)
	l := &ledger{}
	l.watch(c)
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
	assert.Equal(t, got.doubled+got.lies, 0)
}

func TestTicketsInAnOutage(t *testing.T) {
	s := ready(Options{})
	ticket := s.IssueTicket(epoch)
	parsed, ok := ParseTicket(ticket.String())
	assert.Assert(t, ok)
	assert.DeepEqual(t, parsed, ticket)
	first := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
	commit := only[Commit](t, s.Step(epoch, Arrived{first}))
	d := only[Dispatch](t, s.Step(epoch, Committed{Batch: commit.Batch, Outcome: table.NotWritten}))
	answer := only[Answer](t, s.Step(epoch, Arrived{call(2, "plain")}))
	assert.Equal(t, answer.Err.Kind, problem.PlatformDown)
	assert.Equal(t, answer.Err.Ran, problem.RanUnknown, "an earlier call may have run")
	s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: Outcome{StatusCode: 201, Body: []byte("b")}})
	repeat := first
	repeat.ID = 3
	assert.Equal(t, only[Answer](t, s.Step(epoch, Arrived{repeat})).Outcome.StatusCode, 201)
	// The table comes back, and the record is written.
	probe := only[Read](t, s.Step(epoch.Add(time.Minute), Tick{}))
	commit = only[Commit](t, s.Step(epoch.Add(time.Minute), RowsRead{Read: probe.Read, Rows: []table.Row{{Key: EpochKey}}}))
	s.Step(epoch.Add(time.Minute), Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 3})
	assert.Equal(t, s.EntryCount(), 1, "a used ticket is remembered")
	s.Step(epoch.Add(DefaultTicketLifetime), Tick{})
	assert.Equal(t, s.EntryCount(), 0)
	repeat.ID = 4
	read := only[Read](t, s.Step(epoch.Add(DefaultTicketLifetime), Arrived{repeat}))
	effects := s.Step(epoch.Add(DefaultTicketLifetime), RowsRead{Read: read.Read, Rows: []table.Row{{Key: first.Key.Row()}}})
	assert.Equal(t, only[Answer](t, effects).Err.Kind, problem.OutcomeUnknown, "an expired ticket never runs again")
}

func TestSlowTableDoesNotHoldTickets(t *testing.T) {
	s := ready(Options{})
	ticket := s.IssueTicket(epoch)
	c := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
	commit := only[Commit](t, s.Step(epoch, Arrived{c}))
	only[Dispatch](t, s.Step(epoch.Add(DefaultCommitPatience), Tick{}))
	assert.Equal(t, len(s.Step(epoch.Add(time.Second), Committed{Batch: commit.Batch, Outcome: table.Applied, Revision: 2})), 0)
}

// TestStopHandsTicketsOver stops an issuer; another node may then claim its
// unused ticket, but not while the closing row is missing.
func TestStopHandsTicketsOver(t *testing.T) {
	s := ready(Options{})
	ticket := s.IssueTicket(epoch)
	d := dispatched(t, s, call(1, "k"))
	assert.Equal(t, len(s.Step(epoch, Stop{})), 0, "a call still runs")
	assert.Equal(t, only[Answer](t, s.Step(epoch, Arrived{call(2, "l")})).Err.Kind, problem.Stopping)
	record := only[Commit](t, s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt}))
	closing := only[Commit](t, s.Step(epoch, Committed{Batch: record.Batch, Outcome: table.Applied, Revision: 8}))
	assert.Equal(t, closing.Txn.Writes[0].Key, self.closedRow())
	only[Stopped](t, s.Step(epoch, Committed{Batch: closing.Batch, Outcome: table.Applied, Revision: 9}))

	for _, closed := range []bool{false, true} {
		heir := New(Options{Self: Node{VM: "e2", Incarnation: "j"}})
		heir.writer.epochKnown = true
		c := Call{ID: 1, Key: NewKey("archive", ticket.String()), Fingerprint: "f", Ticket: &ticket}
		only[Forward](t, heir.Step(epoch, Arrived{c}))
		read := only[Read](t, heir.Step(epoch, ForwardFailed{Call: c, Reason: IssuerGone}))
		rows := []table.Row{{Key: c.Key.Row()}}
		if closed {
			rows = append(rows, table.Row{Key: self.closedRow(), Revision: 9})
		}
		effects := heir.Step(epoch, RowsRead{Read: read.Read, Rows: rows})
		if closed {
			only[Commit](t, effects)
		} else {
			assert.Equal(t, only[Answer](t, effects).Err.Ran, problem.RanUnknown)
		}
	}
}

func TestBodiesAreBounded(t *testing.T) {
	s := ready(Options{MaxBody: 3})
	d := dispatched(t, s, call(1, "k"))
	effects := s.Step(epoch, Answered{Key: d.Key, Attempt: d.Attempt, Outcome: Outcome{BodyDigest: "d", Body: []byte("long")}})
	assert.Equal(t, string(only[Answer](t, effects).Outcome.Body), "long")
	rec, _ := decodeRecord(table.Row{Revision: 1, Value: only[Commit](t, effects).Txn.Writes[0].Value})
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

// sweep runs a sweeper against a table for a while.
func sweep(s *Sweeper, tab *fakeTable, from time.Time, d time.Duration) {
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

func TestSweeperKeepsRowsForTheirRetention(t *testing.T) {
	tab := &fakeTable{rows: map[string]table.Row{}}
	for i := range 5 {
		tab.commit(table.Txn{Writes: []table.Write{{Key: NewKey("a", fmt.Sprint(i)).Row(), Value: encode(Record{Status: Finished})}}})
	}
	tab.commit(table.Txn{Writes: []table.Write{{Key: self.closedRow(), Value: encode(0)}}})
	const rows = 6
	retention := DefaultEpochLength * DefaultRetainedEpochs
	// Two sweepers, one of which restarts every 50 minutes, do not hasten it.
	s := NewSweeper(SweepOptions{PageLimit: 2})
	now := epoch
	for ; now.Before(epoch.Add(retention)); now = now.Add(50 * time.Minute) {
		sweep(NewSweeper(SweepOptions{PageLimit: 2}), tab, now, 50*time.Minute)
		sweep(s, tab, now, 50*time.Minute)
	}
	assert.Equal(t, len(tab.rows), rows+1, "all rows and the epoch")
	sweep(s, tab, now, 3*DefaultEpochLength)
	assert.Equal(t, len(tab.rows), 1)
}
