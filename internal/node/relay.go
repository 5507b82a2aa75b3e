package node

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/relay"
)

// peerServer serves this node's state to its peers.
type peerServer Node

var _ relay.Responder = (*peerServer)(nil)

// Answer implements relay.Responder.
func (s *peerServer) Answer(after updates.Position) updates.Answer {
	answer := s.state.Answer(after)
	answer.Process = s.process
	s.coord.MarkRowRequested()
	if row, rev := s.coord.Row(); answer.Known && rev.Version > 0 && rev.Compare(after.Lease) > 0 {
		answer.Lease = &updates.Lease{Row: row, Era: rev.Era, Revision: rev.Version}
	}
	return answer
}

// AddRequester implements relay.Responder.
func (s *peerServer) AddRequester(n updates.Node) { s.follower.AddRequester(n) }

// peerListener applies the updates from peers.
type peerListener Node

var _ relay.Listener = (*peerListener)(nil)

// Position implements relay.Listener.
func (l *peerListener) Position() updates.Position {
	p := l.state.Position()
	_, p.Lease = l.coord.Row()
	return p
}

// ApplyAnswer implements relay.Listener.
func (l *peerListener) ApplyAnswer(asked time.Time, from updates.Node, answer updates.Answer) {
	l.state.SetSource(l.follower.Spread().IsLarge(), l.follower.Relays(from))
	l.state.ApplyAnswer(asked, from.DataCentre == l.cfg.DataCentre, answer)
	if answer.Lease != nil {
		l.coord.ObserveRow(*answer.Lease)
	}
}

// ClearPeerUpdates implements relay.Listener.
func (l *peerListener) ClearPeerUpdates() { l.state.ClearPeerUpdates() }

// IsPlatformUnreachable implements relay.Listener.
func (l *peerListener) IsPlatformUnreachable() bool { return l.state.IsPlatformUnreachable() }
