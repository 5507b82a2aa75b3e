package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// benchVMs is the number of VMs that run models in a large fleet, and benchGroup
// the size of their groups.
const (
	benchVMs   = 3000
	benchGroup = 12
)

// benchState returns the state of a node with a large fleet.
func benchState(b *testing.B) *State {
	b.Helper()
	s := NewState(discardLogger(), time.Now, dispatch.Options{DataCentre: "dc-0", ColdOverage: 1.5, RepeatRatio: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second})
	service := catalog.Service{Name: "llm", Engine: &catalog.Engine{Slots: 22, Models: []catalog.Model{{Name: "m", GroupSize: benchGroup, Share: 1}}}}
	s.Operators(s.now(), updates.Operators{Version: 1, Whole: true, Catalog: catalog.New(1, nil, []catalog.Service{service}, catalog.Accounts{}, catalog.Limits{})})
	var rows []fleet.Row
	for i := range benchVMs {
		rows = append(rows, fleet.Row{
			ID: fmt.Sprintf("i-%08x", i*7919), Service: "llm", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), DataCentre: fmt.Sprint("dc-", i%5),
			Slots: 22, Engine: true, State: benchVMState(i),
		})
	}
	s.VMs(s.now(), updates.VMs{Version: 1, Whole: true, Rows: rows})
	s.Tick()
	return s
}

func benchVMState(i int) fleet.State {
	stage := fleet.Ready
	if i%benchGroup == 0 {
		stage = fleet.Open
	}
	return fleet.State{
		Born: 1, Model: "m", Staged: []string{"m"}, Domain: fmt.Sprint("d-", i/40),
		Membership: fleet.Membership{Group: fmt.Sprint("g", i/benchGroup), Epoch: 1, Rank: i % benchGroup, Stage: stage},
	}
}

// applyHeadReports applies reports of all heads to the state.
func applyHeadReports(s *State) {
	s.Locked(func(st LockedState) {
		for i := 0; i < benchVMs; i += benchGroup {
			st.VMs.ApplyReport(st.Now, st.Now, fmt.Sprintf("i-%08x", i*7919), fleet.Report{State: benchVMState(i), Load: fleet.Load{Running: 5, Pace: 1}})
		}
	})
}

// BenchmarkTick measures the work that a node does every 50 ms for a large fleet.
func BenchmarkTick(b *testing.B) {
	s := benchState(b)
	p := NewProber(ProbeOptions{HeadEvery: time.Hour, RelayedHeadEvery: time.Hour, Metrics: metrics.NewRegistry()}, s, nil)
	applyHeadReports(s)
	b.ReportAllocs()
	for b.Loop() {
		lost := s.Tick()
		p.Tick(b.Context(), lost)
	}
}

// BenchmarkPick measures the placing of a request.
func BenchmarkPick(b *testing.B) {
	s := benchState(b)
	applyHeadReports(s)
	s.Tick()
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		ticket, refusal := s.pick(dispatch.Query{Service: "llm", Model: "m", Draw: i * 7919}, func(dispatch.LossReason) {}, func(*dispatch.Ticket, dispatch.LossReason) {})
		if refusal == nil {
			s.finish(ticket, dispatch.Succeeded)
		}
	}
}

// BenchmarkAnswer measures a node's answer to a peer that lacks the latest reports
// of all heads, and BenchmarkHear the processing of that answer by the peer.
func BenchmarkAnswer(b *testing.B) {
	s := benchState(b)
	applyHeadReports(s)
	b.ReportAllocs()
	for b.Loop() {
		raw, err := json.Marshal(s.Answer(updates.Position{Operators: updates.Revision{Version: 1}, VMs: updates.Revision{Version: 1}}))
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(raw)))
	}
}

func BenchmarkHear(b *testing.B) {
	s, peer := benchState(b), benchState(b)
	applyHeadReports(s)
	raw, err := json.Marshal(s.Answer(updates.Position{Operators: updates.Revision{Version: 1}, VMs: updates.Revision{Version: 1}}))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var a updates.Answer
		if err := json.Unmarshal(raw, &a); err != nil {
			b.Fatal(err)
		}
		peer.ApplyAnswer(time.Now(), true, a)
	}
}

// BenchmarkSmallRequest measures a small request and its response on kept connections,
// with the work of its caller and its endpoint.
func BenchmarkSmallRequest(b *testing.B) {
	s := newHarness(b)
	s.add(answerOK)
	content := strings.Repeat("x", 500)
	b.ReportAllocs()
	for b.Loop() {
		req := s.request(http.MethodPost, "/safe/")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(content)), int64(len(content))
		status, _, _, err := s.do(req)
		if err != nil || status != http.StatusOK {
			b.Fatal(status, err)
		}
	}
}
