package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/lease"
)

// jsonSize returns the length of v as JSON.
func jsonSize(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

func measureBytes(t *testing.T, b *Bytes) {
	b.CallHeader = headerBytes(t)
	b.Probe = probeBytes(t)
	b.Digest = jsonSize(config.Digest{VM: "d00-e00", Number: 123456, Token: "0123456789abcdef", ReadAge: time.Second, ReadBy: "d00-e01"})
	b.Usage = jsonSize(newUsage())
	b.Promise = jsonSize(lease.PromiseRequest{
		ID: 7, Candidate: "d00-e03", Holder: "d00-e00", Incarnation: "1234567890abc", Term: 12, Revision: 123456, Duration: 6 * time.Second,
	}) + jsonSize(lease.PromiseReply{ID: 7, Candidate: "d00-e03", Incarnation: "1234567890abc", Duration: 6 * time.Second})
	o := memberOrder(memberReport("d00-m001"))
	o.Members = memberNames()
	b.Order = jsonSize(o) + b.Probe
	b.Change = jsonSize(vmChange(12345))
	b.Document = jsonSize(config.Snapshot{Number: 1, Token: "1", Document: designDocument()})
	b.Group = jsonSize(memberNames())
}

func memberNames() []string {
	var names []string
	for i := range groupSize {
		names = append(names, fmt.Sprintf("d00-m%03d", i))
	}
	return names
}

// leaseSimulation simulates the lease candidates of one data centre on a table
// that answers immediately, and counts the calls to the table.
type leaseSimulation struct {
	machines      []*lease.Machine
	row           *lease.Row
	revision      uint64
	registrations map[string]lease.Registration
	reads, writes int
}

func (s *leaseSimulation) step(now time.Time, m *lease.Machine, ev lease.Event) {
	for _, e := range m.Step(now, ev) {
		switch e := e.(type) {
		case lease.ReadRows:
			s.reads++
			s.step(now, m, s.readRows(e))
		case lease.WriteRow:
			s.writes++
			outcome := lease.Conflict
			if e.Revision == s.revision {
				row := e.Row
				s.row, outcome = &row, lease.Applied
				s.revision++
			}
			s.step(now, m, lease.WriteAnswered{Token: e.Row.Token, Outcome: outcome, Revision: s.revision})
		case lease.RegisterCandidate:
			s.writes++
			s.registrations[e.Key] = lease.Registration{Candidate: e.Candidate, Revision: e.Revision + 1}
		}
	}
}

func (s *leaseSimulation) readRows(e lease.ReadRows) lease.RowsRead {
	ev := lease.RowsRead{Read: e.ID, Row: s.row, Revision: s.revision, VMsKnown: e.VMs}
	for i := range s.machines {
		vm := fmt.Sprintf("d00-e%02d", i)
		ev.VMs = append(ev.VMs, vm)
		key := lease.CandidateKey("d00", vm)
		if r, ok := s.registrations[key]; ok && (e.All || key == e.Own) {
			ev.Registrations = append(ev.Registrations, r)
		}
	}
	return ev
}

// measureLeaseCalls measures the rate of calls to the platform by all
// candidates of a data centre with the intervals of the daemon.
func measureLeaseCalls(s *Slopes) {
	const duration, tick, settleTicks, seconds = 6 * time.Second, 100 * time.Millisecond, 300, 60
	nodes, _, _ := Design.PerDataCentre()
	w := &leaseSimulation{registrations: map[string]lease.Registration{}}
	for i := range nodes {
		w.machines = append(w.machines, lease.New(lease.Options{
			DataCentre: "d00", VM: fmt.Sprintf("d00-e%02d", i), Incarnation: "1", Seed: uint64(i),
			Duration: duration, Promise: duration, RenewEvery: duration / 3, PollEvery: duration / 3, AskEvery: duration / 3,
			RetryEvery: duration / 9, OrderTimeout: duration / 3,
		}))
	}
	now := epoch
	for i := range settleTicks + seconds*int(time.Second/tick) {
		if i == settleTicks {
			w.reads, w.writes = 0, 0
		}
		now = now.Add(tick)
		for _, m := range w.machines {
			w.step(now, m, lease.Tick{})
		}
	}
	s.LeaseReads, s.LeaseWrites = float64(w.reads)/seconds, float64(w.writes)/seconds
}
