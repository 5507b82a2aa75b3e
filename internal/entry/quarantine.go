package entry

import (
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

// provenAfter is how long an endpoint must go on after it began to answer a
// request, to show that the request does not end endpoints.
const provenAfter = 500 * time.Millisecond

// SetTriesQuarantined sets whether this node is the one that tries quarantined
// parts of prompts again.
func (s *State) SetTriesQuarantined(tries bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.triesQuarantined = tries
}

// checkQuarantine returns why a request may not be sent because of what it contains, or
// nil. s.mu must be held.
func (s *State) checkQuarantine(now time.Time, q dispatch.Query) *dispatch.Refusal {
	v := s.quarantine.Check(now, quarantine.Query{Parts: q.Parts, Repeat: q.Repeat, MayTry: s.triesQuarantined})
	if v == nil {
		return nil
	}
	kind := "part "
	if v.Part.IsRequest() {
		kind = "request "
	}
	detail := kind + v.Part.String() + " at " + strings.Join(v.Ends, ", ")
	return &dispatch.Refusal{Reason: dispatch.Quarantined, RetryAfter: v.RetryAfter, Detail: detail}
}

// recordOutcome records what the end of a request says about what it contains. s.mu must
// be held.
func (s *State) recordOutcome(now time.Time, t *dispatch.Ticket, outcome dispatch.Outcome) {
	switch {
	case t.Proven || len(t.Parts) == 0:
	case outcome == dispatch.Succeeded:
		s.recordProven(now, t)
	case outcome == dispatch.Failed:
		s.quarantine.RecordBreak(now, s.targets.RunsOf(t), t.Parts)
	}
}

// recordProven records that the request of a ticket does not end endpoints. s.mu
// must be held.
func (s *State) recordProven(now time.Time, t *dispatch.Ticket) {
	t.Proven = true
	s.logReleased(s.quarantine.RecordAnswered(now, t.AnswerBegan(), t.Parts))
}

// recordFailure records that the endpoint of a ticket has answered with a complete
// failure, which it survived.
func (s *State) recordFailure(t *dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordProven(s.now(), t)
}

// recordRefusal records that the endpoint of a ticket refused a connection.
func (s *State) recordRefusal(t *dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.RecordRefusal(t)
}

// tickQuarantine finds out which endpoints have ended, and quarantines what they
// ended under. s.mu must be held.
func (s *State) tickQuarantine(now time.Time) {
	for _, vm := range s.quarantine.Confirm(now, s.statusSince) {
		s.log.Info("endpoint ended under requests", "endpoint", vm, "parts", partIDs(s.quarantine.PartsOf(vm)))
	}
	added, released := s.quarantine.Tick(now)
	s.logQuarantined(added, "")
	s.logReleased(released)
}

// statusSince returns what is known of a start of a VM since a time. s.mu must be
// held.
func (s *State) statusSince(start quarantine.Start, since time.Time) quarantine.Status {
	vm := s.vms.Get(start.VM)
	switch {
	case vm == nil:
		return quarantine.Unknown
	case vm.Born > start.Born || vm.Address == "":
		return quarantine.Ended
	case vm.Refused && !vm.Departing():
		return quarantine.Ended
	case vm.FailedProbes == 0 && vm.ReportedAt.After(since):
		return quarantine.Answered
	}
	return quarantine.Unknown
}

func (s *State) logQuarantined(added []quarantine.Quarantined, from string) {
	for _, q := range added {
		s.log.Warn("input quarantined", "part", q.Part.String(), "is_request", q.Part.IsRequest(), "endpoints", strings.Join(q.Ends, ","), "newest_end_age", q.EndAge, "from", from)
	}
}

func (s *State) logReleased(released []quarantine.Part) {
	for _, p := range released {
		s.log.Warn("input released", "part", p.String(), "is_request", p.IsRequest())
	}
}
