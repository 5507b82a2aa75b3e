package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
)

// fakeNode answers requests with a fixed answer and is also a Listener. It records
// the requests and answers that it receives.
type fakeNode struct {
	mu          sync.Mutex
	answer      updates.Answer
	requests    []updates.Position
	applied     []updates.Answer
	askedAt     time.Time
	cleared     int
	requesters  []updates.Node
	unreachable bool
}

func (n *fakeNode) Answer(after updates.Position) updates.Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = append(n.requests, after)
	return n.answer
}

func (n *fakeNode) AddRequester(other updates.Node) { n.requesters = append(n.requesters, other) }

func (n *fakeNode) Position() updates.Position {
	return updates.Position{Operators: updates.Revision{Era: 4, Version: 1}, VMs: updates.Revision{Era: 5, Version: 2}, Lease: updates.Revision{Era: 6, Version: 3}, CatalogVersion: 7, Demand: 2.5, Learned: updates.Learned{
		Announced: []updates.Announcement{{VM: "i-1", Born: 4, Leaving: true}},
	}}
}

func (n *fakeNode) ApplyAnswer(asked time.Time, _ updates.Node, a updates.Answer) {
	n.applied = append(n.applied, a)
	n.askedAt = asked
}

func (n *fakeNode) ClearPeerUpdates() { n.cleared++ }

func (n *fakeNode) IsPlatformUnreachable() bool { return n.unreachable }

func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// patience is the timeout of a request that is answered, however busy the machine is.
const patience = time.Minute

func newTestFollower(timeout time.Duration, listener Listener, nodes ...updates.Node) *Follower {
	f := NewFollower(Options{
		VM: "e9", DataCentre: "a", Address: "10.0.0.9:1", Every: time.Second, Timeout: timeout, MaxAge: time.Second, SpreadReads: true,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	}, listener)
	f.Set(nodes)
	return f
}

var freshAnswer = updates.Answer{
	Known: true, OperatorsAge: 300 * time.Millisecond, VMsAge: 200 * time.Millisecond,
	Era: 5, VMs: &updates.VMs{Era: 5, Version: 7, Removed: []string{"i-1"}}, Mark: 77,
}

func TestFollowerAppliesTheAnswersOfItsSource(t *testing.T) {
	responder, listener := &fakeNode{answer: freshAnswer}, &fakeNode{}
	f := newTestFollower(patience, listener, updates.Node{VM: "e1", DataCentre: "a", Address: startServer(t, Handler(responder))})
	before := boottime.Now()
	f.ask(context.Background())
	f.ask(context.Background())
	assert.DeepEqual(t, listener.applied, []updates.Answer{freshAnswer, freshAnswer})
	assert.Assert(t, !listener.askedAt.Before(before))
	first := listener.Position()
	first.VM = "e9"
	second := first
	second.Mark, second.ReceivedVMs = 77, updates.Revision{Era: 5, Version: 7}
	assert.DeepEqual(t, responder.requests, []updates.Position{first, second})
	assert.Equal(t, listener.cleared, 0)
	assert.DeepEqual(t, responder.requesters[0], updates.Node{VM: "e9", DataCentre: "a", Address: "10.0.0.9:1"})
}

// Nodes that have no data or only old or borrowed data, that don't answer or that
// answer with garbage are skipped. If no node is left, the listener is told to
// read from the platform itself.
func TestFollowerSkipsNodesWithoutAUsableAnswer(t *testing.T) {
	old := freshAnswer
	old.OperatorsAge = 2 * time.Second
	oldList := freshAnswer
	oldList.VMsAge = 2 * time.Second
	earlier := freshAnswer
	earlier.Era = 4
	borrowed := freshAnswer
	borrowed.Borrowed = true
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the context ends with the connection
		<-r.Context().Done()
	})
	garbage := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "garbage") }) //nolint:errcheck // a test's server
	for name, h := range map[string]http.Handler{
		"nothing": Handler(&fakeNode{}), "old": Handler(&fakeNode{answer: old}), "old list": Handler(&fakeNode{answer: oldList}),
		"borrowed": Handler(&fakeNode{answer: borrowed}), "earlier era": Handler(&fakeNode{answer: earlier}), "silent": silent, "garbage": garbage,
	} {
		timeout := patience
		if name == "silent" {
			timeout = 300 * time.Millisecond
		}
		listener := &fakeNode{}
		f := newTestFollower(timeout, listener, updates.Node{VM: "e1", DataCentre: "a", Address: startServer(t, h)})
		f.ask(context.Background())
		assert.Equal(t, len(listener.applied), 0, name)
		assert.Equal(t, listener.cleared, 1, name)

		responder := &fakeNode{answer: freshAnswer}
		f = newTestFollower(timeout, listener, updates.Node{VM: "e1", DataCentre: "a", Address: startServer(t, h)},
			updates.Node{VM: "e2", DataCentre: "a", Address: startServer(t, Handler(responder))})
		f.ask(context.Background())
		assert.Equal(t, len(listener.applied), 1, name)
	}
}

func TestReaderAsksOnlyWhileThePlatformIsUnreachable(t *testing.T) {
	responder, listener := &fakeNode{answer: freshAnswer}, &fakeNode{}
	f := newTestFollower(patience, listener, updates.Node{VM: "e1", DataCentre: "b", Address: startServer(t, Handler(responder))})
	assert.Assert(t, f.IsReader())
	f.ask(context.Background())
	assert.Equal(t, len(listener.applied), 0)
	listener.unreachable = true
	f.ask(context.Background())
	assert.Equal(t, len(listener.applied), 1)
	responder.answer.VMsAge = 2 * time.Second
	f.ask(context.Background())
	assert.Equal(t, len(listener.applied), 2, "an old answer must be used if the platform is unreachable")
}
