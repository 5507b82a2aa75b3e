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
	// operatorsEntry is the gossip entry with a node's operators' address.
	operatorsEntry = "operators"
	// passTimeout bounds a question that is passed on to another node.
	passTimeout = 2 * time.Second
	maxPassed   = 1 << 20 // bytes
)

// initOperate prepares the operators' interface.
func (n *Node) initOperate() {
	n.requests = newRequestRing(requestRingSize)
	n.stopAsked = make(chan struct{})
	n.askStop = sync.OnceFunc(func() { close(n.stopAsked) })
	n.gossip.Publish(operatorsEntry, gossip.Global, []byte(n.set.Listen.Operators))
}

// operatorHandler serves the operators' interface.
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
	n.answer(w, http.StatusOK, s)
}

// serveExplainVM answers for the VMs of this node's own decisions and passes
// others on to their coordinator. If that does not answer, this node tells
// what it knows.
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
		n.refuse(w, p)
		return
	}
	if coordinator != "" && r.Header.Get(operator.HeaderPassed) == "" {
		if passed, ok := n.passOn(r, coordinator); ok {
			e = passed
		}
	}
	n.answer(w, http.StatusOK, e)
}

// coordinatorAddress is the operators' address of another node that
// coordinates a data centre, or empty. mu is held.
func (n *Node) coordinatorAddress(now time.Time, dataCentre string) string {
	vm, _ := n.coordinatorOf(now, dataCentre)
	if vm == "" || vm == n.set.VM || !n.gossip.IsLive(now, vm) {
		return ""
	}
	node, _ := n.gossip.Get(vm)
	return string(node.Entry(operatorsEntry))
}

// passOn asks another node the same question.
func (n *Node) passOn(r *http.Request, address string) (e operator.VMExplanation, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), passTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.control.URL(address)+r.URL.EscapedPath(), nil)
	if err != nil {
		return e, false
	}
	req.Header.Set(operator.HeaderPassed, n.set.VM)
	resp, err := n.control.Do(req)
	if err != nil {
		n.log.Debug("the coordinator does not explain", "address", address, "error", err)
		return e, false
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxPassed)).Decode(&e)
	return e, err == nil && resp.StatusCode == http.StatusOK
}

func (n *Node) serveExplainRequest(w http.ResponseWriter, r *http.Request) {
	e, p := n.explainRequest(r.PathValue("id"))
	if p != nil {
		n.refuse(w, p)
		return
	}
	n.answer(w, http.StatusOK, e)
}

// serveShutdown begins this daemon's graceful shutdown.
func (n *Node) serveShutdown(w http.ResponseWriter, r *http.Request) {
	n.log.Info("an operator asks for a shutdown", "author", n.author(r))
	w.WriteHeader(http.StatusAccepted)
	n.askStop()
}

func (n *Node) serveStop(scope group.Scope) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		stop, err := n.planStop(r.Context(), scope, r.PathValue("name"), n.author(r))
		if err != nil {
			n.refuse(w, problem.As(err))
			return
		}
		n.answer(w, http.StatusAccepted, stop)
	}
}

// author names who asks: the subject of the operator's certificate, if any.
func (n *Node) author(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		if name := r.TLS.PeerCertificates[0].Subject.CommonName; name != "" {
			return name
		}
	}
	return "operator at " + n.set.VM
}

func (n *Node) answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		n.log.Debug("an answer was not read whole", "error", err)
	}
}

func (n *Node) refuse(w http.ResponseWriter, p *problem.Error) {
	if err := gateway.ServeProblem(w, p); err != nil {
		n.log.Debug("a problem was not read whole", "error", err)
	}
}
