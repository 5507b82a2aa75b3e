package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

var start = time.Unix(1000, 0)

func grantTo(s *Shares, sequence uint64, limit, cold int) bool {
	return s.ApplyGrant(start, Grant{
		Source: "dc", Fence: member.Fence{Term: 1, Sequence: sequence},
		Node: "a", NodeIncarnation: "a.1", Endpoint: "e", Incarnation: "e.1",
		Limit: limit, Cold: cold,
	})
}

func acquireAll(s *Shares) []Ticket {
	var tickets []Ticket
	for {
		ticket, ok := s.Acquire("e")
		if !ok {
			return tickets
		}
		tickets = append(tickets, ticket)
	}
}

func TestNewIncarnationIsColdAtOnce(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 8, 2))
	old := acquireAll(s)
	assert.Equal(t, len(old), 8)

	s.Observe(start, "e", "e.2")
	assert.DeepEqual(t, s.State("e"), State{Incarnation: "e.2", Limit: 2})
	assert.Equal(t, len(acquireAll(s)), 2)

	// Requests of the old incarnation neither free nor use up the new share.
	for _, ticket := range old {
		s.Release(ticket, false)
	}
	assert.Equal(t, s.State("e").InFlight, 2)
	assert.Equal(t, s.Free("e"), 0)
}

func TestLateNameOfOldIncarnationIsNoNews(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 8, 2))
	s.Observe(start, "e", "e.2")
	s.Observe(start.Add(time.Second), "e", "e.1")
	assert.Equal(t, s.State("e").Incarnation, "e.2")
}

func TestOldGrantsAreRefused(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 5, 2, 1))
	assert.Assert(t, !grantTo(s, 4, 8, 1), "earlier fence")
	assert.Assert(t, s.ApplyAnnouncement(Announcement{Source: "dc", Term: 2, Node: "a", Nonce: 1}))
	assert.Assert(t, !grantTo(s, 6, 8, 1), "earlier term")
	assert.Equal(t, s.State("e").Limit, 2)

	restarted := NewShares("a", "a.2")
	assert.Assert(t, !grantTo(restarted, 7, 8, 1), "earlier process")
	assert.Equal(t, restarted.Free("e"), 0)
}

func TestDoubtHoldsToColdPart(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 8, 2))
	s.SuspectRestart("e")
	assert.Equal(t, len(acquireAll(s)), 2)
	s.Observe(start, "e", "e.1")
	assert.Equal(t, len(acquireAll(s)), 6)
}

func TestStopGivesEverythingUp(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 8, 2))
	ticket, _ := s.Acquire("e")
	s.Stop()
	assert.Equal(t, s.Free("e"), 0)
	s.ApplyGrant(start, Grant{
		Source: "other", Fence: member.Fence{Term: 1, Sequence: 1},
		Node: "a", NodeIncarnation: "a.1", Endpoint: "f", Incarnation: "f.1", Limit: 8, Cold: 8,
	})
	assert.Equal(t, s.Free("f"), 0)
	usage := s.Report("dc", true)
	assert.Assert(t, usage.Stopping)
	assert.Equal(t, usage.Entries[0].Held, 1, "the request in flight still counts")
	s.Release(ticket, true)
	assert.Equal(t, s.Report("dc", true).Entries[0].Held, 0)
}

func TestReportListsOnlyChanges(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 8, 2))
	assert.Equal(t, len(s.Report("dc", false).Entries), 1)
	assert.Equal(t, len(s.Report("dc", false).Entries), 0)
	assert.Equal(t, len(s.Report("dc", true).Entries), 1)
}

// TestReportsDoNotGrowWithRequests counts the entries that steady work within
// a share causes.
func TestReportsDoNotGrowWithRequests(t *testing.T) {
	s := NewShares("a", "a.1")
	assert.Assert(t, grantTo(s, 1, 64, 2))
	entries := 0
	work := func(requests int) int {
		entries = 0
		for range requests {
			first, _ := s.Acquire("e")
			second, _ := s.Acquire("e")
			entries += len(s.Report("dc", false).Entries)
			s.Release(first, true)
			entries += len(s.Report("dc", false).Entries)
			s.Release(second, true)
		}
		return entries
	}
	acquireAll(s)
	for range 32 {
		s.Release(Ticket{"e", "e.1"}, true)
	}
	assert.Assert(t, work(1000) <= 25, "%d entries", entries)
	assert.Assert(t, work(10000) <= 25, "%d entries", entries)
}
