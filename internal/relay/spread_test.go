package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// manyNodes returns two nodes with servers and eleven that come after the follower.
func manyNodes(t *testing.T, first, second *fakeNode) []updates.Node {
	t.Helper()
	nodes := []updates.Node{
		{VM: "e1", DataCentre: "a", Address: startServer(t, Handler(first))},
		{VM: "e2", DataCentre: "a", Address: startServer(t, Handler(second))},
	}
	for i := range 11 {
		nodes = append(nodes, updates.Node{VM: fmt.Sprintf("f%d", i), DataCentre: "a", Address: "127.0.0.1:1"})
	}
	return nodes
}

// Guards against each of many nodes reading the store as soon as the reader's data are
// old: the answer shows that the reader is alive, so the node stays with it.
func TestOldAnswersKeepReadsSpreadOut(t *testing.T) {
	old := freshAnswer
	old.OperatorsAge = 5 * time.Second
	first, second, listener := &fakeNode{answer: old}, &fakeNode{answer: old}, &fakeNode{}
	f := newTestFollower(patience, listener, manyNodes(t, first, second)...)
	f.ask(context.Background())
	s := f.Spread()
	assert.Assert(t, s.IsActive() && !s.Fresh, "%+v", s)
	assert.Equal(t, s.Role, updates.RoleOther)
	assert.Equal(t, len(listener.applied), 1)
	assert.Equal(t, listener.cleared, 0)
	assert.Assert(t, !f.IsReader(), "the reader answers")

	second.answer = freshAnswer // reads the store again before the first node does
	f.ask(context.Background())
	assert.Assert(t, f.Spread().Fresh)
	assert.DeepEqual(t, listener.applied[1], freshAnswer)
}

// Guards against a node that reads the store itself relying on old answers.
func TestNodeThatReadsUsesOnlyFreshAnswers(t *testing.T) {
	old := freshAnswer
	old.VMsAge = 5 * time.Second
	listener := &fakeNode{}
	f := newTestFollower(patience, listener, manyNodes(t, &fakeNode{answer: old}, &fakeNode{answer: old})...)
	f.opts.ReadsPlatform = func() bool { return true }
	f.ask(context.Background())
	assert.Equal(t, len(listener.applied), 0)
	assert.Equal(t, listener.cleared, 1)
	assert.Assert(t, f.IsReader(), "its reads are those that others rely on")
}

// Answers stop counting once no node answers, so that the node reads by itself.
func TestWithoutAnswersReadsAreNotSpreadOut(t *testing.T) {
	listener := &fakeNode{}
	f := newTestFollower(patience, listener, manyNodes(t, &fakeNode{answer: freshAnswer}, &fakeNode{answer: freshAnswer})...)
	f.ask(context.Background())
	assert.Assert(t, f.Spread().IsActive())
	f.answeredAt = f.answeredAt.Add(-answerTTL)
	assert.Assert(t, !f.Spread().IsActive())
}
