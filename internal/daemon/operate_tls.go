package daemon

import (
	"crypto/tls"

	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// newPeerTransport returns a client of other entry VMs. Without a store it
// uses plain TCP.
func newPeerTransport(store *tlsconf.Store) *transport.Client {
	if store == nil {
		return transport.New(nil)
	}
	return transport.NewReloading(store.Client)
}

// newControlTransport returns the client of messages between entry VMs.
func newControlTransport(store *tlsconf.Store) *transport.Client {
	if store == nil {
		return transport.NewHTTP2(nil)
	}
	return transport.NewHTTP2(store.Client)
}

// secure puts TLS on the peers' and operators' listeners, if it is set.
func (n *Node) secure(l Listeners) Listeners {
	if n.tls != nil {
		l.Peers = tls.NewListener(l.Peers, n.tls.Server())
		l.Operators = tls.NewListener(l.Operators, n.tls.Server())
	}
	return l
}
