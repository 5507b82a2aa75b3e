package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Guards against parts, their tokens or the length of the prompt that don't get from
// the request to the choice of the endpoint: requests go to the endpoint where one
// with the same beginning runs, and to the idle one if they share little or nothing.
func TestRequestsGoWhereTheirPrefixIsHeld(t *testing.T) {
	s := newHarness(t)
	running, release := make(chan struct{}), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte("id: 1\ndata: a\n\n"))
		if r.Header.Get("X-Id") == "first" {
			w.(http.Flusher).Flush()
			close(running)
			<-release
		}
		_, _ = w.Write([]byte("id: 2\nevent: done\ndata: b\n\n"))
	}
	one, two := s.add(handler), s.add(handler)
	t.Cleanup(end) // before the servers are closed, also if the test fails
	engine := &catalog.Engine{
		Slots: 26, MeanPrompt: 1076, MeanAnswer: 116, StepTime: 6 * time.Millisecond, RequestTime: 200 * time.Microsecond, ReadRate: 46000, Chunk: 512, Stride: 5,
		Models: []catalog.Model{{Name: "m", GroupSize: 1, Pace: 1, Share: 1}},
	}
	route := catalog.Route{Name: "llm", Host: "h", Prefix: "/llm/", Kind: catalog.Stream, Backends: []catalog.Backend{{Service: "llm"}}, MaxAttempts: 1, Timeout: 10 * time.Second}
	s.state.Operators(s.state.now(), updates.Operators{Version: 9, Whole: true, Catalog: catalog.New(9, []catalog.Route{route},
		[]catalog.Service{{Name: "llm", Engine: engine}}, catalog.AccountList(catalog.Account{Name: "acc", Keys: []string{"key"}}), s.limits)})
	for i, e := range []*endpoint{one, two} {
		id := fmt.Sprint("vm-", i+1)
		state := fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{Group: "g-" + id, Epoch: 1, Stage: fleet.Open}}
		s.state.VMs(s.state.now(), updates.VMs{Version: 2, Rows: []fleet.Row{{
			ID: id, Service: "llm", Address: strings.TrimPrefix(e.URL, "http://"), DataCentre: "dc", Slots: 26, Engine: true, State: state,
		}}})
		s.state.Locked(func(st LockedState) {
			st.VMs.ApplyReport(st.Now, st.Now, id, fleet.Report{State: state, Load: fleet.Load{Pace: 1}})
		})
	}
	s.state.Tick()
	send := func(id, parts string) {
		status, body, _, err := s.do(s.request(http.MethodPost, "/llm/x", "X-Id", id, "X-Model", "m", "X-Tokens", "2500,100", "X-Parts", parts))
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, body)
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		send("first", "5c1e07a2:2000,91bd3f06:500")
	}()
	select {
	case <-running:
	case <-first:
		t.Fatal("the first request did not run until the others were sent")
	}
	assert.Assert(t, poll(5*time.Second, func() (begun bool) {
		s.state.Locked(func(st LockedState) { begun = len(st.Targets.Stalled(st.Now, 0, time.Hour)) > 0 })
		return begun
	}), "the first answer has not begun")
	holder, idle := one, two
	if two.runs.Load() > 0 {
		holder, idle = two, one
	}
	for i := range 5 {
		send(fmt.Sprint("same-", i), fmt.Sprintf("5c1e07a2:2000,%x:500", i))
	}
	assert.Equal(t, holder.runs.Load(), int32(6))
	assert.Equal(t, idle.runs.Load(), int32(0))
	choices := telemetry.Counter(s.server.opts.Metrics, "held_prompt_choices_total", "service", "llm").Count()
	assert.Assert(t, choices > 0)
	for i := range 5 {
		send(fmt.Sprint("short-", i), fmt.Sprintf("5c1e07a2:40,%x:500", i))
	}
	assert.Assert(t, idle.runs.Load() > 0)
	end()
	<-first
	assert.Equal(t, telemetry.Counter(s.server.opts.Metrics, "held_prompt_choices_total", "service", "llm").Count(), choices)
}

// poll calls f until it returns true or d has passed.
func poll(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
