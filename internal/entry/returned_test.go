package entry

import (
	"context"
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

const (
	coldPerSecond = 10
	coldLimit     = 20 // coldPerSecond times the overage of 1.5, plus the slack of 5
	coldTime      = 3 * time.Second
)

// coldSite is several entry VMs in front of one group with a manual clock. No state
// reads from a store: tests apply what the store says.
type coldSite struct {
	t       *testing.T
	now     time.Time
	nodes   []*State
	version uint64
}

func newColdSite(t *testing.T, nodes int) *coldSite {
	s := &coldSite{t: t, now: time.Unix(1000, 0)}
	for range nodes {
		s.nodes = append(s.nodes, s.newNode(len(s.nodes), nodes))
	}
	s.readAll()
	s.advance(time.Minute) // no node has just started
	return s
}

func (s *coldSite) newNode(rank, nodes int) *State {
	n := NewState(discardLogger(), func() time.Time { return s.now }, dispatch.Options{
		DataCentre: "other", ColdOverage: 1.5, ColdSlack: 5, RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second,
	})
	n.Locked(func(st LockedState) { st.Targets.SetNodes(s.now, nodes, rank) })
	return n
}

// advance lets time pass, in which nodes read that nothing has changed.
func (s *coldSite) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		s.operators(nil)
	}
}

// operators makes all nodes read a change of evacuations.
func (s *coldSite) operators(evacuated map[string]bool) {
	s.version++
	for _, n := range s.nodes {
		n.Operators(s.now, updates.Operators{Version: s.version, Evacuated: evacuated})
		n.Tick()
	}
}

// readAll makes all nodes read all rows.
func (s *coldSite) readAll() {
	s.version++
	for _, n := range s.nodes {
		s.readAllBy(n)
	}
}

func (s *coldSite) readAllBy(n *State) {
	service := catalog.Service{Name: "llm", ColdPerSecond: coldPerSecond, ColdTime: coldTime, HealthPath: "/health", Engine: &catalog.Engine{
		Slots: 1000, Models: []catalog.Model{{Name: "m", GroupSize: 1, Share: 1}},
	}}
	n.Operators(s.now, updates.Operators{Version: s.version, Whole: true, Catalog: catalog.New(1, nil, []catalog.Service{service}, catalog.Accounts{}, catalog.Limits{})})
	n.VMs(s.now, updates.VMs{Version: s.version, Whole: true, Rows: []fleet.Row{s.row(0)}})
	n.Tick()
}

// row returns the row of the group's head.
func (s *coldSite) row(coldLeft time.Duration) fleet.Row {
	return fleet.Row{
		ID: "i-1", Service: "llm", Address: "10.0.0.1:1", DataCentre: "dc", Slots: 1000, Engine: true, ColdLeft: coldLeft,
		State: fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{Group: "g", Epoch: 1, Stage: fleet.Open}},
	}
}

// listAs makes all nodes read a change of the head's row.
func (s *coldSite) listAs(row fleet.Row) {
	s.version++
	for _, n := range s.nodes {
		n.VMs(s.now, updates.VMs{Version: s.version, Rows: []fleet.Row{row}})
		n.Tick()
	}
}

// report makes all nodes get an answer of the head to a probe.
func (s *coldSite) report(warmth *fleet.Warmth) {
	for _, n := range s.nodes {
		n.Locked(func(st LockedState) {
			st.VMs.ApplyReport(s.now, s.now, "i-1", fleet.Report{State: s.row(0).State, Load: fleet.Load{Pace: 1}, Warmth: warmth})
		})
		n.Tick()
	}
}

// sent returns how many of 200 requests of all nodes are sent to the head now.
func (s *coldSite) sent() int {
	sent := 0
	for _, n := range s.nodes {
		for i := range 200 / len(s.nodes) {
			ticket, _ := n.pick(dispatch.Query{Service: "llm", Model: "m", Draw: uint64(i)}, nil, nil)
			if ticket != nil {
				n.finish(ticket, dispatch.Succeeded)
				sent++
			}
		}
	}
	return sent
}

func (s *coldSite) assertCold(what string) {
	s.t.Helper()
	sent := s.sent()
	assert.Check(s.t, sent <= coldLimit, "%s: %d requests sent to an endpoint that may be cold", what, sent)
}

func (s *coldSite) assertWarm(what string) {
	s.t.Helper()
	assert.Check(s.t, s.sent() > coldLimit, "%s: the endpoint counts as cold", what)
}

// Guards against a cold endpoint that all nodes overrun as its data centre is taken
// back, because it can't write in its row that it is cold (review/5).
func TestEndpointsOfAReturnedDataCentreMayBeCold(t *testing.T) {
	s := newColdSite(t, 8)
	s.assertWarm("before")
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.operators(map[string]bool{"dc": false})
	s.assertCold("as it is taken back")
	s.advance(coldTime - 500*time.Millisecond)
	s.assertCold("until it must be warm")
	s.advance(500 * time.Millisecond)
	s.assertWarm("after that")
}

// Guards against the same where the change that ends an evacuation is all that a node
// hears of it, as its reads had failed.
func TestEvacuationThatWasNotSeenMayLeaveEndpointsCold(t *testing.T) {
	s := newColdSite(t, 8)
	s.now = s.now.Add(10 * time.Second)
	s.operators(map[string]bool{"dc": false})
	s.assertCold("its end alone was read")
}

// Guards against the same where the store keeps no changes of the time in which an
// evacuation may have begun and ended.
func TestEvacuationThatTheHistoryLacksMayLeaveEndpointsCold(t *testing.T) {
	s := newColdSite(t, 8)
	s.readAll()
	s.assertWarm("the settings were read half a second ago")
	s.now = s.now.Add(shortGap)
	s.readAll()
	s.assertWarm("the settings were read shortly before")
	s.now = s.now.Add(10 * time.Second)
	s.readAll()
	s.assertCold("the settings were read 10 s ago")
}

const shortGap = time.Second

// Guards against the same in processes that have just started, and in those that learn
// from them. A node that has followed all evacuations ends the uncertainty.
func TestNewProcessDoesNotKnowWhetherEndpointsAreCold(t *testing.T) {
	s := newColdSite(t, 1)
	knows := s.nodes[0]
	restarted := s.newNode(0, 2)
	s.readAllBy(restarted)
	follower := s.newNode(1, 2)
	follower.ApplyAnswer(s.now, true, restarted.Answer(updates.Position{}))
	s.nodes = []*State{restarted, follower}
	s.tick()
	s.assertCold("just started")
	for _, n := range s.nodes {
		n.ApplyAnswer(s.now, true, knows.Answer(n.Position()))
	}
	s.tick()
	s.assertWarm("another node has followed all evacuations")
}

func (s *coldSite) tick() {
	s.now = s.now.Add(200 * time.Millisecond)
	for _, n := range s.nodes {
		n.Tick()
	}
}

// Guards against nodes that learn from another one, and don't hear that a data centre
// was taken back in between.
func TestReturnOfADataCentreIsPassedOn(t *testing.T) {
	s := newColdSite(t, 8)
	all := s.nodes
	s.nodes = all[:1] // the others hear nothing meanwhile
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.operators(map[string]bool{"dc": false})
	reader := s.nodes[0]
	s.nodes = all
	for _, n := range all[1:] {
		n.ApplyAnswer(s.now, true, reader.Answer(n.Position()))
	}
	s.tick()
	s.assertCold("heard from another node")
	s.advance(coldTime)
	s.assertWarm("after that")
}

// What an endpoint says of itself counts more than the time of the return: it is cold
// for as long as it says, and not longer.
func TestEndpointThatSaysHowLongItIsColdIsBelieved(t *testing.T) {
	s := newColdSite(t, 8)
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.listAs(s.row(2 * time.Second))
	s.advance(time.Second)
	s.operators(map[string]bool{"dc": false})
	s.assertCold("for a second more, by its row")
	s.advance(1500 * time.Millisecond)
	s.assertWarm("by its row")
}

// The same row once more, or that of before the evacuation, says nothing.
func TestOldRowSaysNothingOfAReturnedEndpoint(t *testing.T) {
	s := newColdSite(t, 8)
	s.listAs(s.row(100 * time.Millisecond))
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.listAs(s.row(100 * time.Millisecond))
	s.advance(500 * time.Millisecond)
	s.operators(map[string]bool{"dc": false})
	s.assertCold("its row is unchanged")
	s.listAs(s.row(0))
	s.assertCold("its row may have been written before it became cold")
}

// The answer to a probe comes from the endpoint now, unlike its row.
func TestAnswerToAProbeTellsWhetherAnEndpointIsCold(t *testing.T) {
	s := newColdSite(t, 8)
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.operators(map[string]bool{"dc": false})
	s.report(nil)
	s.assertCold("the answer doesn't say")
	s.advance(coldTime - time.Second)
	s.report(&fleet.Warmth{ColdLeft: 5 * time.Second})
	s.advance(4 * time.Second)
	s.assertCold("by the answer")
	s.report(&fleet.Warmth{})
	s.assertWarm("by the next answer")
}

// An answer from before the return says nothing of the time between the two.
func TestEndpointThatWasWarmBeforeTheReturnMayBeCold(t *testing.T) {
	s := newColdSite(t, 8)
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	s.report(&fleet.Warmth{})
	s.advance(time.Second)
	s.operators(map[string]bool{"dc": false})
	s.assertCold("it was warm a second ago")
}

// Guards against endpoints of a returned data centre that get little for long although
// they are warm, and against questions that all nodes repeat at short intervals.
func TestEndpointsThatMayBeColdAreAsked(t *testing.T) {
	s := newColdSite(t, 1)
	engines := &fakeEngines{
		probes: make(map[string]int), warmthErr: errors.New("no slot"),
		answer: func(string) (fleet.Report, error) {
			return fleet.Report{State: s.row(0).State, Load: fleet.Load{Pace: 1}}, nil
		},
	}
	prober := NewProber(ProbeOptions{HeadEvery: time.Hour, Timeout: time.Second, Metrics: metrics.NewRegistry()}, s.nodes[0], engines)
	ask := func() (questions int) {
		engines.mu.Lock()
		before := engines.warmthQuestions
		engines.mu.Unlock()
		for _, q := range prober.takeWarmthQuestions() {
			assert.DeepEqual(t, q, dispatch.WarmthQuestion{VM: "i-1", Address: "10.0.0.1:1", Born: 1, Path: "/health"})
			prober.ask(context.Background(), q)
		}
		s.nodes[0].Tick()
		return engines.warmthQuestions - before
	}
	assert.Equal(t, ask(), 0, "it is known to be warm")
	s.operators(map[string]bool{"dc": true})
	s.advance(8 * time.Second)
	assert.Equal(t, ask(), 0, "no requests go there")
	s.operators(map[string]bool{"dc": false})
	assert.Equal(t, ask(), 1)
	s.assertCold("it gave no answer")
	assert.Equal(t, ask(), 0, "it was asked just before")
	engines.warmthErr = &fleet.PausedError{VM: "i-1", For: 300 * time.Millisecond}
	s.now = s.now.Add(warmthInterval)
	assert.Equal(t, ask(), 1)
	s.now = s.now.Add(200 * time.Millisecond)
	assert.Equal(t, ask(), 0, "it wants no probes")
	engines.warmth, engines.warmthErr = fleet.Warmth{ColdLeft: 1200 * time.Millisecond}, nil
	s.advance(warmthInterval)
	assert.Equal(t, ask(), 1)
	s.assertCold("it is cold for 1.2 s")
	s.advance(1500 * time.Millisecond)
	assert.Equal(t, ask(), 0, "it has said how long it is cold")
	s.assertWarm("after that")
}
