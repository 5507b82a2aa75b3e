package node

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/settings"
)

func TestMemoryLimitCanBeRemovedByReload(t *testing.T) {
	start := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(start) })
	n := newIdleNode(t, settings.EntryBounds{}, nil)
	n.Reload(settings.Entry{Memory: settings.EntryMemory{LimitMB: 4096}}, nil)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(3072<<20))
	n.Reload(settings.Entry{}, nil)
	assert.Equal(t, debug.SetMemoryLimit(-1), start)
}
