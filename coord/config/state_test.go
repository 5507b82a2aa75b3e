package config

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

var epoch = time.Unix(1000, 0)

// TestBackoffKeepsToLimit checks that no delay passes MaxBackoff and that delays
// at the limit still differ by half of it.
func TestBackoffKeepsToLimit(t *testing.T) {
	s := New(Options{Seed: 1})
	s.rank = s.opts.Readers // not a reader
	s.poll.failures = maxDoublings
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for range 1000 {
		d := s.pollBackoff()
		shortest, longest = min(shortest, d), max(longest, d)
	}
	assert.Assert(t, longest <= s.opts.MaxBackoff, "%v", longest)
	assert.Assert(t, longest-shortest >= s.opts.MaxBackoff/2, "%v to %v", shortest, longest)
}

// changeLog is a history of changes: changes[n-1] is the change with number n
// and snapshots[n-1] the configuration after it.
type changeLog struct {
	changes   []Change
	snapshots []Snapshot
}

// extend returns the log with one more change, whose token is the prefix
// followed by the number.
func (l changeLog) extend(prefix string) changeLog {
	last := Snapshot{}
	if n := len(l.snapshots); n > 0 {
		last = l.snapshots[n-1]
	}
	number := last.Number + 1
	doc := inventory.Document{DataCentres: []inventory.DataCentre{{Name: "praha"}}}
	doc.ClientAccounts = append(doc.ClientAccounts, last.Document.ClientAccounts...)
	account := inventory.ClientAccount{Name: fmt.Sprintf("%s%d", prefix, number), MaxInFlight: 1}
	doc.ClientAccounts = append(doc.ClientAccounts, account)
	c := Diff(last.Document, doc)
	c.Number, c.Token, c.Previous = number, fmt.Sprintf("%s%d", prefix, number), last.Token
	next, err := Apply(last.Document, c)
	if err != nil {
		panic(err)
	}
	changes := append([]Change(nil), l.changes...)
	snapshots := append([]Snapshot(nil), l.snapshots...)
	return changeLog{append(changes, c), append(snapshots, Snapshot{number, c.Token, next})}
}

func newChangeLog(n int) changeLog {
	var l changeLog
	for range n {
		l = l.extend("a")
	}
	return l
}

func (l changeLog) head() Head {
	if len(l.snapshots) == 0 {
		return Head{}
	}
	last := l.snapshots[len(l.snapshots)-1]
	return Head{Number: last.Number, Token: last.Token}
}

func conflictErrors(effects []Effect) []error {
	var errs []error
	for _, e := range effects {
		if c, ok := e.(Conflict); ok {
			errs = append(errs, c.Err)
		}
	}
	return errs
}

func adoptedNumber(effects []Effect) uint64 {
	for _, e := range effects {
		if a, ok := e.(Adopted); ok {
			return a.Number
		}
	}
	return 0
}

func TestReaderFollowsPlatform(t *testing.T) {
	s := New(Options{VM: "e1", Retained: 2})
	l := newChangeLog(5)
	assert.DeepEqual(t, s.Step(epoch, Tick{})[0], Effect(ReadHead{}))
	assert.DeepEqual(t, s.Step(epoch, HeadRead{l.head()}), []Effect{ReadChanges{After: 0, Limit: readLimit}})
	effects := s.Step(epoch, ChangesRead{l.changes[:3]})
	assert.Equal(t, adoptedNumber(effects), uint64(3))
	assert.DeepEqual(t, effects[len(effects)-1], Effect(ReadChanges{After: 3, Limit: readLimit}))
	assert.Equal(t, adoptedNumber(s.Step(epoch, ChangesRead{l.changes[3:]})), uint64(5))
	changes, snapshot := s.Since(3)
	assert.Assert(t, snapshot == nil)
	assert.DeepEqual(t, changes, l.changes[3:])
	_, snapshot = s.Since(1)
	assert.DeepEqual(t, *snapshot, l.snapshots[4])
}

func TestReaderReadsSnapshotWhenChangesAreDeleted(t *testing.T) {
	l := newChangeLog(6)
	head := l.head()
	head.Snapshot = 5
	s := New(Options{VM: "e1"})
	s.Step(epoch, Tick{})
	assert.DeepEqual(t, s.Step(epoch, HeadRead{head}), []Effect{ReadSnapshot{Number: 5}})
	effects := s.Step(epoch, SnapshotRead{l.snapshots[4]})
	assert.DeepEqual(t, effects, []Effect{
		Adopted{Number: 5, Token: "a5", Document: l.snapshots[4].Document},
		ReadChanges{After: 5, Limit: readLimit},
	})
	assert.Equal(t, adoptedNumber(s.Step(epoch, ChangesRead{l.changes[5:]})), uint64(6))
}

func TestConflictsAreReportedAndNotAdopted(t *testing.T) {
	current := newChangeLog(4)
	other := newChangeLog(2).extend("b").extend("b").extend("b")
	invalidChange := Change{Number: 5, Token: "x", Previous: "a4", Delete: Names{DataCentres: []string{"praha"}}}
	tests := []struct {
		name  string
		event Event
		kind  problem.Kind
	}{
		{"a digest with the same number", DigestReceived{Digest{VM: "e2", Number: 4, Token: "b4"}}, problem.ConfigConflict},
		{"a different change with a past number", Fetched{From: "e2", Changes: other.changes[2:3]}, problem.ConfigConflict},
		{"the next change of another history", Fetched{From: "e2", Changes: other.changes[4:]}, problem.ConfigConflict},
		{"a snapshot with the same number", SnapshotRead{other.snapshots[3]}, problem.ConfigConflict},
		{"a head with the same number", HeadRead{Head{Number: 4, Token: "b4"}}, problem.ConfigConflict},
		{"a head with a lower number", HeadRead{Head{Number: 3, Token: "a3"}}, problem.ConfigConflict},
		{"an invalid change", ChangesRead{[]Change{invalidChange}}, problem.ConfigInvalid},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := New(Options{VM: "e1"})
			s.Step(epoch, Fetched{From: "e2", Changes: current.changes})
			errs := conflictErrors(s.Step(epoch, tc.event))
			assert.Equal(t, len(errs), 1)
			assert.Assert(t, problem.Is(errs[0], tc.kind), "%v", errs[0])
			assert.Equal(t, s.Number(), uint64(4))
			assert.DeepEqual(t, s.Document(), current.snapshots[3].Document)
		})
	}
}

func TestFreshNodeStartsFromPeers(t *testing.T) {
	l := newChangeLog(3)
	s := New(Options{VM: "e1"})
	digests := s.Step(epoch, PeersChanged{Local: []string{"e2", "e3"}})
	assert.Equal(t, len(digests), 2, "want digests to both peers")
	s.Step(epoch, Tick{})
	s.Step(epoch, ReadFailed{})
	assert.DeepEqual(t, s.Step(epoch, DigestReceived{Digest{VM: "e2", Number: 3, Token: "a3", ReadAge: -1}}),
		[]Effect{Fetch{From: "e2"}})
	// e2 does not answer. The fetch times out and the next peer is asked.
	s.Step(epoch, DigestReceived{Digest{VM: "e3", Number: 3, Token: "a3", ReadAge: -1}})
	effects := s.Step(epoch.Add(DefaultFetchTimeout), Tick{})
	assert.Assert(t, contains(effects, Fetch{From: "e3"}))
	assert.Equal(t, adoptedNumber(s.Step(epoch, Fetched{From: "e3", Snapshot: &l.snapshots[2]})), uint64(3))
}

func contains(effects []Effect, want Effect) bool {
	for _, e := range effects {
		if reflect.DeepEqual(e, want) {
			return true
		}
	}
	return false
}

// mixTwoHistories sends a node changes, snapshots and heads of two histories
// that diverge at a random number, in random order. It returns an error if the
// number decreases or the document in force is not that of one of the histories
// at this number. edit may modify the changes before they are sent.
func mixTwoHistories(t *rapid.T, edit func(*State, []Change) []Change) error {
	fork := rapid.IntRange(0, 3).Draw(t, "fork")
	a := newChangeLog(fork)
	b := a
	for range 6 - fork {
		a, b = a.extend("a"), b.extend("b")
	}
	s := New(Options{VM: "e1", Retained: 3})
	var last uint64
	for range 20 {
		src := rapid.SampledFrom([]changeLog{a, b}).Draw(t, "line")
		effects := s.Step(epoch, drawEvent(t, s, src, edit))
		if s.Number() < last {
			return errors.New("the number decreased")
		}
		if n := adoptedNumber(effects); n != 0 && n == last {
			return errors.New("one number was adopted twice")
		}
		last = s.Number()
		if last > 0 && !reflect.DeepEqual(s.Document(), a.snapshots[last-1].Document) &&
			!reflect.DeepEqual(s.Document(), b.snapshots[last-1].Document) {
			return errors.New("the document mixes two histories")
		}
	}
	return nil
}

func drawEvent(t *rapid.T, s *State, src changeLog, edit func(*State, []Change) []Change) Event {
	n := rapid.IntRange(1, 6).Draw(t, "number")
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		return HeadRead{Head{Number: uint64(n), Token: src.snapshots[n-1].Token}}
	case 1:
		return SnapshotRead{src.snapshots[n-1]}
	case 2:
		return DigestReceived{Digest{VM: "e2", Number: uint64(n), Token: src.snapshots[n-1].Token}}
	default:
		return Fetched{From: "e2", Changes: edit(s, src.changes[n-1:])}
	}
}

func TestNumberNeverDecreasesAndHistoriesNeverMix(t *testing.T) {
	unmodified := func(_ *State, changes []Change) []Change { return changes }
	rapid.Check(t, func(t *rapid.T) { assert.NilError(t, mixTwoHistories(t, unmodified)) })
}

// TestHistoryCheckNeedsPrevious verifies that the histories mix, and that
// mixTwoHistories detects it, if Previous is made to match every time.
func TestHistoryCheckNeedsPrevious(t *testing.T) {
	relinkPrevious := func(s *State, changes []Change) []Change {
		edited := append([]Change(nil), changes...)
		previous := s.Token()
		for i := range edited {
			edited[i].Previous = previous
			previous = edited[i].Token
		}
		return edited
	}
	detected := false
	rapid.Check(t, func(t *rapid.T) { detected = mixTwoHistories(t, relinkPrevious) != nil || detected })
	assert.Assert(t, detected)
}
