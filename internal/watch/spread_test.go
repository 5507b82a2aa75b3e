package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// Guards against a node of many reading a store that is down at its own pauses while
// its peers answer, and against it waiting for its spread-out pause once they don't.
func TestFailedReadsAreSpreadOutWhilePeersAnswer(t *testing.T) {
	src := &fakeSource{}
	for range 1000 {
		src.errs = append(src.errs, errors.New("down"))
	}
	var answering atomic.Bool
	answering.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts := Options{
		VMInterval: time.Millisecond, RetryPause: time.Millisecond, FollowerRetryPause: time.Millisecond, IsReader: func() bool { return false },
		Spread: func() updates.Spread {
			return updates.Spread{Nodes: 90_000, DataCentres: 1, Role: updates.RoleOther, Answering: answering.Load()}
		},
	}
	go Run(ctx, src, &fakeObserver{version: 3}, opts) //nolint:errcheck // it ends with the test
	eventually(t, "a read", func() bool { return src.reads() >= 1 })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, src.reads(), 1)
	answering.Store(false)
	eventually(t, "reads at the node's own pauses", func() bool { return src.reads() >= 5 })
}
