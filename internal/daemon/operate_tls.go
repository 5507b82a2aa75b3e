package daemon

import (
	"crypto/tls"

	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// newPeerTransport returns a client for forwarding requests to other entry VMs.
// Without a store it uses plain TCP.
func newPeerTransport(store *tlsconf.Store) *transport.Client {
	if store == nil {
		return transport.New(nil)
	}
	return transport.NewReloading(store.Client)
}

// newControlTransport returns an HTTP/2 client for messages between entry VMs.
// Without a store it uses plain TCP.
func newControlTransport(store *tlsconf.Store) *transport.Client {
	if store == nil {
		return transport.NewHTTP2(nil)
	}
	return transport.NewHTTP2(store.Client)
}

// withTLS wraps the peers' and operators' listeners in TLS if it is configured.
func (n *Node) withTLS(l Listeners) Listeners {
	if n.tls != nil {
		l.Peers = tls.NewListener(l.Peers, n.tls.Server())
		l.Operators = tls.NewListener(l.Operators, n.tls.Server())
	}
	return l
}
