package config

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// fetcher is the node's reading from peers.
type fetcher struct {
	from     string // empty while none is in flight
	deadline time.Time
	ahead    []source // peers known to be ahead, newest last
}

type source struct {
	vm     string
	number uint64
}

// maxSources bounds the peers remembered as ahead.
const maxSources = 4

func (f *fetcher) remember(src source) {
	f.forget(src.vm)
	f.ahead = append(f.ahead, src)
	if len(f.ahead) > maxSources {
		f.ahead = slices.Delete(f.ahead, 0, 1)
	}
}

func (f *fetcher) forget(vm string) {
	f.ahead = slices.DeleteFunc(f.ahead, func(s source) bool { return s.vm == vm })
}

func (s *State) peersChanged(now time.Time, ev PeersChanged) []Effect {
	first := len(s.local)+len(s.remote) == 0
	s.local = s.sortedOthers(ev.Local)
	s.remote = s.sortedOthers(ev.Remote)
	wasReader := s.Reader()
	s.rank = rendezvousRank(s.opts.VM, s.local)
	if s.Reader() && (first || !wasReader) {
		s.poll.next = now.Add(time.Duration(s.rank) * s.opts.PollInterval / time.Duration(s.opts.Readers))
	}
	if first && s.current.Number == 0 {
		return s.tellSome(now)
	}
	return nil
}

func (s *State) sortedOthers(vms []string) []string {
	out := slices.DeleteFunc(slices.Clone(vms), func(vm string) bool { return vm == s.opts.VM })
	slices.Sort(out)
	return slices.Compact(out)
}

// rendezvousRank returns the position of vm among the others by the hash of
// their names. Nodes that agree on the live VMs agree on the ranks.
func rendezvousRank(vm string, others []string) int {
	rank := 0
	for _, other := range others {
		if preferred(other, vm) {
			rank++
		}
	}
	return rank
}

// preferred reports whether a comes before b as a reader.
func preferred(a, b string) bool {
	x, y := hashName(a), hashName(b)
	return x > y || x == y && strings.Compare(a, b) < 0
}

func hashName(vm string) uint64 {
	return xxhash.Sum64String("config/reader/" + vm)
}

func (s *State) tickDigest(now time.Time) []Effect {
	if now.Before(s.nextDigest) {
		return nil
	}
	s.nextDigest = now.Add(s.opts.DigestInterval)
	s.digests++
	peers := s.local
	toRemote := s.Reader() && s.digests%remoteDigestEvery == 0
	if len(peers) == 0 || toRemote && len(s.remote) > 0 {
		peers = s.remote
	}
	if len(peers) == 0 {
		return nil
	}
	return []Effect{SendDigest{To: peers[s.rng.IntN(len(peers))], Digest: s.Digest(now)}}
}

// tellSome sends the digest to Fanout peers of the data centre.
func (s *State) tellSome(now time.Time) []Effect {
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

func (s *State) digestReceived(now time.Time, d Digest) []Effect {
	s.heardAt = now
	if d.ReadAge >= 0 {
		s.heardRead(now, d)
	}
	switch {
	case d.Number > s.current.Number:
		s.fetch.remember(source{d.VM, d.Number})
		return s.startFetch(now)
	case d.Number < s.current.Number:
		return []Effect{SendDigest{To: d.VM, Digest: s.Digest(now)}}
	case d.Token != s.current.Token:
		return s.conflict(d.Number, d.VM, d.Token, "a peer has another change of the same number")
	}
	return nil
}

// startFetch asks the newest peer that is ahead, unless a fetch is in flight.
func (s *State) startFetch(now time.Time) []Effect {
	s.fetch.ahead = slices.DeleteFunc(s.fetch.ahead, func(src source) bool { return src.number <= s.current.Number })
	if s.fetch.from != "" || len(s.fetch.ahead) == 0 {
		return nil
	}
	s.fetch.from = s.fetch.ahead[len(s.fetch.ahead)-1].vm
	s.fetch.deadline = now.Add(s.opts.FetchTimeout)
	return []Effect{Fetch{From: s.fetch.from, After: s.current.Number}}
}

func (s *State) tickFetch(now time.Time) []Effect {
	if s.fetch.from == "" || now.Before(s.fetch.deadline) {
		return nil
	}
	return s.fetchFailed(now, s.fetch.from)
}

func (s *State) fetchFailed(now time.Time, from string) []Effect {
	s.fetch.forget(from)
	if s.fetch.from == from {
		s.fetch.from = ""
	}
	return s.startFetch(now)
}

func (s *State) fetched(now time.Time, ev Fetched) []Effect {
	before := s.current.Number
	var effects []Effect
	if ev.Snapshot != nil {
		effects = s.adoptSnapshot(now, ev.From, *ev.Snapshot)
	}
	effects = append(effects, s.adopt(now, ev.From, ev.Changes)...)
	if s.current.Number == before {
		// The peer gave nothing usable; another one may.
		s.fetch.forget(ev.From)
	}
	if s.fetch.from == ev.From {
		s.fetch.from = ""
	}
	return append(effects, s.startFetch(now)...)
}
