package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// fakeEngines answers probes and counts them by VM.
type fakeEngines struct {
	mu     sync.Mutex
	probes map[string]int
	answer func(id string) (fleet.Report, error)
	// warmthQuestions is the number of questions for the warmth of VMs, which are
	// answered with warmth, or fail with warmthErr.
	warmthQuestions int
	warmth          fleet.Warmth
	warmthErr       error
}

// Report implements Engines.
func (f *fakeEngines) Report(_ context.Context, _, id string) (fleet.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes[id]++
	return f.answer(id)
}

// Warmth implements Engines.
func (f *fakeEngines) Warmth(context.Context, dispatch.WarmthQuestion) (fleet.Warmth, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmthQuestions++
	return f.warmth, f.warmthErr
}

func (f *fakeEngines) count(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes[id]
}

// fleetHarness is the state and prober of an entry VM in front of groups of two
// VMs, with a manual clock and without a network.
type fleetHarness struct {
	t       *testing.T
	mu      sync.Mutex
	now     time.Time
	state   *State
	engines *fakeEngines
	prober  *Prober
}

func newFleetHarness(t *testing.T, groups int) *fleetHarness {
	s := &fleetHarness{t: t, now: time.Unix(1000, 0), engines: &fakeEngines{probes: make(map[string]int)}}
	s.state = NewState(discardLogger(), s.clock, dispatch.Options{
		DataCentre: "dc", ColdOverage: 1.5, RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second,
	})
	s.prober = NewProber(ProbeOptions{
		HeadEvery: time.Second, RelayedHeadEvery: 2 * time.Second, FastEvery: 100 * time.Millisecond, VerifyEvery: 300 * time.Millisecond, VerifyPerSecond: 20, Timeout: time.Second,
		StalledAfter: 500 * time.Millisecond, StalledFirst: time.Second, SilentAfter: time.Hour, FirstAfter: time.Hour, Metrics: metrics.NewRegistry(),
	}, s.state, s.engines)
	service := catalog.Service{Name: "llm", Engine: &catalog.Engine{Slots: 8, Models: []catalog.Model{{Name: "m", GroupSize: 2, Share: 1}}}}
	s.state.Operators(s.now, updates.Operators{Version: 1, Whole: true, Catalog: catalog.New(1, nil, []catalog.Service{service}, catalog.Accounts{}, catalog.Limits{})})
	var rows []fleet.Row
	for g := range groups {
		for rank, stage := range []fleet.Stage{fleet.Open, fleet.Ready} {
			id := string(rune('a'+g)) + string(rune('0'+rank))
			rows = append(rows, fleet.Row{
				ID: id, Service: "llm", Address: id, DataCentre: "dc", Slots: 8, Engine: true,
				State: fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{Group: id[:1], Epoch: 1, Rank: rank, Stage: stage}},
			})
		}
	}
	s.state.VMs(s.now, updates.VMs{Version: 1, Whole: true, Rows: rows})
	s.engines.answer = func(id string) (fleet.Report, error) { return s.report(id), nil }
	s.state.Tick()
	return s
}

func (s *fleetHarness) clock() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// report returns the report of a VM that agrees with its row.
func (s *fleetHarness) report(id string) fleet.Report {
	rank, stage := int(id[1]-'0'), fleet.Open
	if rank > 0 {
		stage = fleet.Ready
	}
	return fleet.Report{
		State: fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{Group: id[:1], Epoch: 1, Rank: rank, Stage: stage}},
		Load:  fleet.Load{Pace: 1},
	}
}

func (s *fleetHarness) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = s.now.Add(d)
}

// run advances the clock by d in ticks and waits for the probes of each tick.
func (s *fleetHarness) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for range d / tick {
		s.advance(tick)
		s.prober.Tick(context.Background(), s.state.Tick())
		for s.probing() {
			time.Sleep(time.Millisecond)
		}
	}
}

func (s *fleetHarness) probing() bool {
	s.prober.mu.Lock()
	defer s.prober.mu.Unlock()
	return len(s.prober.running) > 0
}

// A VM that asks for a pause in probes gets none during it, and does not count as
// failed.
func TestProbePauseDoesNotCountAsFailure(t *testing.T) {
	s := newFleetHarness(t, 1)
	s.engines.answer = func(id string) (fleet.Report, error) {
		return fleet.Report{}, &fleet.PausedError{VM: id, For: 5 * time.Second}
	}
	s.run(5 * time.Second)
	assert.Equal(t, s.engines.count("a0"), 1)
	s.state.Locked(func(st LockedState) { assert.Equal(t, st.VMs.Get("a0").FailedProbes, 0) })
	s.engines.answer = func(id string) (fleet.Report, error) { return s.report(id), nil }
	s.run(2 * time.Second)
	assert.Assert(t, s.engines.count("a0") > 1)
}

// A VM whose report announces that it is leaving gets no more requests.
func TestReportOfLeavingVMEndsItsUse(t *testing.T) {
	s := newFleetHarness(t, 1)
	s.engines.answer = func(id string) (fleet.Report, error) {
		r := s.report(id)
		r.Leaving = true
		return r, nil
	}
	s.run(2 * time.Second)
	_, refusal := s.state.pick(dispatch.Query{Service: "llm", Model: "m"}, func(dispatch.LossReason) {}, func(*dispatch.Ticket, dispatch.LossReason) {})
	assert.Assert(t, refusal != nil)
}

// Load: the network path to many VMs is lost. They must not all be probed again
// every 100 ms.
func TestRetriesOfManyVMsAreBounded(t *testing.T) {
	const groups, seconds = 20, 4
	s := newFleetHarness(t, groups)
	s.run(time.Second)
	before := s.engines.total()
	s.engines.answer = func(string) (fleet.Report, error) { return fleet.Report{}, errors.New("no answer") }
	s.run(seconds * time.Second)
	n := s.engines.total() - before
	assert.Assert(t, n >= 2*groups, "each VM should be probed again: %d probes", n)
	assert.Assert(t, n <= (20+groups)*seconds, "too many probes: %d", n)
}

func (f *fakeEngines) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, probes := range f.probes {
		n += probes
	}
	return n
}
