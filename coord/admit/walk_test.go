package admit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// checkInvariants returns an error if a limit is exceeded, a request is in two
// states or none, or a waiting request can no longer be answered in time.
func checkInvariants(d *driver, now time.Time, maxQueue int) error {
	t := d.targets["m"]
	if t == nil {
		return nil
	}
	if t.queued > maxQueue {
		return fmt.Errorf("%d requests are waiting, the limit is %d", t.queued, maxQueue)
	}
	queued := 0
	for _, l := range t.lanes {
		queued += len(l.items)
		if s := d.shares.State(l.account.share); s.InFlight > s.Limit {
			return fmt.Errorf("account %s has %d requests in flight, the limit is %d", l.account.Name, s.InFlight, s.Limit)
		}
		for _, w := range l.items {
			if w.missesDeadline(now, t.throughput.serviceTime(w.Cost)) {
				return fmt.Errorf("request %d is waiting although its deadline cannot be met", w.ID)
			}
		}
	}
	if queued != t.queued || int(d.next) != queued+len(d.refused)+d.admittedTotal() {
		return fmt.Errorf("%d requests offered, but %d waiting, %d refused and %d admitted", d.next, queued, len(d.refused), d.admittedTotal())
	}
	return nil
}

func (d *driver) admittedTotal() int {
	total := 0
	for _, n := range d.admitted {
		total += n
	}
	return total
}

// randomWalk takes random steps and returns the first violation of an invariant.
func randomWalk(draw func(n int) int, opts Options) error {
	opts.MaxQueue = 12
	d := newDriver(opts, 4)
	now := start
	for a := range 3 {
		d.grant(fmt.Sprint("c", a), 3+a, 10, false)
	}
	for range 300 {
		now = now.Add(time.Duration(draw(300)) * time.Millisecond)
		switch k := draw(10); {
		case k < 5:
			d.offer(now, fmt.Sprint("c", draw(3)), time.Duration(1+draw(8000))*time.Millisecond, draw(2))
		case k < 8:
			if len(d.running) > 0 {
				d.finish(now)
			}
		default:
			d.endpoints.free = max(0, d.endpoints.free+draw(3)-1)
		}
		d.apply(d.Tick(now))
		if err := checkInvariants(d, now, opts.MaxQueue); err != nil {
			return err
		}
	}
	return nil
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		if err := randomWalk(draw, Options{}); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestHoldToDeadlineBreaksInvariant(t *testing.T) {
	seed := uint64(1)
	draw := func(n int) int {
		seed = seed*6364136223846793005 + 1442695040888963407
		return int(seed>>33) % n
	}
	assert.ErrorContains(t, randomWalk(draw, Options{HoldToDeadline: true}), "cannot be met")
}
