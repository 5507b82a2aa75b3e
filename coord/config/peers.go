package config

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fetcher keeps track of fetching changes from peers. At most one fetch is in
// flight.
type fetcher struct {
	from     string // the peer asked, empty while no fetch is in flight
	deadline time.Time
	sources  []fetchSource // peers known to be ahead, the most recently heard from last
}

// fetchSource is a peer and the configuration number that it announced.
type fetchSource struct {
	vm     string
	number uint64
}

// maxSources limits the number of peers kept in fetcher.sources.
const maxSources = 4

func (f *fetcher) add(src fetchSource) {
	f.remove(src.vm)
	f.sources = append(f.sources, src)
	if len(f.sources) > maxSources {
		f.sources = slices.Delete(f.sources, 0, 1)
	}
}

func (f *fetcher) remove(vm string) {
	f.sources = slices.DeleteFunc(f.sources, func(s fetchSource) bool { return s.vm == vm })
}

// handlePeersChanged updates the peers and the node's rank. A node that becomes
// a reader delays its first poll by its rank, which staggers the readers' polls.
func (s *State) handlePeersChanged(now time.Time, ev PeersChanged) []Effect {
	first := len(s.local)+len(s.remote) == 0
	s.local = s.sortPeers(ev.Local)
	s.remote = s.sortPeers(ev.Remote)
	wasReader := s.IsReader()
	s.rank = rendezvousRank(s.opts.VM, s.local)
	if s.IsReader() && (first || !wasReader) {
		s.poll.nextPoll = now.Add(time.Duration(s.rank) * s.opts.PollInterval / time.Duration(s.opts.Readers))
	}
	if first && s.current.Number == 0 {
		return s.sendDigests(now)
	}
	return nil
}

// sortPeers returns the given VMs without the node's own, sorted and without
// duplicates.
func (s *State) sortPeers(vms []string) []string {
	out := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == s.opts.VM })
	slices.Sort(out)
	return slices.Compact(out)
}

// rendezvousRank returns the position of vm, from 0, when vm and the others are
// ordered by the hashes of their names. Nodes that agree on the set of live VMs
// compute the same ranks.
func rendezvousRank(vm string, others []string) int {
	rank := 0
	for _, other := range others {
		if ranksBefore(other, vm) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether a precedes b in the order of readers.
func ranksBefore(a, b string) bool {
	x, y := hashName(a), hashName(b)
	return x > y || x == y && strings.Compare(a, b) < 0
}

func hashName(vm string) uint64 {
	return xxhash.Sum64String("config/reader/" + vm)
}

// tickDigest sends the periodic digest to a random peer if it is due.
func (s *State) tickDigest(now time.Time) []Effect {
	if now.Before(s.nextDigest) {
		return nil
	}
	s.nextDigest = now.Add(s.opts.DigestInterval)
	s.digests++
	peers := s.local
	toRemote := s.IsReader() && s.digests%remoteDigestEvery == 0
	if len(peers) == 0 || toRemote && len(s.remote) > 0 {
		peers = s.remote
	}
	if len(peers) == 0 {
		return nil
	}
	return []Effect{SendDigest{To: peers[s.rng.IntN(len(peers))], Digest: s.Digest(now)}}
}

// sendDigests sends the node's digest to Fanout random peers of its data centre,
// or of other data centres if it has none there.
func (s *State) sendDigests(now time.Time) []Effect {
	peers := s.local
	if len(peers) == 0 {
		peers = s.remote
	}
	var effects []Effect
	for _, i := range s.rng.Perm(len(peers))[:min(s.opts.Fanout, len(peers))] {
		effects = append(effects, SendDigest{To: peers[i], Digest: s.Digest(now)})
	}
	return effects
}

// handleDigest starts a fetch if the peer is ahead and replies with the node's
// own digest if the peer is behind.
func (s *State) handleDigest(now time.Time, d Digest) []Effect {
	s.lastDigestAt = now
	if d.ReadAge >= 0 {
		s.updateLastRead(now, d)
	}
	switch {
	case d.Number > s.current.Number:
		s.fetch.add(fetchSource{d.VM, d.Number})
		return s.startFetch(now)
	case d.Number < s.current.Number:
		return []Effect{SendDigest{To: d.VM, Digest: s.Digest(now)}}
	case d.Token != s.current.Token:
		return s.reportConflict(d.Number, d.VM, d.Token, "a peer has a different change with the same number")
	}
	return nil
}

// startFetch starts a fetch from the peer that most recently announced a higher
// number, unless a fetch is in flight.
func (s *State) startFetch(now time.Time) []Effect {
	s.fetch.sources = slices.DeleteFunc(s.fetch.sources, func(src fetchSource) bool { return src.number <= s.current.Number })
	if s.fetch.from != "" || len(s.fetch.sources) == 0 {
		return nil
	}
	s.fetch.from = s.fetch.sources[len(s.fetch.sources)-1].vm
	s.fetch.deadline = now.Add(s.opts.FetchTimeout)
	return []Effect{Fetch{From: s.fetch.from, After: s.current.Number}}
}

// tickFetch fails the fetch in flight if it has timed out.
func (s *State) tickFetch(now time.Time) []Effect {
	if s.fetch.from == "" || now.Before(s.fetch.deadline) {
		return nil
	}
	return s.handleFetchFailed(now, s.fetch.from)
}

func (s *State) handleFetchFailed(now time.Time, from string) []Effect {
	s.fetch.remove(from)
	if s.fetch.from == from {
		s.fetch.from = ""
	}
	return s.startFetch(now)
}

func (s *State) handleFetched(now time.Time, ev Fetched) []Effect {
	before := s.current.Number
	var effects []Effect
	if ev.Snapshot != nil {
		effects = s.adoptSnapshot(now, ev.From, *ev.Snapshot)
	}
	effects = append(effects, s.adopt(now, ev.From, ev.Changes)...)
	if s.current.Number == before {
		// The peer returned nothing usable, so try another one.
		s.fetch.remove(ev.From)
	}
	if s.fetch.from == ev.From {
		s.fetch.from = ""
	}
	return append(effects, s.startFetch(now)...)
}
