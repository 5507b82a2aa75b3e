package capacity

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/lease"
)

func size(v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

func measureBytes(t *testing.T, b *Bytes) {
	b.CallHeader = headerBytes(t)
	b.Probe = probeBytes(t)
	b.Digest = size(config.Digest{VM: "d00-e00", Number: 123456, Token: "0123456789abcdef", ReadAge: time.Second, ReadBy: "d00-e01"})
	b.Usage = size(usage())
	b.Promise = size(lease.PromiseRequest{
		ID: 7, Candidate: "d00-e03", Holder: "d00-e00", Incarnation: "1234567890abc", Term: 12, Revision: 123456, Duration: 6 * time.Second,
	}) + size(lease.PromiseReply{ID: 7, Candidate: "d00-e03", Incarnation: "1234567890abc", Duration: 6 * time.Second})
	o := memberOrder(reportOf("d00-m001"))
	o.Members = members()
	b.Order = size(o) + b.Probe
	b.Change = size(change(12345))
	b.Document = size(config.Snapshot{Number: 1, Token: "1", Document: document()})
	b.Group = size(members())
}

func members() []string {
	var names []string
	for i := range groupSize {
		names = append(names, fmt.Sprintf("d00-m%03d", i))
	}
	return names
}

// leaseWorld runs the candidates of one data centre over a table that answers
// at once, and counts its calls.
type leaseWorld struct {
	machines      []*lease.Machine
	row           *lease.Row
	revision      uint64
	registrations map[string]lease.Registration
	reads, writes int
}

func (w *leaseWorld) step(now time.Time, m *lease.Machine, ev lease.Event) {
	for _, e := range m.Step(now, ev) {
		switch e := e.(type) {
		case lease.ReadRows:
			w.reads++
			w.step(now, m, w.read(e))
		case lease.WriteRow:
			w.writes++
			outcome := lease.Conflict
			if e.Revision == w.revision {
				row := e.Row
				w.row, outcome = &row, lease.Applied
				w.revision++
			}
			w.step(now, m, lease.WriteAnswered{Token: e.Row.Token, Outcome: outcome, Revision: w.revision})
		case lease.RegisterCandidate:
			w.writes++
			w.registrations[e.Key] = lease.Registration{Candidate: e.Candidate, Revision: e.Revision + 1}
		}
	}
}

func (w *leaseWorld) read(e lease.ReadRows) lease.RowsRead {
	ev := lease.RowsRead{Read: e.ID, Row: w.row, Revision: w.revision, VMsKnown: e.VMs}
	for i := range w.machines {
		vm := fmt.Sprintf("d00-e%02d", i)
		ev.VMs = append(ev.VMs, vm)
		key := lease.CandidateKey("d00", vm)
		if r, ok := w.registrations[key]; ok && (e.All || key == e.Own) {
			ev.Registrations = append(ev.Registrations, r)
		}
	}
	return ev
}

// measureLeaseCalls counts the calls to the platform of a data centre's
// candidates with the daemon's intervals.
func measureLeaseCalls(s *Slopes) {
	const lengths, every, settle, seconds = 6 * time.Second, 100 * time.Millisecond, 300, 60
	nodes, _, _ := Design.PerDataCentre()
	w := &leaseWorld{registrations: map[string]lease.Registration{}}
	for i := range nodes {
		w.machines = append(w.machines, lease.New(lease.Options{
			DataCentre: "d00", VM: fmt.Sprintf("d00-e%02d", i), Incarnation: "1", Seed: uint64(i),
			Duration: lengths, Promise: lengths, RenewEvery: lengths / 3, PollEvery: lengths / 3, AskEvery: lengths / 3,
			RetryEvery: lengths / 9, OrderTimeout: lengths / 3,
		}))
	}
	now := epoch
	for i := range settle + seconds*int(time.Second/every) {
		if i == settle {
			w.reads, w.writes = 0, 0
		}
		now = now.Add(every)
		for _, m := range w.machines {
			w.step(now, m, lease.Tick{})
		}
	}
	s.LeaseReads, s.LeaseWrites = float64(w.reads)/seconds, float64(w.writes)/seconds
}
