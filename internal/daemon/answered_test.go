package daemon

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// newIdleNode returns a node that is not running.
func newIdleNode(table platform.Table) *Node {
	return New(Options{Settings: settings.Default(), Logger: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry(), Platform: table})
}

// answeringTable answers every call with err.
type answeringTable struct{ err error }

func (a answeringTable) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	return make([]platform.Row, len(keys)), a.err
}

func (a answeringTable) List(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, a.err
}

func (a answeringTable) Commit(context.Context, platform.Txn) (uint64, error) { return 1, a.err }

func (a answeringTable) VMs(context.Context) ([]platform.VMStatus, error) { return nil, a.err }

// TestEveryAnswerOfPlatformCounts checks that the platform's age is counted from
// the last answered call of any kind.
func TestEveryAnswerOfPlatformCounts(t *testing.T) {
	calls := map[string]func(context.Context, *Node){
		"groups":       func(ctx context.Context, n *Node) { n.readGroups(ctx) },
		"claims":       func(ctx context.Context, n *Node) { n.readClaims(ctx, claim.Read{Keys: []string{claim.EpochKey}}) },
		"claim writes": func(ctx context.Context, n *Node) { n.commitClaims(ctx, claim.Commit{}) },
		"sweep":        func(ctx context.Context, n *Node) { n.runSweep(ctx, claim.ReadPage{}) },
		"VM list":      func(ctx context.Context, n *Node) { _, _ = n.platform.VMs(ctx) },
		"head":         func(ctx context.Context, n *Node) { _, _ = n.platform.Get(ctx, "head") },
	}
	for name, call := range calls {
		for err, answered := range map[error]bool{
			nil: true, platform.ErrConflict: true, platform.ErrUnavailable: false, platform.ErrUnknown: false, errors.New("other"): false,
		} {
			n := newIdleNode(answeringTable{err})
			call(t.Context(), n)
			assert.Equal(t, !n.platformAnsweredAt.IsZero(), answered, "%s: %v", name, err)
		}
	}
}
