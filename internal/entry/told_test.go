package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/news"
)

// chain is a line of entry VMs, each of which asks the one before it.
type chain struct {
	sites []*fleetSite
	marks []int64
}

func newChain(t *testing.T, n, groups int) *chain {
	c := &chain{marks: make([]int64, n)}
	for range n {
		c.sites = append(c.sites, newFleetSite(t, groups))
	}
	return c
}

// ask lets one node ask the one before it.
func (c *chain) ask(i int) {
	a := c.sites[i-1].state.Answer(news.Position{Reports: c.marks[i]})
	c.marks[i] = a.Mark
	c.sites[i].state.Hear(c.sites[i].clock(), a)
}

// run lets time pass: nodes tick, and ask every 200 ms.
func (c *chain) run(d time.Duration) {
	const every = 200 * time.Millisecond
	for range d / every {
		for _, s := range c.sites {
			s.run(every)
		}
		for i := len(c.sites) - 1; i > 0; i-- {
			c.ask(i)
		}
	}
}

// Reports that have come by way of another node were not told on if they were
// older than the last question, so that all nodes but those one step from the
// first probed all heads by themselves.
func TestReportsAreToldOverSeveralSteps(t *testing.T) {
	const groups = 5
	c := newChain(t, 4, groups)
	c.run(20 * time.Second)
	for i, s := range c.sites {
		probes := 0
		for g := range groups {
			probes += s.engines.count(string(rune('a'+g)) + "0")
		}
		if i == 0 {
			assert.Assert(t, probes >= 15*groups, "the first node probes heads every second: %d", probes)
			continue
		}
		assert.Assert(t, probes <= 2*groups, "node %d probes what others tell: %d", i, probes)
	}
}
