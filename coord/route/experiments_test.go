package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/route"
)

// policies are the compared systems; the first is the one under test.
var policies = []policy{
	{name: "pimentoshore"},
	{name: "round robin", unbounded: true, table: route.Options{RoundRobin: true, IgnoreLatency: true}},
	{name: "lagging reports", unbounded: true, table: route.Options{IgnoreOwn: true, IgnoreLatency: true}},
	{name: "no warm-up", warmup: budget.Warmup{Off: true}},
	{name: "no retry budget", noRetryBudget: true},
}

// scenario is one fault under load; start is called when arrivals begin.
type scenario struct {
	name  string
	rate  float64 // of the capacity
	lag   time.Duration
	start func(s *sim)
}

const usualLag = 300 * time.Millisecond

var scenarios = []scenario{
	{name: "steady burst", rate: 0.7, lag: usualLag, start: func(*sim) {}},
	{name: "overload 2x", rate: 2, lag: usualLag, start: func(*sim) {}},
	{name: "one group lost", rate: 0.7, lag: usualLag, start: func(s *sim) {
		s.at(20*time.Second, func() { s.crash(s.endpoints[0], 15*time.Second) })
	}},
	{name: "fabric domain dark", rate: 0.7, lag: usualLag, start: func(s *sim) {
		s.at(20*time.Second, func() {
			for _, e := range s.endpoints[:simPerDC] {
				s.crash(e, 15*time.Second)
			}
		})
	}},
	{name: "data centre out, back", rate: 0.6, lag: usualLag, start: func(s *sim) {
		s.at(15*time.Second, func() { s.outDC = 0 })
		s.at(25*time.Second, func() {
			for _, e := range s.endpoints[:simPerDC] {
				s.crash(e, simRestart)
			}
		})
		s.at(35*time.Second, func() { s.outDC = -1 })
	}},
	{name: "stale reports", rate: 0.7, lag: 5 * time.Second, start: func(*sim) {}},
}

var seeds = []uint64{1, 2, 3}

func experiment(sc scenario, p policy) outcome {
	var sum outcome
	for _, seed := range seeds {
		s := newSim(p, seed, sc.lag)
		sc.start(s)
		s.arrive(sc.rate * simCapacity)
		s.run(s.end.Add(2 * simRun))
		r := s.result
		r.late += len(s.jobs) // not answered long after the run
		sum.offered += r.offered
		sum.good += r.good
		sum.late += r.late
		sum.lost += r.lost
		sum.refused += r.refused
		sum.attempts += r.attempts
		sum.crashes += r.crashes
		sum.coldLoad = max(sum.coldLoad, r.coldLoad)
	}
	return sum
}

func TestExperiments(t *testing.T) {
	results := map[string]map[string]outcome{}
	fmt.Println("| scenario | policy | offered | good | late | lost | refused | cold load | crashes | attempts |")
	fmt.Println("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|")
	for _, sc := range scenarios {
		results[sc.name] = map[string]outcome{}
		for _, p := range policies {
			r := experiment(sc, p)
			results[sc.name][p.name] = r
			fmt.Printf("| %s | %s | %d | %.1f%% | %d | %d | %d | %.2f | %d | %d |\n",
				sc.name, p.name, r.offered, 100*float64(r.good)/float64(r.offered),
				r.late, r.lost, r.refused, r.coldLoad, r.crashes, r.attempts)
			assert.Equal(t, r.offered, r.good+r.late+r.lost+r.refused, "%s, %s", sc.name, p.name)
		}
	}
}
