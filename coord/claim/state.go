package claim

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// State is the state machine that runs one node's calls with idempotency keys.
//
// A call is dispatched only by the node whose token is in the key's row, or by
// the issuer of the key's ticket. A row can change to another token only from
// Released, which its claimant writes if nothing was sent. Other nodes may claim
// the key of a ticket only after the ticket's issuer has stated in the table
// that all its claims are there. So two nodes never dispatch the same key, no
// matter how they are delayed or paused, and a node dispatches a key again only
// if the previous attempt was certainly not sent.
type State struct {
	opts        Options
	started     time.Time
	entries     map[Key]*entry
	callers     map[uint64]*entry
	tokenCount  uint64
	serial      uint64
	usedTickets expiryHeap
	writer      writer
	reader      reader

	down     bool // the table cannot be reached
	stopping bool
	closed   bool // the closing row is written

	effects []Effect // of the current Step
}

// New returns a State without claims.
func New(opts Options) *State {
	return &State{
		opts:    opts.withDefaults(),
		entries: map[Key]*entry{},
		callers: map[uint64]*entry{},
		reader:  reader{pending: map[uint64][]*entry{}},
	}
}

// SetRate sets Options.CommitsPerSecond. It is called when the number of nodes
// that share the platform's write rate changes.
func (s *State) SetRate(commitsPerSecond float64) { s.opts.CommitsPerSecond = commitsPerSecond }

// Down reports whether this node considers the table unreachable.
func (s *State) Down() bool { return s.down }

// EntryCount returns the number of keys in memory.
func (s *State) EntryCount() int { return len(s.entries) }

// initStarted sets the time from which the ages of tickets are counted.
func (s *State) initStarted(now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
}

// Step handles one event and returns its effects. now must not decrease from
// call to call.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.initStarted(now)
	s.effects = nil
	s.handle(now, ev)
	s.flush(now)
	s.close(now)
	return s.effects
}

func (s *State) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Tick:
		s.handleTick(now)
	case Arrived:
		s.handleArrived(now, ev.Call)
	case Cancelled:
		s.handleCancelled(now, ev.Call)
	case Committed:
		s.handleCommitted(now, ev)
	case RowsRead:
		s.handleRowsRead(now, ev)
	case ReadFailed:
		s.handleReadFailed(now, ev.Read)
	case PeerAsked:
		s.handlePeerAsked(ev)
	case PeerReplied:
		s.handlePeerReplied(now, ev)
	case ForwardFailed:
		s.handleForwardFailed(now, ev)
	case Stop:
		s.handleStop(now)
	default:
		s.handleAttemptEvent(now, ev)
	}
}

func (s *State) handleTick(now time.Time) {
	s.probe(now)
	s.dispatchOverdue(now)
	s.expireTickets(now)
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) nextToken() string {
	s.tokenCount++
	return fmt.Sprintf("%s/%s/%d", s.opts.Self.VM, s.opts.Self.Incarnation, s.tokenCount)
}

// refuse answers a call that this node did not dispatch with an error. certain
// reports that no earlier call with the key was sent either.
func (s *State) refuse(w waiter, certain bool, err *problem.Error) {
	if err.RetryAfter == 0 {
		err = err.WithRetryAfter(s.opts.RetryAfter)
	}
	answer := *err
	answer.Ran = ranNo
	if !certain && !w.first {
		answer.Ran = problem.RanUnknown
	}
	s.emit(Answer{Call: w.call, Err: &answer})
}

func overloadedError() *problem.Error {
	return problem.New(problem.Overloaded, "too many keyed calls are waiting; this one was not dispatched", "repeat it with the same key later")
}

func tableDownError() *problem.Error {
	return problem.New(problem.PlatformDown,
		"the platform's table is unavailable, so the key cannot be claimed; this call was not dispatched",
		"repeat it with the same key later, or use a ticket as the key")
}

func stoppingError() *problem.Error {
	return problem.New(problem.Stopping, "the node is stopping; this call was not dispatched", "repeat it with the same key")
}
