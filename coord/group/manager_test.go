package group

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func model(name string, size, groups int) inventory.Model {
	return inventory.Model{Name: name, GroupSize: size, Groups: groups, MaxInFlight: 8, ColdInFlight: 1}
}

// formed returns a world of two domains whose groups are whole.
func formed(t *testing.T, opts Options, size int, models ...inventory.Model) *world {
	t.Helper()
	w := newWorld(opts, inventoryOf(2, size, models...), 1, 1)
	w.run(40 * time.Second)
	sound(t, w)
	return w
}

func sound(t *testing.T, w *world) {
	t.Helper()
	assert.Equal(t, len(w.faults), 0, "%v", w.faults)
}

func TestAssemblesWithinDomains(t *testing.T) {
	w := formed(t, testOptions(), 7, model("m", 3, 0))
	assert.Equal(t, w.serving(), 4)
	for _, g := range w.manager().Groups() {
		for _, name := range g.Members {
			assert.Equal(t, w.byName[name].vm.FabricDomain, g.FabricDomain)
		}
	}
}
