package dispatch

import "time"

// nodeCounts holds the numbers of live nodes that were listed lately. A node that
// has left the list may go on for a while with a share of what all nodes may send,
// so that the shares of the others may not grow at once.
type nodeCounts struct {
	// counts are the newest count and earlier ones above all those after them.
	counts []nodeCount
}

// nodeCount is a number of nodes, and when it ceased to be the newest.
type nodeCount struct {
	n       int
	endedAt time.Time
}

// departedHold is how long nodes are counted that are no longer listed. It covers
// a planned stop, what was sent before it, and the time in which the nodes of a
// restored platform are listed again.
const departedHold = 30 * time.Second

// set records the number of nodes that are listed now.
func (c *nodeCounts) set(now time.Time, n int) {
	if last := len(c.counts) - 1; last >= 0 {
		c.counts[last].endedAt = now
	}
	for last := len(c.counts) - 1; last >= 0 && c.counts[last].n <= n; last-- {
		c.counts = c.counts[:last]
	}
	c.counts = append(c.counts, nodeCount{n: n})
}

// newest returns the number of nodes that are listed, 0 if that is unknown.
func (c *nodeCounts) newest() int {
	if len(c.counts) == 0 {
		return 0
	}
	return c.counts[len(c.counts)-1].n
}

// sharers returns the largest number of nodes that were listed within departedHold,
// 0 if none is known.
func (c *nodeCounts) sharers(now time.Time) int {
	for len(c.counts) > 1 && now.Sub(c.counts[0].endedAt) >= departedHold {
		c.counts = c.counts[1:]
	}
	if len(c.counts) == 0 {
		return 0
	}
	return c.counts[0].n
}
