package config

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	dataCentreCount    = 29
	nodesPerDataCentre = 32
	adoptionBound      = 5 * time.Second // until an accepted change is in force on every node
	stepDuration       = 10 * time.Millisecond
	stepsPerTick       = 10 // steps between two ticks of a node
	localDelay         = 1  // steps to a peer in the same data centre
	remoteDelay        = 6  // steps to a peer in another data centre
	platformDelay      = 3  // steps for a read of the platform
	// messageOverhead approximates the size in bytes of the headers of a
	// request and its answer.
	messageOverhead = 400
	lossRate        = 0.1  // fraction of messages lost
	readBudget      = 2000 // platform reads per second
	byteBudget      = 4096 // control-plane bytes per node per second
)

// cluster simulates many States on a fake clock, with lossy message delivery.
type cluster struct {
	opts          Options
	loss          float64
	filterEffects func([]Effect) []Effect // drops the effects of a disabled mechanism
	rng           *rand.Rand
	nodes         map[string]*clusterNode
	order         []string
	queue         map[int][]func() // deliveries by step
	now           int              // in steps
	log           changeLog
	written       []int // step at which each number was written
	platformDown  bool

	reads, messages, bytes int
}

type clusterNode struct {
	dc      string
	state   *State
	dead    bool
	adopted map[uint64]int // step at which each number was adopted
	bytes   int
}

func newCluster(opts Options, dataCentres int, loss float64) *cluster {
	c := &cluster{
		opts: opts, loss: loss, rng: rand.New(rand.NewPCG(7, 7)),
		nodes: map[string]*clusterNode{}, queue: map[int][]func(){},
	}
	for d := range dataCentres {
		for i := range nodesPerDataCentre {
			c.addNode(fmt.Sprintf("d%02d", d), fmt.Sprintf("d%02d-e%02d", d, i))
		}
	}
	c.updatePeers()
	return c
}

func (c *cluster) addNode(dc, vm string) {
	opts := c.opts
	opts.VM = vm
	c.nodes[vm] = &clusterNode{dc: dc, state: New(opts), adopted: map[uint64]int{}}
	c.order = append(c.order, vm)
}

// updatePeers sets the peers of each node to all VMs of its data centre,
// including dead ones, and one VM of each data centre.
func (c *cluster) updatePeers() {
	local := map[string][]string{}
	var remote []string
	for _, vm := range c.order {
		dc := c.nodes[vm].dc
		if len(local[dc]) == 0 {
			remote = append(remote, vm)
		}
		local[dc] = append(local[dc], vm)
	}
	for _, vm := range c.order {
		c.step(vm, PeersChanged{Local: local[c.nodes[vm].dc], Remote: remote})
	}
}

func (c *cluster) clock() time.Time { return epoch.Add(time.Duration(c.now) * stepDuration) }

func (c *cluster) after(steps int, f func()) {
	c.queue[c.now+steps] = append(c.queue[c.now+steps], f)
}

func (c *cluster) write() {
	c.log = c.log.extend("a")
	c.written = append(c.written, c.now)
}

func (c *cluster) run(d time.Duration) {
	for end := c.now + int(d/stepDuration); c.now < end; {
		c.now++
		due := c.queue[c.now]
		delete(c.queue, c.now)
		for _, f := range due {
			f()
		}
		for i, vm := range c.order {
			if (c.now+i)%stepsPerTick == 0 {
				c.step(vm, Tick{})
			}
		}
	}
}

func (c *cluster) step(vm string, ev Event) {
	n := c.nodes[vm]
	if n.dead {
		return
	}
	effects := n.state.Step(c.clock(), ev)
	if c.filterEffects != nil {
		effects = c.filterEffects(effects)
	}
	for _, e := range effects {
		c.perform(vm, n, e)
	}
}

// perform carries out an effect of the node's State.
func (c *cluster) perform(vm string, n *clusterNode, e Effect) {
	switch e := e.(type) {
	case ReadHead:
		c.readPlatform(vm, func() Event { return HeadRead{c.log.head()} })
	case ReadChanges:
		c.readPlatform(vm, func() Event { return ChangesRead{c.log.changes[min(int(e.After), len(c.log.changes)):]} })
	case SendDigest:
		c.send(vm, e.To, len(encode(e.Digest)), func() { c.step(e.To, DigestReceived{e.Digest}) })
	case Fetch:
		c.send(vm, e.From, 0, func() { c.answerFetch(e.From, vm, e.After) })
	case Adopted:
		for number := n.lastAdopted() + 1; number <= e.Number; number++ {
			n.adopted[number] = c.now
		}
	case Conflict:
		panic(e.Err)
	}
}

func (n *clusterNode) lastAdopted() uint64 { return uint64(len(n.adopted)) }

// answerFetch sends the answer of from to a Fetch by to.
func (c *cluster) answerFetch(from, to string, after uint64) {
	if c.nodes[from].dead {
		return
	}
	changes, snapshot := c.nodes[from].state.Since(after)
	size := len(encode(changes)) + len(encode(snapshot))
	c.send(from, to, size, func() { c.step(to, Fetched{From: from, Snapshot: snapshot, Changes: changes}) })
}

// readPlatform delivers the event that ev returns to a node, or ReadFailed while
// the platform is down, after platformDelay.
func (c *cluster) readPlatform(vm string, ev func() Event) {
	c.reads++
	c.after(platformDelay, func() {
		if c.platformDown {
			c.step(vm, ReadFailed{})
			return
		}
		c.step(vm, ev())
	})
}

// send counts a message and delivers it after a delay, unless it is lost.
func (c *cluster) send(from, to string, size int, deliver func()) {
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

// longestAdoption returns the longest time from the write of a change above the
// base number to its adoption by a live node. It returns false if a live node
// has not adopted all of them.
func (c *cluster) longestAdoption(base int) (time.Duration, bool) {
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
	return time.Duration(longest) * stepDuration, true
}

func (c *cluster) resetCounts() {
	c.reads, c.messages, c.bytes = 0, 0, 0
	for _, n := range c.nodes {
		n.bytes = 0
	}
}

// changesPerDay is the rate of changes that the system is designed for.
const changesPerDay = 14000

// writeAtRate writes changes at the rate of changesPerDay and runs the cluster
// for one interval after each. It returns the simulated time.
func (c *cluster) writeAtRate(changes int) time.Duration {
	interval := 24 * time.Hour / changesPerDay
	start := c.now
	for range changes {
		c.write()
		c.run(interval)
	}
	return time.Duration(c.now-start) * stepDuration
}

func TestChangeReachesAllNodesWithinBound(t *testing.T) {
	const changes = 4
	c := newCluster(Options{}, dataCentreCount, lossRate)
	c.write()
	c.run(adoptionBound)
	c.resetCounts()
	elapsed := c.writeAtRate(changes)
	longest, complete := c.longestAdoption(0)
	assert.Assert(t, complete)
	seconds := elapsed.Seconds()
	maxBytes := 0
	for _, n := range c.nodes {
		maxBytes = max(maxBytes, n.bytes)
	}
	reads := float64(c.reads) / seconds
	t.Logf("%d nodes, %.0f%% of messages lost, %d changes in %.1f s: longest adoption %v; platform reads %.0f/s; per node and second %.2f messages sent, %.0f bytes sent and received, busiest node %.0f bytes",
		len(c.order), lossRate*100, changes, seconds, longest, reads,
		float64(c.messages)/seconds/float64(len(c.order)), 2*float64(c.bytes)/seconds/float64(len(c.order)), float64(maxBytes)/seconds)
	assert.Assert(t, longest <= adoptionBound, "took %v", longest)
	assert.Assert(t, float64(maxBytes)/seconds <= byteBudget)
	// Readers poll once a second and read each change once.
	perReader := 1 + float64(changes)/seconds
	assert.Assert(t, reads <= dataCentreCount*DefaultReaders*perReader+1, "reads %.1f/s", reads)
	assert.Assert(t, reads < readBudget)
}

// variant modifies a run of runDataCentre.
type variant struct {
	opts          Options
	filterEffects func([]Effect) []Effect
	// afterSettling runs after the nodes have settled.
	afterSettling func(*cluster)
}

// runDataCentre runs one data centre of 32 nodes until it has settled and then
// writes changes. It returns the result of longestAdoption for these changes.
func runDataCentre(seed uint64, v variant) (time.Duration, bool) {
	v.opts.Seed = seed
	c := newCluster(v.opts, 1, lossRate)
	c.filterEffects = v.filterEffects
	c.write()
	c.run(2 * adoptionBound)
	if v.afterSettling != nil {
		v.afterSettling(c)
	}
	base := len(c.written)
	for range 6 {
		c.write()
		c.run(adoptionBound)
	}
	return c.longestAdoption(base)
}

func TestAdoptionBoundHoldsWithLoss(t *testing.T) {
	for seed := range uint64(5) {
		longest, complete := runDataCentre(seed, variant{})
		assert.Assert(t, complete && longest <= adoptionBound, "seed %d", seed)
	}
}

// dropDigests returns a filter that drops the digests that announce an adoption
// or, if announcing is false, all others.
func dropDigests(announcing bool) func([]Effect) []Effect {
	return func(effects []Effect) []Effect {
		if (adoptedNumber(effects) > 0) != announcing {
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

// TestAdoptionBoundNeedsEachDigest verifies that the bound is exceeded without
// the digests that announce an adoption, and without the periodic digests that
// make up for their loss.
func TestAdoptionBoundNeedsEachDigest(t *testing.T) {
	for _, announcing := range []bool{true, false} {
		failed := false
		for seed := range uint64(5) {
			longest, complete := runDataCentre(seed, variant{
				opts:          Options{StaleAfter: time.Hour},
				filterEffects: dropDigests(announcing),
			})
			failed = failed || !complete || longest > adoptionBound
		}
		assert.Assert(t, failed, "the bound was met although digests were dropped (announcing: %v)", announcing)
	}
}

// killReaders stops all readers at once, while the peers still list them, and
// runs the cluster until fallback readers have taken over.
func killReaders(c *cluster) {
	for _, vm := range c.order {
		c.nodes[vm].dead = c.nodes[vm].state.IsReader()
	}
	c.run(DefaultStaleAfter + adoptionBound)
}

func TestStoppedReadersAreReplaced(t *testing.T) {
	longest, complete := runDataCentre(1, variant{afterSettling: killReaders})
	assert.Assert(t, complete && longest <= adoptionBound, "took %v", longest)
	_, complete = runDataCentre(1, variant{opts: Options{StaleAfter: time.Hour}, afterSettling: killReaders})
	assert.Assert(t, !complete, "changes were adopted although no node replaces the readers")
}

// TestFallbackStopsWhenReadersReturn verifies that only the readers poll the
// platform once they run again.
func TestFallbackStopsWhenReadersReturn(t *testing.T) {
	c := newCluster(Options{}, 1, 0)
	c.write()
	c.run(adoptionBound)
	killReaders(c)
	for _, n := range c.nodes {
		n.dead = false
	}
	c.run(2 * adoptionBound)
	c.resetCounts()
	c.run(10 * DefaultPollInterval)
	assert.Assert(t, c.reads <= 10*DefaultReaders+1, "%d reads", c.reads)
}

// TestIsolatedNodePollsPlatform verifies that a node that receives no digests
// polls the platform itself, although its rank does not make it a reader.
func TestIsolatedNodePollsPlatform(t *testing.T) {
	isolated := ""
	c := newCluster(Options{}, 1, 0)
	for _, vm := range c.order {
		if !c.nodes[vm].state.IsReader() {
			isolated = vm
		}
	}
	c.write()
	c.run(adoptionBound)
	c.nodes[isolated].state.Step(c.clock(), PeersChanged{})
	c.nodes[isolated].state.rank = len(c.order) // as if it still considered the others live
	for _, vm := range c.order {
		if vm != isolated {
			c.nodes[vm].dead = true
		}
	}
	c.write()
	c.run(DefaultStaleAfter/isolationDivisor + 2*DefaultPollInterval)
	_, complete := c.longestAdoption(0)
	assert.Assert(t, complete)
}

func TestOutageBoundsPlatformReads(t *testing.T) {
	c := newCluster(Options{}, dataCentreCount, 0)
	c.write()
	c.run(adoptionBound)
	c.platformDown = true
	c.run(3 * DefaultMaxBackoff)
	c.resetCounts()
	const window = 20 * time.Second
	c.run(window)
	reads := float64(c.reads) / window.Seconds()
	t.Logf("%d nodes, platform down: %.0f attempted reads/s", len(c.order), reads)
	assert.Assert(t, reads < readBudget/4)
	// A new node obtains the configuration from its peers during the outage.
	c.addNode("d00", "d00-new")
	c.updatePeers()
	c.run(adoptionBound)
	assert.Equal(t, c.nodes["d00-new"].state.Number(), uint64(1))
	c.platformDown = false
	c.write()
	c.run(adoptionBound)
	longest, complete := c.longestAdoption(1)
	assert.Assert(t, complete && longest <= adoptionBound, "after the outage: %v", longest)
}
