package config

import (
	"math/rand/v2"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// State follows the sequence on one node.
//
// The number in force only grows: a change is adopted only if it is the next
// one and names the token of the one before, a snapshot only if its number is
// higher. So two nodes at the same number hold the same document unless the
// platform itself handed out two histories, which is reported as a Conflict.
type State struct {
	opts   Options
	rng    *rand.Rand
	local  []string // live entry VMs of the data centre without this one
	remote []string
	rank   int // of this node among the readers-to-be, from 0

	current Snapshot
	log     history

	poll  poller
	fetch fetcher

	started    time.Time
	heardAt    time.Time // a digest of any peer
	readAt     time.Time // the newest successful platform read known of
	readBy     string
	nextDigest time.Time
	digests    uint64
	reported   conflictKey
}

// New returns a State without a configuration.
func New(opts Options) *State {
	opts = opts.withDefaults()
	return &State{
		opts: opts,
		rng:  rand.New(rand.NewPCG(opts.Seed, hashName(opts.VM))),
	}
}

// Number returns the number in force, 0 without a configuration.
func (s *State) Number() uint64 { return s.current.Number }

// Token returns the token of the change in force.
func (s *State) Token() string { return s.current.Token }

// Document returns the document in force. It must not be altered.
func (s *State) Document() inventory.Document { return s.current.Document }

// Reader reports whether the node is one that polls the platform.
func (s *State) Reader() bool { return s.rank < s.opts.Readers }

// Digest returns what the node tells its peers.
func (s *State) Digest(now time.Time) Digest {
	age := time.Duration(-1)
	if !s.readAt.IsZero() {
		age = now.Sub(s.readAt)
	}
	return Digest{
		VM: s.opts.VM, Number: s.current.Number, Token: s.current.Token,
		ReadAge: age, ReadBy: s.readBy,
	}
}

// Since answers a peer's Fetch: the changes after a number, or a snapshot if
// the kept changes do not reach back that far.
func (s *State) Since(after uint64) ([]Change, *Snapshot) {
	if after >= s.current.Number {
		return nil, nil
	}
	if changes, ok := s.log.since(after); ok {
		return changes, nil
	}
	snapshot := s.current
	return nil, &snapshot
}

// Step handles one event. Times must not decrease from call to call.
func (s *State) Step(now time.Time, ev Event) []Effect {
	if s.started.IsZero() {
		s.started = now
		s.nextDigest = now.Add(time.Duration(s.rng.Int64N(int64(s.opts.DigestInterval))))
	}
	switch ev := ev.(type) {
	case Tick:
		return s.tick(now)
	case PeersChanged:
		return s.peersChanged(now, ev)
	case HeadRead:
		return s.headRead(now, ev.Head)
	case ChangesRead:
		return s.changesRead(now, ev.Changes)
	case SnapshotRead:
		return s.snapshotRead(now, ev.Snapshot)
	case ReadFailed:
		s.poll.failed(now, s.pollBackoff())
		return nil
	case DigestReceived:
		return s.digestReceived(now, ev.Digest)
	case Fetched:
		return s.fetched(now, ev)
	case FetchFailed:
		return s.fetchFailed(now, ev.From)
	}
	return nil
}

func (s *State) tick(now time.Time) []Effect {
	effects := s.tickPoll(now)
	effects = append(effects, s.tickFetch(now)...)
	return append(effects, s.tickDigest(now)...)
}
