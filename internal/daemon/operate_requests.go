package daemon

import (
	"strings"
	"sync"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// requestRingSize is the number of recent requests that a node can explain.
const requestRingSize = 1024

// Outcomes of an explained request.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
	outcomeRunning  = "running"
)

// requestRing holds the records of the most recent requests. It implements
// gateway.Recorder.
type requestRing struct {
	mu      sync.Mutex
	records []gateway.Record
	next    int
	slots   map[string]int // by request ID
}

func newRequestRing(size int) *requestRing {
	return &requestRing{records: make([]gateway.Record, size), slots: make(map[string]int, size)}
}

// Put implements gateway.Recorder. A record with a new ID replaces the oldest
// one.
func (r *requestRing) Put(rec gateway.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, known := r.slots[rec.ID]
	if !known {
		i = r.next
		r.next = (r.next + 1) % len(r.records)
		delete(r.slots, r.records[i].ID)
		r.slots[rec.ID] = i
	}
	r.records[i] = rec
}

func (r *requestRing) get(id string) (gateway.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.slots[id]
	if !ok {
		return gateway.Record{}, false
	}
	return r.records[i], true
}

// explainRequest describes the outcome of a request on this node.
func (n *Node) explainRequest(id string) (operator.RequestExplanation, *problem.Error) {
	rec, ok := n.requests.get(id)
	if !ok {
		return operator.RequestExplanation{}, problem.New(problem.NotFound,
			"this node has no record of the request", "ask the node that received the request, or search the logs for its id")
	}
	e := operator.RequestExplanation{
		Request: rec.ID, Node: n.settings.VM, Forwarded: rec.Forwarded,
		Account: rec.Account, Target: rec.Target, Outcome: requestOutcome(rec), Hops: []string{n.settings.VM},
	}
	if rec.Hops != "" {
		e.Hops = strings.Split(rec.Hops, ">")
	}
	if p := rec.Problem; p != nil {
		e.Kind, e.Ran = string(p.Kind), string(p.Ran)
		e.Reasons = []operator.Reason{{Cause: p.Message, Remedy: p.Remedy}}
	}
	return e, nil
}

func requestOutcome(rec gateway.Record) string {
	switch {
	case rec.Running:
		return outcomeRunning
	case rec.Problem == nil:
		return outcomeAnswered
	case rec.Problem.Ran == problem.RanNo:
		return outcomeRefused
	}
	return outcomeFailed
}
