package node

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/relay"
)

// teller tells other nodes what this one knows.
type teller Node

var _ relay.Responder = (*teller)(nil)

// Answer implements relay.Teller.
func (t *teller) Answer(after news.Position) news.Answer {
	a := t.state.Answer(after)
	t.coord.Asked()
	if row, revision := t.coord.Row(); a.Known && revision > after.Lease {
		a.Lease = &news.Lease{Row: row, Revision: revision}
	}
	return a
}

// AddRequester implements relay.Teller.
func (t *teller) AddRequester(n news.Node) { t.follower.AddRequester(n) }

// listener takes in what other nodes tell.
type listener Node

var _ relay.Listener = (*listener)(nil)

// Position implements relay.Listener.
func (l *listener) Position() news.Position {
	p := l.state.Position()
	_, p.Lease = l.coord.Row()
	return p
}

// ApplyAnswer implements relay.Listener.
func (l *listener) ApplyAnswer(asked time.Time, from news.Node, a news.Answer) {
	l.state.ApplyAnswer(asked, from.DataCentre == l.set.DataCentre, a)
	if a.Lease != nil {
		l.coord.Seen(*a.Lease)
	}
}

// ClearPeerUpdates implements relay.Listener.
func (l *listener) ClearPeerUpdates() { l.state.ClearPeerUpdates() }

// IsPlatformUnreachable implements relay.Listener.
func (l *listener) IsPlatformUnreachable() bool { return l.state.IsPlatformUnreachable() }
