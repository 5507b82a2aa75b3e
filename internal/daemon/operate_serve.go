package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/operator"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

const (
	// operatorsEntry is the gossip key of the address of a node's operators'
	// interface.
	operatorsEntry = "operators"
	// forwardTimeout bounds a request that is forwarded to another node.
	forwardTimeout    = 2 * time.Second
	maxForwardedBytes = 1 << 20 // bytes
)

// initOperatorInterface initialises the state of the operators' interface and
// publishes its address.
func (n *Node) initOperatorInterface() {
	n.requests = newRequestRing(requestRingSize)
	n.stopRequested = make(chan struct{})
	n.requestStop = sync.OnceFunc(func() { close(n.stopRequested) })
	n.gossip.Publish(operatorsEntry, gossip.Global, []byte(n.settings.Listen.Operators))
}

// operatorHandler returns the handler of the operators' interface.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.StatusPath, n.serveStatus)
	mux.HandleFunc("GET "+operator.ExplainVMPath+"{vm}", n.serveExplainVM)
	mux.HandleFunc("GET "+operator.ExplainRequestPath+"{id}", n.serveExplainRequest)
	mux.HandleFunc("POST "+operator.StopPath, n.serveShutdown)
	mux.HandleFunc("POST "+operator.StopVMPath+"{name}", n.serveStop(group.ScopeVM))
	mux.HandleFunc("POST "+operator.StopGroupPath+"{name...}", n.serveStop(group.ScopeGroup))
	mux.HandleFunc("POST "+operator.StopDataCentrePath+"{name}", n.serveStop(group.ScopeDataCentre))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		telemetry.WriteMetrics(w, n.registry)
	})
	return mux
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	var s operator.Status
	n.locked(func(now time.Time) { s = n.status(now) })
	n.writeJSON(w, http.StatusOK, s)
}

// serveExplainVM forwards a request to the coordinator of the VM's data centre.
// If this node is the coordinator, or the coordinator does not answer, it
// returns this node's own explanation.
func (n *Node) serveExplainVM(w http.ResponseWriter, r *http.Request) {
	vm := r.PathValue("vm")
	var e operator.VMExplanation
	var p *problem.Error
	var coordinator string
	n.locked(func(now time.Time) {
		e, p = n.explainVM(now, vm)
		coordinator = n.coordinatorAddress(now, e.DataCentre)
	})
	if p != nil {
		n.writeProblem(w, p)
		return
	}
	if coordinator != "" && r.Header.Get(operator.HeaderPassed) == "" {
		if passed, ok := n.forwardExplanation(r, coordinator); ok {
			e = passed
		}
	}
	n.writeJSON(w, http.StatusOK, e)
}

// coordinatorAddress returns the operators' address of a data centre's
// coordinator. It is empty if the coordinator is this node, unknown or not
// live. n.mu must be held.
func (n *Node) coordinatorAddress(now time.Time, dataCentre string) string {
	vm, _ := n.coordinatorOf(now, dataCentre)
	if vm == "" || vm == n.settings.VM || !n.gossip.IsLive(now, vm) {
		return ""
	}
	node, _ := n.gossip.Get(vm)
	return string(node.Entry(operatorsEntry))
}

// forwardExplanation sends the same request to another node.
func (n *Node) forwardExplanation(r *http.Request, address string) (e operator.VMExplanation, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), forwardTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.control.URL(address)+r.URL.EscapedPath(), nil)
	if err != nil {
		return e, false
	}
	req.Header.Set(operator.HeaderPassed, n.settings.VM)
	resp, err := n.control.Do(req)
	if err != nil {
		n.log.Debug("the coordinator did not answer an explain request", "address", address, "error", err)
		return e, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxForwardedBytes)).Decode(&e)
	return e, err == nil && resp.StatusCode == http.StatusOK
}

func (n *Node) serveExplainRequest(w http.ResponseWriter, r *http.Request) {
	e, p := n.explainRequest(r.PathValue("id"))
	if p != nil {
		n.writeProblem(w, p)
		return
	}
	n.writeJSON(w, http.StatusOK, e)
}

// serveShutdown starts the graceful shutdown of this daemon.
func (n *Node) serveShutdown(w http.ResponseWriter, r *http.Request) {
	n.log.Info("shutdown requested by an operator", "author", n.author(r))
	w.WriteHeader(http.StatusAccepted)
	n.requestStop()
}

func (n *Node) serveStop(scope group.Scope) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		stop, err := n.planStop(r.Context(), scope, r.PathValue("name"), n.author(r))
		if err != nil {
			n.writeProblem(w, problem.As(err))
			return
		}
		n.writeJSON(w, http.StatusAccepted, stop)
	}
}

// author returns the name under which a change is recorded: the common name of
// the operator's certificate if there is one.
func (n *Node) author(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		if name := r.TLS.PeerCertificates[0].Subject.CommonName; name != "" {
			return name
		}
	}
	return "operator at " + n.settings.VM
}

func (n *Node) writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.Debug("writing a response failed", "error", err)
	}
}

func (n *Node) writeProblem(w http.ResponseWriter, p *problem.Error) {
	if err := gateway.ServeProblem(w, p); err != nil {
		n.log.Debug("writing a problem response failed", "error", err)
	}
}
