package node

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/relay"
)

// peerServer serves this node's state to its peers.
type peerServer Node

var _ relay.Teller = (*peerServer)(nil)

// Answer implements relay.Teller.
func (s *peerServer) Answer(after news.Position) news.Answer {
	answer := s.state.Answer(after)
	s.coord.MarkRowRequested()
	if row, revision := s.coord.Row(); answer.Known && revision > after.Lease {
		answer.Lease = &news.Lease{Row: row, Revision: revision}
	}
	return answer
}

// Met implements relay.Teller.
func (s *peerServer) Met(n news.Node) { s.follower.Met(n) }

// peerListener applies the updates from peers.
type peerListener Node

var _ relay.Listener = (*peerListener)(nil)

// Position implements relay.Listener.
func (l *peerListener) Position() news.Position {
	p := l.state.Position()
	_, p.Lease = l.coord.Row()
	return p
}

// Hear implements relay.Listener.
func (l *peerListener) Hear(asked time.Time, from news.Node, answer news.Answer) {
	l.state.Hear(asked, from.DataCentre == l.cfg.DataCentre, answer)
	if answer.Lease != nil {
		l.coord.ObserveRow(*answer.Lease)
	}
}

// Alone implements relay.Listener.
func (l *peerListener) Alone() { l.state.Alone() }

// Unreadable implements relay.Listener.
func (l *peerListener) Unreadable() bool { return l.state.Unreadable() }
