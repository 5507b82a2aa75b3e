package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// lingeringTable is a table whose reads last a little beyond their context.
type lingeringTable struct {
	platform.Table
	started chan struct{}
	running atomic.Int32
}

func (l *lingeringTable) Get(ctx context.Context, _ ...string) ([]platform.Row, error) {
	l.running.Add(1)
	defer l.running.Add(-1)
	l.started <- struct{}{}
	<-ctx.Done()
	time.Sleep(20 * time.Millisecond)
	return nil, ctx.Err()
}

func (l *lingeringTable) List(ctx context.Context, _, _ string, _ int) ([]platform.Row, error) {
	return l.Get(ctx)
}

// The coordinator's calls must not outlive the node, whose log and tracer are
// closed next.
func TestNodeWaitsForTheCoordinatorsCalls(t *testing.T) {
	table := &lingeringTable{started: make(chan struct{}, 100)}
	n := newIdleNode(t, settings.EntryBounds{}, table)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.tick(ctx)
	}()
	<-table.started
	cancel()
	<-ended
	assert.Equal(t, table.running.Load(), int32(0))
}
