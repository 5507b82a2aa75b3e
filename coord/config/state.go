package config

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// State is the state machine by which one node follows the sequence of
// configurations.
//
// The number of the configuration in force never decreases. A change is adopted
// only if it has the next number and contains the token of the change in force,
// a snapshot only if its number is higher. Two nodes at the same number therefore
// have the same document, unless the platform itself returned two different
// histories, which is reported as a Conflict.
type State struct {
	opts   Options
	rng    *rand.Rand
	local  []string // live entry VMs of the data centre, without this one
	remote []string // some live entry VMs of other data centres
	rank   int      // of this node in the order of readers, from 0

	current Snapshot
	history history

	poll  poller
	fetch fetcher

	started      time.Time
	lastDigestAt time.Time // when a digest last arrived from any peer
	lastReadAt   time.Time // newest successful platform read known, by any node
	lastReadBy   string    // the VM that performed it
	nextDigest   time.Time
	digests      uint64 // number of periodic digests due so far
	lastConflict conflictKey
}

// New returns a State without a configuration.
func New(opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, hashName(opts.VM))),
	}
}

// Number returns the number of the configuration in force, or 0 if there is
// none.
func (s *State) Number() uint64 { return s.current.Number }

// Token returns the token of the change in force.
func (s *State) Token() string { return s.current.Token }

// Document returns the document in force. Callers must not modify it.
func (s *State) Document() inventory.Document { return s.current.Document }

// IsReader reports whether the node is one of those that poll the platform
// regularly.
func (s *State) IsReader() bool { return s.rank < s.opts.Readers }

// Digest returns the digest that the node sends to its peers.
func (s *State) Digest(now time.Time) Digest {
	age := time.Duration(-1)
	if !s.lastReadAt.IsZero() {
		age = now.Sub(s.lastReadAt)
	}
	return Digest{
		VM: s.opts.VM, Number: s.current.Number, Token: s.current.Token,
		ReadAge: age, ReadBy: s.lastReadBy,
	}
}

// Since returns the answer to a peer's Fetch: the changes with numbers above
// after, or a snapshot if some of these changes are no longer retained. It
// returns nothing if the node has no later change.
func (s *State) Since(after uint64) ([]Change, *Snapshot) {
	if after >= s.current.Number {
		return nil, nil
	}
	if changes, ok := s.history.since(after); ok {
		return changes, nil
	}
	snapshot := s.current
	return nil, &snapshot
}

// Step processes one event and returns the resulting effects. The time must not
// decrease from one call to the next.
func (s *State) Step(now time.Time, ev Event) []Effect {
	if s.started.IsZero() {
		s.started = now
		s.nextDigest = now.Add(time.Duration(s.rng.Int64N(int64(s.opts.DigestInterval))))
	}
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		return s.handlePeersChanged(now, ev)
	case HeadRead:
		return s.handleHeadRead(now, ev.Head)
	case ChangesRead:
		return s.handleChangesRead(now, ev.Changes)
	case SnapshotRead:
		return s.handleSnapshotRead(now, ev.Snapshot)
	case ReadFailed:
		s.poll.recordFailure(now, s.pollBackoff())
		return nil
	case DigestReceived:
		return s.handleDigest(now, ev.Digest)
	case Fetched:
		return s.handleFetched(now, ev)
	case FetchFailed:
		return s.handleFetchFailed(now, ev.From)
	}
	return nil
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.tickPoll(now)
	effects = append(effects, s.tickFetch(now)...)
	return append(effects, s.tickDigest(now)...)
}
