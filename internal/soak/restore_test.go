package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
)

const (
	// restoreTime leaves time for two restores and for what follows them.
	restoreTime = 15 * time.Second
	// A restore begins minRestorePause to maxRestorePause after the last one.
	minRestorePause = 1100 * time.Millisecond
	maxRestorePause = 3 * time.Second
	// maxRestoreTime is how long a restore and what belongs to it last.
	maxRestoreTime = maxAway + maxRewrite + maxRewrite
	// The store is away for minAway to maxAway.
	minAway = time.Second
	maxAway = 2 * time.Second
	// The copy from which the store comes back has an age of minCopyAge to maxCopyAge.
	minCopyAge = 3 * time.Second
	maxCopyAge = 9 * time.Second
	// What operators and VMs wrote is written again after minRewrite to maxRewrite.
	minRewrite = 500 * time.Millisecond
	maxRewrite = 1500 * time.Millisecond
	// copyInterval is the time between two copies of the store.
	copyInterval = 500 * time.Millisecond
)

// restoreRegressions maps each seed of TestSoakRestore that once failed to the cause.
var restoreRegressions = map[uint64]string{}

// Guards against nodes that go back, stand still or press the store after it came
// back older.
func TestSoakRestore(t *testing.T) {
	runSeeds(t, restoreRegressions, scenario{duration: max(restoreTime, *faultTime), strict: true, play: func(ctx context.Context, f *faults) {
		f.beside = f.rng.IntN(2) == 0
		rng := rand.New(rand.NewPCG(f.rng.Uint64(), 2))
		f.wg.Go(func() { f.keepCopies(ctx) })
		f.wg.Go(func() { f.restoreRepeatedly(ctx, rng) })
		f.run(ctx, f.injectBesideRestore)
		time.Sleep(contactTime + configTime) // time bounds hold again
	}})
}

// storeCopy is a copy of the store.
type storeCopy struct {
	at       time.Time
	contents cloud.Snapshot
}

// keepCopies copies the store until ctx ends.
func (f *faults) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		f.copies = append(f.copies, storeCopy{time.Now(), f.site.store.Snapshot()})
		f.mu.Unlock()
		time.Sleep(copyInterval)
	}
}

// newestCopy returns the newest copy of at least the given age, or else the oldest.
func (f *faults) newestCopy(age time.Duration) storeCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.copies[0]
	for _, c := range f.copies {
		if time.Since(c.at) >= age {
			newest = c
		}
	}
	return newest
}

// between returns a random duration from low to high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// leave makes a shop leave. The first copy of the store doesn't show it.
func (f *faults) leave(rng *rand.Rand) {
	i, announce := rng.IntN(len(f.site.shops)), rng.IntN(2) == 0
	f.recordError(f.site.shops[i].Leave(announce))
	f.logf("%s leaves, announced %t", shopName(i), announce)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left, f.leftAt = shopName(i), time.Now()
}

// restoreRepeatedly restores the store from copies until too little time is left.
func (f *faults) restoreRepeatedly(ctx context.Context, rng *rand.Rand) {
	time.Sleep(copyInterval / 2) // the first copy is made
	if rng.IntN(2) == 0 {
		f.leave(rng)
	}
	time.Sleep(minCopyAge - minAway - minRestorePause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(between(rng, minRestorePause, maxRestorePause)):
		}
		if end, _ := ctx.Deadline(); time.Until(end) < maxRestoreTime {
			return
		}
		f.restore(rng)
	}
}

// restore makes the store go away and come back from a copy. After a while what
// operators and VMs wrote is written again, and a configuration follows.
func (f *faults) restore(rng *rand.Rand) {
	s := f.site
	fault := []cloud.Fault{cloud.Busy, cloud.Silent}[rng.IntN(2)]
	away, age := between(rng, minAway, maxAway), between(rng, minCopyAge, maxCopyAge)
	rewrite, configure := between(rng, minRewrite, maxRewrite), between(rng, 0, maxRewrite)
	end := f.beginTouch("store")
	f.logf("store away (%s) for %s", fault, away)
	s.storeAway.Store(true)
	s.store.Fail(fault)
	time.Sleep(away)
	from := f.newestCopy(age)
	s.store.Restore(from.contents)
	s.store.Fail(cloud.Healthy)
	s.storeAway.Store(false)
	f.logf("store restored from a copy %s old", time.Since(from.at))
	time.Sleep(rewrite)
	s.store.Rewrite()
	end()
	f.logf("rows written again")
	time.Sleep(configure)
	s.configure()
	f.logf("configuration after restore")
}

// injectBesideRestore injects a change by operators or a fault of what reads the
// store.
func (f *faults) injectBesideRestore() {
	s := f.site
	i := f.rng.IntN(len(s.nodes))
	node := s.nodes[i]
	kind := f.rng.IntN(13)
	switch {
	case kind < 5:
		f.injectFor("", "configuration", 0, s.configure, func() {})
	case kind < 7:
		f.injectOperatorChange()
	case kind < 8:
		f.injectSilence()
	case !f.beside:
	case kind == 8:
		f.injectLinkFault(doorOf(node.vm), s.storeLinks[i], f.randomDuration(3*time.Second))
	case kind == 9:
		f.injectFor(node.vm, "paused", f.randomDuration(2*time.Second), func() { node.signal(syscall.SIGSTOP, false) }, func() { node.signal(syscall.SIGCONT, false) })
	case kind == 10:
		f.injectFor(node.vm, "killed", f.randomDuration(2*time.Second), node.kill, node.start)
	case kind == 11:
		f.injectFor("", node.vm+" reloads", 0, func() { node.signal(syscall.SIGHUP, false) }, func() {})
	case kind == 12:
		e := s.engines[f.rng.IntN(len(s.engines))]
		f.injectFor(e.ID, "starts again", 0, func() { f.recordError(e.Restart()) }, func() {})
	}
}
