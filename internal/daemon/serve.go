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
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
)

const (
	// readHeaderTimeout and idleTimeout are for the peers' and operators' connections.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxRetries        = 3
	// stopNotice is how long a stopping node continues to accept requests, so
	// that the load balancer and the other nodes can learn that it is stopping.
	stopNotice       = 1 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// Listeners are the node's listening sockets.
type Listeners struct {
	Callers, Peers, Operators net.Listener
}

// Listen opens listeners on the given addresses.
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

// Run serves until the context ends or an operator requests a shutdown, and
// then stops gracefully.
func (n *Node) Run(ctx context.Context, l Listeners) error {
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	servers := n.servers(n.withTLS(l))
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
	n.start(workCtx)
	select {
	case <-ctx.Done():
	case <-n.stopRequested:
	}
	n.shutdown(servers)
	cancelWork()
	n.wg.Wait()
	return errors.Trace(g.Wait())
}

func (n *Node) servers(l Listeners) map[net.Listener]*http.Server {
	memory := bodylimit.NewMemory(bodylimit.Sizes{Requests: requestMemory(n.settings.Limits), Responses: maxAnswers})
	n.requestMemory = memory.Requests
	n.callers = n.newCallers(memory)
	gw := gateway.New(gateway.Options{
		VM: n.settings.VM, Backend: n, Endpoints: n.endpoints, Peers: n.forwards,
		Logger: n.log, Registry: n.registry, Tracer: n.tracer,
		MaxBody:    n.settings.Limits.MaxBodyBytes,
		MaxTimeout: n.settings.Limits.RequestTimeout, MaxRetries: maxRetries, Recorder: n.requests,
		Memory: memory, Connections: n.callers, MaxStreams: int64(n.maxConnections()), StalledWrite: n.settings.Limits.StalledWrite,
	})
	twirp := peerspb.NewPeersServer(peers.NewServer(n))
	mux := http.NewServeMux()
	mux.Handle(twirp.PathPrefix(), peers.Traced(twirp, n.tracer))
	mux.Handle(gateway.ForwardPrefix+"/", gw.ForwardHandler())
	return map[net.Listener]*http.Server{
		n.callers.Listen(l.Callers): n.callersServer(gw.CallerHandler()),
		l.Peers:                     n.server(mux),
		l.Operators:                 n.server(n.operatorHandler()),
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
		MaxHeaderBytes:    n.settings.Limits.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// shutdown fails the readiness check, gives up the leases and shares, waits up
// to the grace period for requests in flight and closes the servers.
func (n *Node) shutdown(servers map[net.Listener]*http.Server) {
	n.log.Info("stopping", "grace", n.settings.Intervals.StopGrace)
	n.locked(func(now time.Time) {
		n.stopping = true
		n.shares.Stop()
		n.reportUsage(false)
		n.stepLease(now, n.lease, lease.Stop{})
		n.stepLease(now, n.accounts, lease.Stop{})
		n.stepClaims(now, claim.Stop{})
	})
	time.Sleep(stopNotice)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Intervals.StopGrace)
	defer cancel()
	n.waitForHandover(ctx)
	var g errgroup.Group
	for _, srv := range servers {
		g.Go(func() error { return srv.Shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		n.log.Warn("the grace period ended with requests still in flight", "error", err)
	}
}

// waitForHandover waits until this node has handed over its leases and written
// its claims to the table.
func (n *Node) waitForHandover(ctx context.Context) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		done := false
		n.locked(func(time.Time) {
			accounts := !n.isAccountsCandidate || n.accounts.HasHandedOver()
			done = n.lease.HasHandedOver() && accounts && n.claimsStopped
		})
		if done {
			return
		}
		select {
		case <-ctx.Done():
			n.log.Warn("the grace period ended before leases and claims were handed over")
			return
		case <-ticker.C:
		}
	}
}
