package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/cloud"
	"github.com/pimentoshore/pimentoshore/internal/standin/wire"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults, which
	// may overlap.
	meanFaultInterval = 450 * time.Millisecond
	// effectDuration is how long the effects of a fault may last after it ends.
	effectDuration = 6 * time.Second
)

// faults injects random faults into a site.
type faults struct {
	site *site
	rng  *rand.Rand
	wg   sync.WaitGroup
	// beside is whether other faults are injected beside those that the test is
	// about.
	beside bool
	// silentUntil is when each endpoint's silence ends or ended.
	silentUntil map[string]time.Time

	mu sync.Mutex
	// log lists the injected faults for the report.
	log     []string
	touches []*touch
	// copies are the copies of the store that restores choose from.
	copies []storeCopy
	// left is the endpoint that left, and leftAt when the store confirmed it.
	left   string
	leftAt time.Time
	errs   []error
}

func (f *faults) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// run injects faults until ctx ends, then waits until all of them have ended.
func (f *faults) run(ctx context.Context, inject func()) {
	for ctx.Err() == nil {
		inject()
		wait := time.Duration(f.rng.Int64N(int64(2 * meanFaultInterval)))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	f.wg.Wait()
}

// randomDuration returns a random duration from 100 ms to limit + 100 ms.
func (f *faults) randomDuration(limit time.Duration) time.Duration {
	return 100*time.Millisecond + time.Duration(f.rng.Int64N(int64(limit)))
}

// inject starts one random fault, which ends by itself.
func (f *faults) inject() {
	s := f.site
	node := s.nodes[f.rng.IntN(len(s.nodes))]
	vm := node.vm
	switch f.rng.IntN(14) {
	case 0:
		f.injectFor(vm, "paused", f.randomDuration(4*time.Second), func() { node.signal(syscall.SIGSTOP, false) }, func() { node.signal(syscall.SIGCONT, false) })
	case 1:
		f.injectFor(vm, "killed", f.randomDuration(2*time.Second), node.kill, node.start)
	case 2:
		f.injectFor(vm, "stopped", f.randomDuration(time.Second), func() { f.recordError(node.stop()) }, node.start)
	case 3:
		f.injectFor("", vm+" reloads", 0, func() { node.signal(syscall.SIGHUP, false) }, func() {})
	case 4:
		i := f.rng.IntN(len(s.engineLinks))
		f.injectLinkFault(s.engines[i].ID, s.engineLinks[i], f.randomDuration(3*time.Second))
	case 5:
		i := f.rng.IntN(len(s.shopLinks))
		f.injectLinkFault(shopName(i), s.shopLinks[i], f.randomDuration(2*time.Second))
	case 6:
		i := f.rng.IntN(len(s.storeLinks))
		f.injectLinkFault(doorOf(s.nodes[i].vm), s.storeLinks[i], f.randomDuration(6*time.Second))
	case 7:
		fault := []cloud.Fault{cloud.Busy, cloud.Silent, cloud.Lost}[f.rng.IntN(3)]
		f.injectFor("store", string(fault), f.randomDuration(6*time.Second),
			func() { s.store.Fail(fault) }, func() { s.store.Fail(cloud.Healthy) })
	case 8:
		e := s.engines[f.rng.IntN(len(s.engines))]
		f.injectFor(e.ID, "starts again", 0, func() { f.recordError(e.Restart()) }, func() {})
	case 9:
		f.injectOperatorChange()
	case 10:
		e := s.engines[f.rng.IntN(len(s.engines))]
		f.injectEndpointFault(e.ID, e, f.randomDuration(3*time.Second))
	case 11:
		i := f.rng.IntN(len(s.shops))
		f.injectEndpointFault(shopName(i), s.shops[i], f.randomDuration(2*time.Second))
	case 12:
		relist := func() { s.store.Relist("servers") }
		f.injectFor("", "rows lapse and are written again", f.randomDuration(time.Second), relist, relist)
	case 13:
		f.injectFalseRow(f.randomDuration(4 * time.Second))
	}
}

// injectFalseRow writes a row of a service that no configuration names, with the address
// of an endpoint, and removes it after d.
func (f *faults) injectFalseRow(d time.Duration) {
	rows := f.site.store.Rows("servers")
	if len(rows) == 0 {
		return
	}
	var endpoint struct {
		Address string `json:"address"`
	}
	f.recordError(json.Unmarshal(rows[f.rng.IntN(len(rows))].Value, &endpoint))
	id := fmt.Sprint("x-", f.rng.IntN(1000))
	begin := func() {
		f.recordError(f.site.store.Put("servers", id, map[string]any{
			"service": "ledger", "address": endpoint.Address, "zone": dataCentre(0), "slots": 6, "state": "ready", "born": time.Now().UnixMilli(),
		}))
	}
	f.injectFor("", "false row "+id+" with the address "+endpoint.Address, d, begin, func() { f.site.store.Delete("servers", id) })
}

// faultyEndpoint is an endpoint that can be made to misbehave and restarted.
type faultyEndpoint interface {
	Trouble(cloud.Trouble)
	Restart() error
}

// injectEndpointFault makes an endpoint misbehave for d. An endpoint that has
// announced that it leaves is restarted afterwards.
func (f *faults) injectEndpointFault(name string, e faultyEndpoint, d time.Duration) {
	trouble := []cloud.Trouble{cloud.Leaving, cloud.Pausing, cloud.EndlessHead, cloud.EndlessBody, cloud.OddStatus}[f.rng.IntN(5)]
	f.injectFor(name, string(trouble), d, func() { e.Trouble(trouble) }, func() {
		e.Trouble(cloud.Calm)
		if trouble == cloud.Leaving {
			f.recordError(e.Restart())
		}
	})
}

// injectOperatorChange makes a random change as an operator: a new configuration, the
// withdrawal of all keys for a while, or the evacuation of a data centre.
func (f *faults) injectOperatorChange() {
	switch f.rng.IntN(6) {
	case 0, 1, 2:
		f.injectFor("", "configuration", 0, f.site.configure, func() {})
		return
	case 3:
		f.injectFor("", "all keys withdrawn", f.randomDuration(2*keyValidity), f.site.withdrawAll, f.site.configure)
		return
	}
	dc := dataCentre(f.rng.IntN(2))
	f.injectFor("", dc+" evacuated", f.randomDuration(3*time.Second), func() { f.site.setEvacuated(dc, true) }, func() { f.site.setEvacuated(dc, false) })
}

// injectLinkFault injects a random fault into a link for d.
func (f *faults) injectLinkFault(name string, p *wire.Proxy, d time.Duration) {
	fault := []wire.Fault{wire.Delay, wire.Reset, wire.DropToServer, wire.Silent}[f.rng.IntN(4)]
	f.injectFor(name, fmt.Sprint("link ", p.Address(), " ", fault), d,
		func() { p.Set(fault) }, func() { p.Set(wire.Clear) })
}

// recordError records err unless it is nil.
func (f *faults) recordError(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// injectFor calls begin in a new goroutine, and end d later. The fault affects the
// target, which is empty for what is no fault, such as an operator's change.
func (f *faults) injectFor(target, what string, d time.Duration, begin, end func()) {
	f.wg.Go(func() {
		f.logf("%s for %s", strings.TrimSpace(target+" "+what), d)
		if target != "" {
			defer f.beginTouch(target)()
		}
		begin()
		time.Sleep(d)
		end()
	})
}
