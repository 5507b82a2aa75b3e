package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node whose memory grows with each request that it sends, because the
// times of requests at warm endpoints are kept for good.
func TestColdRateForgetsOldRequests(t *testing.T) {
	var c coldRate
	now := start
	for range 100_000 {
		now = now.Add(10 * time.Millisecond)
		c.record(now)
	}
	const inWindow = int(coldWindow/(10*time.Millisecond)) + 1
	assert.Assert(t, len(c.sent) <= inWindow, "%d times are kept", len(c.sent))
	assert.Assert(t, cap(c.sent) <= 4*inWindow, "%d times take memory", cap(c.sent))
	assert.Assert(t, !c.isBelow(now, 100))
	assert.Assert(t, c.isBelow(now.Add(coldWindow), 1))
}
