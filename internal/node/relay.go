package node

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/relay"
)

// peerServer serves this node's state to its peers.
type peerServer Node

var _ relay.Responder = (*peerServer)(nil)

// Answer implements relay.Responder.
func (s *peerServer) Answer(after news.Position) news.Answer {
	answer := s.state.Answer(after)
	s.coord.MarkRowRequested()
	if row, revision := s.coord.Row(); answer.Known && revision > after.Lease {
		answer.Lease = &news.Lease{Row: row, Revision: revision}
	}
	return answer
}

// AddRequester implements relay.Responder.
func (s *peerServer) AddRequester(n news.Node) { s.follower.AddRequester(n) }

// peerListener applies the updates from peers.
type peerListener Node

var _ relay.Listener = (*peerListener)(nil)

// Position implements relay.Listener.
func (l *peerListener) Position() news.Position {
	p := l.state.Position()
	_, p.Lease = l.coord.Row()
	return p
}

// ApplyAnswer implements relay.Listener.
func (l *peerListener) ApplyAnswer(asked time.Time, from news.Node, answer news.Answer) {
	l.state.ApplyAnswer(asked, from.DataCentre == l.cfg.DataCentre, answer)
	if answer.Lease != nil {
		l.coord.ObserveRow(*answer.Lease)
	}
}

// ClearPeerUpdates implements relay.Listener.
func (l *peerListener) ClearPeerUpdates() { l.state.ClearPeerUpdates() }

// IsPlatformUnreachable implements relay.Listener.
func (l *peerListener) IsPlatformUnreachable() bool { return l.state.IsPlatformUnreachable() }
