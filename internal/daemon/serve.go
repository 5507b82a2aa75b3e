package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxRetries        = 3
	// drainNotice is how long a stopping node goes on taking requests, so
	// that the balancer and the other nodes hear that it stops.
	drainNotice = 1 * time.Second
	pollStop    = 20 * time.Millisecond
)

// Listeners are the node's open ports.
type Listeners struct {
	Callers, Peers, Operators net.Listener
}

// Listen opens the ports that the settings name.
func Listen(callers, peerAddress, operators string) (Listeners, error) {
	var l Listeners
	var err error
	open := func(address, key string) net.Listener {
		if err != nil {
			return nil
		}
		var ln net.Listener
		ln, err = net.Listen("tcp", address)
		err = errors.Annotatef(err, "listen.%s; choose an address of this VM and a free port", key)
		return ln
	}
	l.Callers = open(callers, "callers")
	l.Peers = open(peerAddress, "peers")
	l.Operators = open(operators, "operators")
	if err != nil {
		l.close()
	}
	return l, err
}

func (l Listeners) close() {
	for _, ln := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if ln != nil {
			ln.Close()
		}
	}
}

// Run serves until the context ends and then stops gracefully.
func (n *Node) Run(ctx context.Context, l Listeners) error {
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	servers := n.servers(n.secure(l))
	var g errgroup.Group
	for ln, srv := range servers {
		g.Go(func() error {
			err := srv.Serve(ln)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Trace(err)
		})
	}
	n.start(work)
	select {
	case <-ctx.Done():
	case <-n.stopAsked:
	}
	n.shutdown(servers)
	endWork()
	n.wg.Wait()
	return errors.Trace(g.Wait())
}

func (n *Node) servers(l Listeners) map[net.Listener]*http.Server {
	gw := gateway.New(gateway.Options{
		VM: n.set.VM, Backend: n, Endpoints: n.endpoints, Peers: n.forwards,
		Logger: n.log, Registry: n.registry, Tracer: n.tracer,
		MaxBody:    n.set.Limits.MaxBodyBytes,
		MaxTimeout: n.set.Limits.RequestTimeout, MaxRetries: maxRetries, Recorder: n.requests,
	})
	twirp := peerspb.NewPeersServer(peers.NewServer(n))
	mux := http.NewServeMux()
	mux.Handle(twirp.PathPrefix(), peers.Traced(twirp, n.tracer))
	mux.Handle(gateway.ForwardPrefix+"/", gw.ForwardHandler())
	return map[net.Listener]*http.Server{
		l.Callers:   n.server(gw.CallerHandler()),
		l.Peers:     n.server(mux),
		l.Operators: n.server(n.operatorHandler()),
	}
}

func (n *Node) server(h http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Protocols:         protocols,
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.set.Limits.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// shutdown fails the readiness check, gives up the leases and shares, lets
// requests in flight end within the grace and closes the servers.
func (n *Node) shutdown(servers map[net.Listener]*http.Server) {
	n.log.Info("stopping", "grace", n.set.Intervals.StopGrace)
	n.locked(func(now time.Time) {
		n.stopping = true
		n.shares.Stop()
		n.reportUsage(false)
		n.stepLease(now, n.lease, lease.Stop{})
		n.stepLease(now, n.accounts, lease.Stop{})
		n.stepClaims(now, claim.Stop{})
	})
	time.Sleep(drainNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.set.Intervals.StopGrace)
	defer cancel()
	n.awaitHandOver(ctx)
	var g errgroup.Group
	for _, srv := range servers {
		g.Go(func() error { return srv.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		n.log.Warn("the grace passed with requests in flight", "error", err)
	}
}

// awaitHandOver waits until this node holds no lease and no claim that the
// table lacks.
func (n *Node) awaitHandOver(ctx context.Context) {
	ticker := time.NewTicker(pollStop)
	defer ticker.Stop()
	for {
		done := false
		n.locked(func(time.Time) {
			accounts := !n.accountsCandidate || n.accounts.HasHandedOver()
			done = n.lease.HasHandedOver() && accounts && n.claimsClosed
		})
		if done {
			return
		}
		select {
		case <-ctx.Done():
			n.log.Warn("the grace passed before leases and claims were handed over")
			return
		case <-ticker.C:
		}
	}
}
