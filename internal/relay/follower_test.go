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

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
)

// fakeNode tells what it is set to, and takes note of what it hears.
type fakeNode struct {
	mu         sync.Mutex
	answer     news.Answer
	questions  []news.Position
	heard      []news.Answer
	asked      time.Time
	alone      int
	met        []news.Node
	unreadable bool
}

func (n *fakeNode) Answer(after news.Position) news.Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.questions = append(n.questions, after)
	return n.answer
}

func (n *fakeNode) AddRequester(other news.Node) { n.met = append(n.met, other) }

func (n *fakeNode) Position() news.Position { return news.Position{Operators: 1, VMs: 2, Lease: 3} }

func (n *fakeNode) ApplyAnswer(asked time.Time, _ news.Node, a news.Answer) {
	n.heard = append(n.heard, a)
	n.asked = asked
}

func (n *fakeNode) ClearPeerUpdates() { n.alone++ }

func (n *fakeNode) IsPlatformUnreachable() bool { return n.unreadable }

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func follower(listener Listener, nodes ...news.Node) *Follower {
	f := NewFollower(Options{
		VM: "e9", DataCentre: "a", Address: "10.0.0.9:1", Every: time.Second, Timeout: 300 * time.Millisecond, MaxAge: time.Second,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	}, listener)
	f.Set(nodes)
	return f
}

var known = news.Answer{
	Known: true, OperatorsAge: 300 * time.Millisecond, VMsAge: 200 * time.Millisecond,
	VMs: &news.VMs{Version: 7, Removed: []string{"i-1"}}, Mark: 77,
}

func TestFollowerHearsWhatTheFirstTells(t *testing.T) {
	teller, listener := &fakeNode{answer: known}, &fakeNode{}
	f := follower(listener, news.Node{VM: "e1", DataCentre: "a", Address: serve(t, Handler(teller))})
	before := boottime.Now()
	f.ask(context.Background())
	f.ask(context.Background())
	assert.DeepEqual(t, listener.heard, []news.Answer{known, known})
	assert.Assert(t, !listener.asked.Before(before))
	assert.DeepEqual(t, teller.questions, []news.Position{
		{Operators: 1, VMs: 2, Lease: 3}, {Operators: 1, VMs: 2, Lease: 3, Mark: 77, ReceivedVMs: 7},
	})
	assert.Equal(t, listener.alone, 0)
	assert.DeepEqual(t, teller.met[0], news.Node{VM: "e9", DataCentre: "a", Address: "10.0.0.9:1"})
}

// Nodes that know nothing, know old things only, are silent or answer with
// garbage are passed over, and this node reads by itself if none is left.
func TestFollowerPassesOverNodesThatDoNotTell(t *testing.T) {
	old := known
	old.OperatorsAge = 2 * time.Second
	oldList := known
	oldList.VMsAge = 2 * time.Second
	borrowed := known
	borrowed.Borrowed = true
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) //nolint:errcheck // the end of the connection is seen by its context
		<-r.Context().Done()
	})
	garbage := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "garbage") }) //nolint:errcheck // a test's server
	for name, h := range map[string]http.Handler{
		"nothing": Handler(&fakeNode{}), "old": Handler(&fakeNode{answer: old}), "old list": Handler(&fakeNode{answer: oldList}),
		"borrowed": Handler(&fakeNode{answer: borrowed}), "silent": silent, "garbage": garbage,
	} {
		listener := &fakeNode{}
		f := follower(listener, news.Node{VM: "e1", DataCentre: "a", Address: serve(t, h)})
		f.ask(context.Background())
		assert.Equal(t, len(listener.heard), 0, name)
		assert.Equal(t, listener.alone, 1, name)

		teller := &fakeNode{answer: known}
		f = follower(listener, news.Node{VM: "e1", DataCentre: "a", Address: serve(t, h)},
			news.Node{VM: "e2", DataCentre: "a", Address: serve(t, Handler(teller))})
		f.ask(context.Background())
		assert.Equal(t, len(listener.heard), 1, name)
	}
}

func TestFirstNodeAsksOnlyWhileThePlatformCannotBeRead(t *testing.T) {
	teller, listener := &fakeNode{answer: known}, &fakeNode{}
	f := follower(listener, news.Node{VM: "e1", DataCentre: "b", Address: serve(t, Handler(teller))})
	assert.Assert(t, f.IsReader())
	f.ask(context.Background())
	assert.Equal(t, len(listener.heard), 0)
	listener.unreadable = true
	f.ask(context.Background())
	assert.Equal(t, len(listener.heard), 1)
	teller.answer.VMsAge = 2 * time.Second
	f.ask(context.Background())
	assert.Equal(t, len(listener.heard), 2, "old news are better than none")
}
