package budget

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const walkSteps = 1000

// walk takes random steps and returns the first violation of an invariant.
func walk(draw func(int) int, s setup) error {
	w := newWorld(draw, s)
	for range walkSteps {
		w.step()
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func seededDraw(seed uint64) func(int) int {
	rng := rand.New(rand.NewPCG(seed, seed))
	return rng.IntN
}

// violations returns the number of seeds whose walk violates an invariant.
func violations(s setup) int {
	failed := 0
	for seed := range uint64(100) {
		if walk(seededDraw(seed), s) != nil {
			failed++
		}
	}
	return failed
}

func TestSharesNeverExceedLimit(t *testing.T) {
	for _, s := range []setup{{}, {demand: true}, {guest: true}} {
		for seed := range uint64(150) {
			assert.NilError(t, walk(seededDraw(seed), s), "seed %d, %+v", seed, s)
		}
	}
}

func TestSharesNeverExceedLimitRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		s := rapid.SampledFrom([]setup{{}, {demand: true}, {guest: true}}).Draw(rt, "setup")
		if err := walk(draw, s); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestDisabledMechanismBreaksLimit(t *testing.T) {
	tests := []struct {
		name  string
		setup setup
	}{
		{"growth without release", setup{disabled: mechanisms{releases: true}}},
		{"new ledger without sync", setup{disabled: mechanisms{sync: true}}},
		{"new ledger without sync, guest", setup{guest: true, disabled: mechanisms{sync: true}}},
		{"no warm-up", setup{noWarmup: true}},
		{"growth without release, by demand", setup{demand: true, disabled: mechanisms{releases: true}}},
		{"new ledger without sync, by demand", setup{demand: true, disabled: mechanisms{sync: true}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			failed := violations(tc.setup)
			t.Logf("%d of 100 walks exceed the limit", failed)
			assert.Assert(t, failed > 0)
		})
	}
}

// TestHealedNetworkGrantsEverything checks that the whole limit is granted again
// once messages are delivered reliably and old ones have expired.
func TestHealedNetworkGrantsEverything(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(seededDraw(seed), setup{})
		for range walkSteps {
			w.step()
		}
		w.heal()
		assert.NilError(t, w.check(), "seed %d", seed)
		total := 0
		for _, p := range w.nodes {
			total += p.shares.State("e").Limit
		}
		assert.Equal(t, total, w.limit(), "seed %d", seed)
	}
}
