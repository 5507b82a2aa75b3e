package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countArrival records a request at an endpoint, and names the endpoint's limit.
func (s *crashSite) countArrival(id string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodeNamed(r.Header.Get("X-Node"))
	s.arrivals[id] = append(s.arrivals[id], arrival{time.Now(), n.told[id]})
	limit := s.limits[id]
	if limit == 0 {
		return
	}
	w.Header().Set("X-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
	if n.told[id].IsZero() {
		n.told[id] = time.Now()
	}
}

// limit makes the first n endpoints name a limit.
func (s *crashSite) limit(n int, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range n {
		s.limits[fmt.Sprintf("vm-%03d", i+1)] = perSecond
	}
}

// mostOver returns by how many requests an endpoint with a limit got more than it
// allows in a window, from a time on. Requests of entry VMs that had not passed on
// its answer for a while don't count.
func (s *crashSite) mostOver(from time.Time) int {
	const window, notice = 4 * time.Second, 500 * time.Millisecond
	most := 0
	for id, limit := range s.limits {
		allowed := int(1.5*limit*window.Seconds() + 5)
		var recent []time.Time
		for _, a := range s.arrivals[id] {
			if a.at.Before(from) || a.told.IsZero() || a.at.Sub(a.told) < notice {
				continue
			}
			recent = append(recent, a.at)
			for a.at.Sub(recent[0]) >= window {
				recent = recent[1:]
			}
			most = max(most, len(recent)-allowed)
		}
	}
	return most
}

func TestEndpointsGetNoMoreThanTheLimitsThatTheyName(t *testing.T) {
	for _, test := range []struct {
		name             string
		nodes, endpoints int
		limited          int
		perSecond        float64
		rate             int
	}{
		{"below half the usual rate", 4, 12, 8, 1.5, 60},
		{"below one request a node and window", 12, 12, 8, 0.5, 60},
		{"of all endpoints", 4, 6, 6, 2, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCrashSite(t, test.nodes, test.endpoints)
				ctx, cancel := context.WithCancel(t.Context())
				var ticks sync.WaitGroup
				ticks.Go(func() { s.run(ctx) })
				time.Sleep(time.Second)
				s.send(test.rate, 3*time.Second, soundParts)
				s.limit(test.limited, test.perSecond)
				named := time.Now()
				limited := s.send(test.rate, 15*time.Second, soundParts)
				over := s.mostOver(named.Add(contact))
				s.limit(test.limited, 0)
				s.send(test.rate, 4*time.Second, soundParts)
				after := s.send(test.rate, 4*time.Second, soundParts)
				cancel()
				ticks.Wait()
				t.Logf("limited: %v, afterwards: %v", limited.by, after.by)
				assert.Assert(t, over <= 0, "an endpoint got %d requests more than its limit allows in 4 s", over)
				// Half of what the limits and the free places allow, at the least.
				free := (test.endpoints - test.limited) * crashSlots
				allowed := min(float64(limited.total()), 15*(float64(test.limited)*test.perSecond+float64(free)))
				assert.Assert(t, float64(limited.by[http.StatusOK]) >= allowed/2, "answered %d, allowed %.0f", limited.by[http.StatusOK], allowed)
				assert.Equal(t, after.by[http.StatusOK], after.total(), "answers afterwards: %v", after.by)
			})
		})
	}
}

// Days on which endpoints name limits while entry VMs restart and are cut off, and
// endpoints end.
func TestNamedLimitsAmongOtherTrouble(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { playLimitedDay(t, seed) })
		})
	}
}

func playLimitedDay(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := newCrashSite(t, 2+rng.IntN(12), 8+rng.IntN(12))
	ctx, cancel := context.WithCancel(t.Context())
	var ticks, wg sync.WaitGroup
	ticks.Go(func() { s.run(ctx) })
	time.Sleep(time.Second)
	s.skewed = rng.IntN(2) == 0
	limited, perSecond := 1+rng.IntN(12), 0.3+5*rng.Float64()
	s.limit(limited, perSecond)
	named := time.Now()
	var during *outcomes
	wg.Go(func() { during = s.send(60, 20*time.Second, soundParts) })
	wg.Go(func() { s.makeTrouble(rng, 18*time.Second) })
	wg.Wait()
	over := s.mostOver(named.Add(contact))
	s.limit(limited, 0)
	s.send(60, 4*time.Second, soundParts)
	after := s.send(60, 4*time.Second, soundParts)
	cancel()
	ticks.Wait()
	t.Logf("%d nodes, skewed %t, %d endpoints take %.1f a second: %d over; during %v, afterwards %v", s.total, s.skewed, limited, perSecond, over, during.by, after.by)
	assert.Assert(t, over <= 0, "an endpoint got %d requests more than its limit allows in 4 s", over)
	assert.Assert(t, 10*after.by[http.StatusOK] >= 9*after.total(), "answers afterwards: %v", after.by)
}
