package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	siteCount    = 29
	nodesPerSite = 32
	bound        = 5 * time.Second // an accepted change is in force everywhere
	step         = 10 * time.Millisecond
	ticksEvery   = 10 // steps between a node's ticks
	localDelay   = 1  // steps
	remoteDelay  = 6
	platformWait = 3
	// messageOverhead stands for the headers of a request and its answer.
	messageOverhead = 400
	lossy           = 0.1  // share of messages lost
	readBudget      = 2000 // platform reads per second
	byteBudget      = 4096 // control bytes per node per second
)

// spread runs many States with lossy delivery on a fake clock.
type spread struct {
	opts    Options
	loss    float64
	filter  func([]Effect) []Effect // drops effects of a mechanism that is off
	rng     *rand.Rand
	nodes   map[string]*spreadNode
	order   []string
	queue   map[int][]func()
	now     int
	line    line
	written []int // step at which each number was written
	down    bool  // platform

	reads, messages, bytes int
}

type spreadNode struct {
	dc      string
	state   *State
	dead    bool
	adopted map[uint64]int
	bytes   int
}

func newSpread(opts Options, sites int, loss float64) *spread {
	c := &spread{
		opts: opts, loss: loss, rng: rand.New(rand.NewPCG(7, 7)),
		nodes: map[string]*spreadNode{}, queue: map[int][]func(){},
	}
	for d := range sites {
		for i := range nodesPerSite {
			c.add(fmt.Sprintf("d%02d", d), fmt.Sprintf("d%02d-e%02d", d, i))
		}
	}
	c.tellPeers()
	return c
}

func (c *spread) add(dc, vm string) {
	opts := c.opts
	opts.VM = vm
	c.nodes[vm] = &spreadNode{dc: dc, state: New(opts), adopted: map[uint64]int{}}
	c.order = append(c.order, vm)
}

// tellPeers gives each node the VMs of its data centre, dead ones included,
// and one of each other data centre.
func (c *spread) tellPeers() {
	locals := map[string][]string{}
	var firsts []string
	for _, vm := range c.order {
		dc := c.nodes[vm].dc
		if len(locals[dc]) == 0 {
			firsts = append(firsts, vm)
		}
		locals[dc] = append(locals[dc], vm)
	}
	for _, vm := range c.order {
		c.step(vm, PeersChanged{Local: locals[c.nodes[vm].dc], Remote: firsts})
	}
}

func (c *spread) clock() time.Time { return epoch.Add(time.Duration(c.now) * step) }

func (c *spread) after(steps int, f func()) {
	c.queue[c.now+steps] = append(c.queue[c.now+steps], f)
}

func (c *spread) write() {
	c.line = c.line.extend("a")
	c.written = append(c.written, c.now)
}

func (c *spread) run(d time.Duration) {
	for end := c.now + int(d/step); c.now < end; {
		c.now++
		due := c.queue[c.now]
		delete(c.queue, c.now)
		for _, f := range due {
			f()
		}
		for i, vm := range c.order {
			if (c.now+i)%ticksEvery == 0 {
				c.step(vm, Tick{})
			}
		}
	}
}

func (c *spread) step(vm string, ev Event) {
	n := c.nodes[vm]
	if n.dead {
		return
	}
	effects := n.state.Step(c.clock(), ev)
	if c.filter != nil {
		effects = c.filter(effects)
	}
	for _, e := range effects {
		c.carry(vm, n, e)
	}
}

func (c *spread) carry(vm string, n *spreadNode, e Effect) {
	switch e := e.(type) {
	case ReadHead:
		c.read(vm, func() Event { return HeadRead{c.line.head()} })
	case ReadChanges:
		c.read(vm, func() Event { return ChangesRead{c.line.changes[min(int(e.After), len(c.line.changes)):]} })
	case SendDigest:
		c.send(vm, e.To, len(encode(e.Digest)), func() { c.step(e.To, DigestReceived{e.Digest}) })
	case Fetch:
		c.send(vm, e.From, 0, func() { c.answer(e.From, vm, e.After) })
	case Adopted:
		for number := n.lastAdopted() + 1; number <= e.Number; number++ {
			n.adopted[number] = c.now
		}
	case Conflict:
		panic(e.Err)
	}
}

func (n *spreadNode) lastAdopted() uint64 { return uint64(len(n.adopted)) }

func (c *spread) answer(from, to string, after uint64) {
	if c.nodes[from].dead {
		return
	}
	changes, snapshot := c.nodes[from].state.Since(after)
	size := len(encode(changes)) + len(encode(snapshot))
	c.send(from, to, size, func() { c.step(to, Fetched{From: from, Snapshot: snapshot, Changes: changes}) })
}

func (c *spread) read(vm string, ev func() Event) {
	c.reads++
	c.after(platformWait, func() {
		if c.down {
			c.step(vm, ReadFailed{})
			return
		}
		c.step(vm, ev())
	})
}

func (c *spread) send(from, to string, size int, deliver func()) {
	c.messages++
	size += messageOverhead
	c.bytes += size
	c.nodes[from].bytes += size
	c.nodes[to].bytes += size
	if c.rng.Float64() < c.loss {
		return
	}
	delay := localDelay
	if c.nodes[from].dc != c.nodes[to].dc {
		delay = remoteDelay
	}
	c.after(delay, deliver)
}

// worst returns the longest time from a write after the base number to its
// adoption by a live node, and whether every live node has adopted them all.
func (c *spread) worst(base int) (time.Duration, bool) {
	longest := 0
	for _, vm := range c.order {
		n := c.nodes[vm]
		if n.dead {
			continue
		}
		for number := base + 1; number <= len(c.written); number++ {
			got, ok := n.adopted[uint64(number)]
			if !ok {
				return 0, false
			}
			longest = max(longest, got-c.written[number-1])
		}
	}
	return time.Duration(longest) * step, true
}

func (c *spread) resetCounts() {
	c.reads, c.messages, c.bytes = 0, 0, 0
	for _, n := range c.nodes {
		n.bytes = 0
	}
}

// changesPerDay is the rate of the design size.
const changesPerDay = 14000

// writeAtRate writes changes for a while and then lets the last one spread.
func (c *spread) writeAtRate(changes int) time.Duration {
	interval := 24 * time.Hour / changesPerDay
	start := c.now
	for range changes {
		c.write()
		c.run(interval)
	}
	return time.Duration(c.now-start) * step
}

func TestChangeInForceEverywhereWithinBound(t *testing.T) {
	const changes = 4
	c := newSpread(Options{}, siteCount, lossy)
	c.write()
	c.run(bound)
	c.resetCounts()
	took := c.writeAtRate(changes)
	worst, all := c.worst(0)
	assert.Assert(t, all)
	seconds := took.Seconds()
	most := 0
	for _, n := range c.nodes {
		most = max(most, n.bytes)
	}
	reads := float64(c.reads) / seconds
	t.Logf("%d nodes, %.0f%% of messages lost, %d changes in %.1f s: worst %v; platform reads %.0f/s; per node and second %.2f messages sent, %.0f bytes sent and received, busiest node %.0f bytes",
		len(c.order), lossy*100, changes, seconds, worst, reads,
		float64(c.messages)/seconds/float64(len(c.order)), 2*float64(c.bytes)/seconds/float64(len(c.order)), float64(most)/seconds)
	assert.Assert(t, worst <= bound, "took %v", worst)
	assert.Assert(t, float64(most)/seconds <= byteBudget)
	// Readers poll once a second and read each change once.
	perReader := 1 + float64(changes)/seconds
	assert.Assert(t, reads <= siteCount*DefaultReaders*perReader+1, "reads %.1f/s", reads)
	assert.Assert(t, reads < readBudget)
}

// variant alters a run of one data centre.
type variant struct {
	opts   Options
	filter func([]Effect) []Effect
	// before runs after the nodes have settled.
	before func(*spread)
}

// oneDataCentre runs a data centre of 32 nodes until it has settled, and then
// writes changes. It returns the longest spread of these.
func oneDataCentre(seed uint64, v variant) (time.Duration, bool) {
	v.opts.Seed = seed
	c := newSpread(v.opts, 1, lossy)
	c.filter = v.filter
	c.write()
	c.run(2 * bound)
	if v.before != nil {
		v.before(c)
	}
	base := len(c.written)
	for range 6 {
		c.write()
		c.run(bound)
	}
	return c.worst(base)
}

func TestBoundHoldsWithLoss(t *testing.T) {
	for seed := range uint64(5) {
		worst, all := oneDataCentre(seed, variant{})
		assert.Assert(t, all && worst <= bound, "seed %d", seed)
	}
}

// dropsDigests drops those digests that do or do not announce an adoption.
func dropsDigests(announcing bool) func([]Effect) []Effect {
	return func(effects []Effect) []Effect {
		if (adopted(effects) > 0) != announcing {
			return effects
		}
		var kept []Effect
		for _, e := range effects {
			if _, ok := e.(SendDigest); !ok {
				kept = append(kept, e)
			}
		}
		return kept
	}
}

// TestBoundNeedsEachMechanism shows that the bound fails without the digest
// sent on adoption, and without the periodic one that repairs its loss.
func TestBoundNeedsEachMechanism(t *testing.T) {
	for _, announcing := range []bool{true, false} {
		missed := false
		for seed := range uint64(5) {
			worst, all := oneDataCentre(seed, variant{
				opts:   Options{StaleAfter: time.Hour},
				filter: dropsDigests(announcing),
			})
			missed = missed || !all || worst > bound
		}
		assert.Assert(t, missed, "the bound held with announcing digests dropped: %v", announcing)
	}
}

// killReaders ends all readers at once, while the peers still list them.
func killReaders(c *spread) {
	for _, vm := range c.order {
		c.nodes[vm].dead = c.nodes[vm].state.Reader()
	}
	c.run(DefaultStaleAfter + bound)
}

func TestSilentReadersAreReplaced(t *testing.T) {
	worst, all := oneDataCentre(1, variant{before: killReaders})
	assert.Assert(t, all && worst <= bound, "took %v", worst)
	_, all = oneDataCentre(1, variant{opts: Options{StaleAfter: time.Hour}, before: killReaders})
	assert.Assert(t, !all, "without replacement nobody reads the platform")
}

// TestStandInStopsWhenReadersReturn counts the polls of one data centre.
func TestStandInStopsWhenReadersReturn(t *testing.T) {
	c := newSpread(Options{}, 1, 0)
	c.write()
	c.run(bound)
	killReaders(c)
	for _, n := range c.nodes {
		n.dead = false
	}
	c.run(2 * bound)
	c.resetCounts()
	c.run(10 * DefaultPollInterval)
	assert.Assert(t, c.reads <= 10*DefaultReaders+1, "%d reads", c.reads)
}

// TestCutOffNodeReadsItself has one node that hears no peer.
func TestCutOffNodeReadsItself(t *testing.T) {
	cut := ""
	c := newSpread(Options{}, 1, 0)
	for _, vm := range c.order {
		if !c.nodes[vm].state.Reader() {
			cut = vm
		}
	}
	c.write()
	c.run(bound)
	c.nodes[cut].state.Step(c.clock(), PeersChanged{})
	c.nodes[cut].state.rank = len(c.order) // it still believes the others live
	for _, vm := range c.order {
		if vm != cut {
			c.nodes[vm].dead = true
		}
	}
	c.write()
	c.run(DefaultStaleAfter/silentShare + 2*DefaultPollInterval)
	_, all := c.worst(0)
	assert.Assert(t, all)
}

func TestOutageBoundsPlatformReads(t *testing.T) {
	c := newSpread(Options{}, siteCount, 0)
	c.write()
	c.run(bound)
	c.down = true
	c.run(3 * DefaultMaxBackoff)
	c.resetCounts()
	const window = 20 * time.Second
	c.run(window)
	reads := float64(c.reads) / window.Seconds()
	t.Logf("%d nodes, platform down: %.0f attempted reads/s", len(c.order), reads)
	assert.Assert(t, reads < readBudget/4)
	// A fresh node starts from its peers meanwhile.
	c.add("d00", "d00-new")
	c.tellPeers()
	c.run(bound)
	assert.Equal(t, c.nodes["d00-new"].state.Number(), uint64(1))
	c.down = false
	c.write()
	c.run(bound)
	worst, all := c.worst(1)
	assert.Assert(t, all && worst <= bound, "after the outage: %v", worst)
}
