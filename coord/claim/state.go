package claim

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// State runs the keyed calls of one node.
//
// A call is dispatched only by the node that may: the one whose token stands
// in the key's row, or the issuer of the key's ticket. A row passes to
// another token only from Released, which its claimant writes when nothing
// was sent. A ticket passes to other nodes only when its issuer has stated in
// the table that all its claims are there. So two nodes never dispatch one
// key, whatever the delays and pauses, and a node never dispatches a key a
// second time unless the attempt before it was certainly not sent.
type State struct {
	opts    Options
	started time.Time
	entries map[Key]*entry
	callers map[uint64]*entry
	tokens  uint64
	serial  uint64
	used    expiryHeap
	writer  writer
	reader  reader

	down     bool // the table cannot be reached
	stopping bool
	closed   bool

	effects []Effect // of the current Step
}

// New returns a State that holds no claims.
func New(opts Options) *State {
	return &State{
		opts:    opts.withDefaults(),
		entries: map[Key]*entry{},
		callers: map[uint64]*entry{},
		reader:  reader{pending: map[uint64][]*entry{}},
	}
}

// SetRate changes Options.CommitsPerSecond, as when the number of nodes that
// share the platform's writes has changed.
func (s *State) SetRate(commitsPerSecond float64) { s.opts.CommitsPerSecond = commitsPerSecond }

// Down reports whether the node takes the table to be unreachable.
func (s *State) Down() bool { return s.down }

// EntryCount returns the number of keys in memory.
func (s *State) EntryCount() int { return len(s.entries) }

func (s *State) start(now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
}

// Step handles one event. Times must not decrease from call to call.
func (s *State) Step(now time.Time, ev Event) []Effect {
	s.start(now)
	s.effects = nil
	s.handle(now, ev)
	s.flush(now)
	s.close(now)
	return s.effects
}

func (s *State) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Tick:
		s.tick(now)
	case Arrived:
		s.arrived(now, ev.Call)
	case Cancelled:
		s.cancelled(now, ev.Call)
	case Committed:
		s.committed(now, ev)
	case RowsRead:
		s.rowsRead(now, ev)
	case ReadFailed:
		s.readFailed(now, ev.Read)
	case PeerAsked:
		s.peerAsked(ev)
	case PeerReplied:
		s.peerReplied(now, ev)
	case ForwardFailed:
		s.forwardFailed(now, ev)
	case Stop:
		s.stop(now)
	default:
		s.attemptEvent(now, ev)
	}
}

func (s *State) tick(now time.Time) {
	s.probe(now)
	s.runOverdue(now)
	s.expire(now)
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *State) nextToken() string {
	s.tokens++
	return fmt.Sprintf("%s/%s/%d", s.opts.Self.VM, s.opts.Self.Incarnation, s.tokens)
}

// refuse ends a call that this node did not dispatch. certain says that no
// earlier call with the key was sent either.
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

func overloaded() *problem.Error {
	return problem.New(problem.Overloaded, "too many keyed calls wait; this one was not dispatched", "repeat it with the same key later")
}

func tableDown() *problem.Error {
	return problem.New(problem.PlatformDown,
		"the platform's table is unavailable, so the key cannot be claimed; this call was not dispatched",
		"repeat it with the same key later, or use a ticket as the key")
}

func stoppingError() *problem.Error {
	return problem.New(problem.Stopping, "the node is stopping; this call was not dispatched", "repeat it with the same key")
}
