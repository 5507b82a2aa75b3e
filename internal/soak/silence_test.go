package soak

import (
	"context"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

const (
	// A silence lasts for minSilence to maxSilence, and an endpoint goes on for
	// silenceGap at least before the next one.
	minSilence = 800 * time.Millisecond
	maxSilence = 1500 * time.Millisecond
	silenceGap = time.Second
)

// silenceRegressions maps each seed of TestSoakSilence that once failed to the cause.
var silenceRegressions = map[uint64]string{}

// Guards against answers that end because a sound endpoint is silent for a while.
func TestSoakSilence(t *testing.T) {
	runSeeds(t, silenceRegressions, scenario{duration: *faultTime, strict: true, play: func(ctx context.Context, f *faults) {
		f.beside = f.rng.IntN(2) == 0
		f.run(ctx, f.injectSilenceAndChanges)
	}})
}

// injectSilenceAndChanges makes endpoints silent or changes the configuration.
func (f *faults) injectSilenceAndChanges() {
	switch f.rng.IntN(8) {
	case 0, 1:
		f.injectFor("", "configuration", 0, f.site.configure, func() {})
	case 2:
		if f.beside {
			f.inject()
		}
	case 3:
		for i := range f.site.engines {
			f.silenceEngine(i)
		}
	default:
		f.injectSilence()
	}
}

// injectSilence makes one endpoint silent.
func (f *faults) injectSilence() {
	if f.rng.IntN(4) > 0 {
		f.silenceEngine(f.rng.IntN(len(f.site.engines)))
		return
	}
	i := f.rng.IntN(len(f.site.shops))
	f.silence(shopName(i), f.site.shopLinks[i])
}

func (f *faults) silenceEngine(i int) { f.silence(f.site.engines[i].ID, f.site.engineLinks[i]) }

// silence holds back what an endpoint sends and receives, unless it was silent just
// now.
func (f *faults) silence(name string, link *wire.Proxy) {
	d := minSilence + time.Duration(f.rng.Int64N(int64(maxSilence-minSilence)))
	if time.Since(f.silentUntil[name]) < silenceGap {
		return
	}
	f.silentUntil[name] = time.Now().Add(d)
	f.injectFor("", name+" silent", d, func() { link.Set(wire.Held) }, func() { link.Set(wire.Clear) })
}
