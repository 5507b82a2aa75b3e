package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Guards against an inventory without client accounts, or without keys, that lets any
// key in.
func TestInventoryWithoutKeysAcceptsNone(t *testing.T) {
	for _, accounts := range [][]inventory.ClientAccount{nil, {}, {{Name: "archive"}}, {{Name: "archive", KeyHashes: []string{}}}} {
		n := newIdleNode(nil)
		n.index = newIndex(1, &inventory.Document{ClientAccounts: accounts}, "dc")
		for _, hash := range []string{"", "a48893fb555a3eba4a2e2f1bae0bcec29122d6ee551906a0b5865538f480914f"} {
			_, ok := n.ClientAccount(hash)
			assert.Assert(t, !ok)
		}
	}
}

// TestWaitNamesWhyItEnded checks that a wait that ends with its context says
// whether the deadline passed or the caller left.
func TestWaitNamesWhyItEnded(t *testing.T) {
	gone, leave := context.WithCancel(t.Context())
	leave()
	late, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	for ctx, want := range map[context.Context]string{
		gone: "the caller closed the connection before ",
		late: "the deadline passed before ",
	} {
		n := newIdleNode(nil)
		w := &waiter{id: 1, decided: make(chan struct{})}
		n.waiting[w.id] = w
		n.cancel(ctx, w)
		assert.Equal(t, w.problem.Message, want+"the request could start")
		assert.Equal(t, w.problem.Ran, problem.RanNo)
		_, err := (&keyedCall{node: n}).Next(ctx)
		assert.Equal(t, problem.As(err).Message, want+"the outcome of the key was known")
		assert.Equal(t, problem.As(err).Ran, problem.RanUnknown)
	}
}
