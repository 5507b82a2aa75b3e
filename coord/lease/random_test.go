package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that each run generates the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const randomRunTime = 2 * time.Minute

func drawFaults(t *rapid.T) faults {
	rate := func(name string, highest int) int {
		return rapid.IntRange(0, highest).Draw(t, name)
	}
	return faults{
		late: rate("late", 150), lost: rate("lost", 300), duplicated: rate("doubled", 300),
		pause: rate("pause", 15), restart: rate("restart", 5), kill: rate("kill", 1),
		outage: rate("outage", 10), partition: rate("cut", 15), stop: rate("stop", 2), relay: rate("tell", 300),
		drift: 24_000,
	}
}

// drawRestores adds restores of the table to faults.
func drawRestores(t *rapid.T, f faults) faults {
	f.restore = rapid.IntRange(1, 20).Draw(t, "restore")
	return f
}

func testNodes(count int, edit func(*Options)) []Options {
	var list []Options
	for i := range count {
		o := testOptions(fmt.Sprintf("e%d", i+1))
		o.Seed = uint64(i + 1)
		if edit != nil {
			edit(&o)
		}
		list = append(list, o)
	}
	return list
}

func TestAtMostOneHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		count := rapid.IntRange(1, 4).Draw(t, "nodes")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), f, testNodes(count, nil)...)
		sim.run(randomRunTime)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		held += len(sim.termHolder)
	})
	t.Logf("terms held: %d", held)
	assert.Assert(t, held > 100, "the runs must take over the lease often: %d terms", held)
}

// Guards against two holders, and against terms that are given out again, after the
// table came back from an older copy.
func TestAtMostOneHolderWithRestores(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		f := drawRestores(t, drawFaults(t))
		count := rapid.IntRange(1, 4).Draw(t, "nodes")
		nodes := testNodes(count, func(o *Options) { o.WithoutPromises = true })
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), f, nodes...)
		sim.run(randomRunTime)
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
		held += len(sim.termHolder)
	})
	t.Logf("terms held: %d", held)
	assert.Assert(t, held > 100, "the runs must take over the lease often: %d terms", held)
}
