package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

const (
	// faultEvery is the mean time between two faults, which may overlap.
	faultEvery = 450 * time.Millisecond
	// settled is how long after a fault what it did may still be seen.
	settled = 6 * time.Second
)

// faults injects what its seed draws.
type faults struct {
	site *site
	rng  *rand.Rand
	wg   sync.WaitGroup

	mu sync.Mutex
	// log tells what was done, for a report.
	log  []string
	errs []error
}

func (f *faults) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// run injects faults until the context ends, and waits for the last to end.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.inject()
		wait := time.Duration(f.rng.Int64N(int64(2 * faultEvery)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.wg.Wait()
}

// within draws a time up to most.
func (f *faults) within(most time.Duration) time.Duration {
	return 100*time.Millisecond + time.Duration(f.rng.Int64N(int64(most)))
}

// inject begins one fault. It ends by itself.
func (f *faults) inject() {
	s := f.site
	node := s.nodes[f.rng.IntN(len(s.nodes))]
	switch f.rng.IntN(12) {
	case 0:
		f.during(node.vm+" paused", f.within(4*time.Second), func() { node.signal(syscall.SIGSTOP, false) }, func() { node.signal(syscall.SIGCONT, false) })
	case 1:
		f.during(node.vm+" killed", f.within(2*time.Second), node.kill, node.start)
	case 2:
		f.during(node.vm+" stopped", f.within(time.Second), func() { f.check(node.stop()) }, node.start)
	case 3:
		f.during(node.vm+" reloads", 0, func() { node.signal(syscall.SIGHUP, false) }, func() {})
	case 4:
		f.wire("engine's link", s.engineLinks[f.rng.IntN(len(s.engineLinks))], f.within(3*time.Second))
	case 5:
		f.wire("shop's link", s.shopLinks[f.rng.IntN(len(s.shopLinks))], f.within(2*time.Second))
	case 6:
		f.wire("door", s.doors[f.rng.IntN(len(s.doors))], f.within(6*time.Second))
	case 7:
		fault := []cloud.Fault{cloud.Busy, cloud.Silent, cloud.Lost}[f.rng.IntN(3)]
		f.during("store "+string(fault), f.within(6*time.Second),
			func() { s.store.Fail(fault) }, func() { s.store.Fail(cloud.Healthy) })
	case 8:
		e := s.engines[f.rng.IntN(len(s.engines))]
		f.during(e.ID+" starts again", 0, func() { f.check(e.Restart()) }, func() {})
	case 9:
		f.operate()
	case 10:
		e := s.engines[f.rng.IntN(len(s.engines))]
		f.trouble(e.ID, e, f.within(3*time.Second))
	case 11:
		shop := s.shops[f.rng.IntN(len(s.shops))]
		f.trouble("shop", shop, f.within(2*time.Second))
	}
}

// troubled is an endpoint that can be made to misbehave.
type troubled interface {
	Trouble(cloud.Trouble)
	Restart() error
}

// trouble lets an endpoint misbehave. One that has said that it leaves starts
// again.
func (f *faults) trouble(name string, e troubled, d time.Duration) {
	trouble := []cloud.Trouble{cloud.Leaving, cloud.Pausing, cloud.EndlessHead, cloud.EndlessBody}[f.rng.IntN(4)]
	f.during(fmt.Sprint(name, " ", trouble), d, func() { e.Trouble(trouble) }, func() {
		e.Trouble(cloud.Calm)
		if trouble == cloud.Leaving {
			f.check(e.Restart())
		}
	})
}

// operate changes what operators have put in force.
func (f *faults) operate() {
	if f.rng.IntN(3) > 0 {
		f.during("configuration", 0, f.site.configure, func() {})
		return
	}
	dc := dataCentre(f.rng.IntN(2))
	f.during(dc+" evacuated", f.within(3*time.Second), func() { f.site.evacuate(dc, true) }, func() { f.site.evacuate(dc, false) })
}

func (f *faults) wire(what string, p *wire.Proxy, d time.Duration) {
	fault := []wire.Fault{wire.Delay, wire.Reset, wire.DropToServer, wire.Silent}[f.rng.IntN(4)]
	f.during(fmt.Sprint(what, " ", p.Address(), " ", fault), d,
		func() { p.Set(fault) }, func() { p.Set(wire.Clear) })
}

func (f *faults) check(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// during begins something and ends it after d.
func (f *faults) during(what string, d time.Duration, begin, end func()) {
	f.wg.Go(func() {
		f.note("%s for %s", what, d)
		begin()
		time.Sleep(d)
		end()
	})
}
