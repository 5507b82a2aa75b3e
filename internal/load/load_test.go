package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

func newWorkload(edit func(*Workload)) Workload {
	w := DefaultWorkload()
	w.URLs = []string{"http://127.0.0.1:1"}
	w.Accounts = []Account{{Name: "large", Key: "k1", Share: 9}, {Name: "small", Key: "k2", Share: 1}}
	w.Chat.Model = "m"
	if edit != nil {
		edit(&w)
	}
	return w
}

func TestScheduleIsDeterministicAndBounded(t *testing.T) {
	w := newWorkload(func(w *Workload) {
		w.Orders = Orders{Percent: 20, Service: "s"}
		w.Arrivals = Arrivals{Rate: 50, BurstRate: 500, Calm: time.Second, Burst: 500 * time.Millisecond}
	})
	first := Schedule(w)
	assert.DeepEqual(t, first, Schedule(w))
	accounts, orders := map[int]int{}, 0
	for i, a := range first {
		assert.Assert(t, a.At < w.Duration)
		assert.Assert(t, i == 0 || a.At >= first[i-1].At)
		accounts[a.Account]++
		if a.IsOrder {
			orders++
		}
	}
	assert.Assert(t, accounts[0] > 5*accounts[1], "%v", accounts)
	assert.Assert(t, orders > len(first)/10 && orders < len(first)/3, "%d of %d", orders, len(first))

	w.MaxRequests = 7
	assert.Equal(t, len(Schedule(w)), 7)
}

// TestReceiptOutcomes checks that only an answer that ends early counts as short.
func TestReceiptOutcomes(t *testing.T) {
	whole := `{"order_id":"o-1"}`
	for _, tc := range []struct {
		name, body string
		end        error // of the body, nil if it is complete
		outcome    Outcome
		reason     string
	}{
		{"whole", whole, nil, Whole, ""},
		{"another order's", `{"order_id":"o-2"}`, nil, Wrong, ""},
		{"a page", "<html>ok</html>", nil, Wrong, "not JSON"},
		{"other JSON", `["o-1"]`, nil, Wrong, "not JSON"},
		{"text after the receipt", whole + "x", nil, Wrong, "not JSON"},
		{"empty", "", nil, Short, ""},
		{"ends within the receipt", whole[:9], nil, Short, ""},
		{"receipt cut", whole[:9], io.ErrUnexpectedEOF, Short, ""},
		{"page cut", "<html>", io.ErrUnexpectedEOF, Short, ""},
		{"no end", whole, io.ErrUnexpectedEOF, Short, ""},
	} {
		var body io.Reader = strings.NewReader(tc.body)
		if tc.end != nil {
			body = io.MultiReader(body, iotest.ErrReader(tc.end))
		}
		var r Result
		r.readReceipt(body, Arrival{OrderID: "o-1"})
		assert.Check(t, r.Outcome == tc.outcome && r.Reason == tc.reason, "%s: %s, %q", tc.name, r.Outcome, r.Reason)
	}
}

func TestScheduleKeepsMeanRate(t *testing.T) {
	steady := len(Schedule(newWorkload(func(w *Workload) { w.Arrivals.Rate = 500 })))
	assert.Assert(t, math.Abs(float64(steady)-5000) < 4*math.Sqrt(5000), "%d", steady)
}

// startEndpoints starts a server with an engine as an OpenAI server at its root
// and a service below /services/shop/.
func startEndpoints(t *testing.T, opts engine.Options) (url string, e *engine.Engine, s *service.Service) {
	t.Helper()
	opts.Standalone = true
	e, s = engine.New(opts), service.New(service.Options{})
	mux := http.NewServeMux()
	mux.Handle("/", e)
	mux.Handle("/services/shop/", http.StripPrefix("/services/shop", s))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL, e, s
}

func runWorkload(t *testing.T, w Workload) *Report {
	t.Helper()
	assert.Equal(t, len(w.Validate()), 0, "%v", w.Validate())
	results := Run(context.Background(), w, nil)
	report := Summarize(w, results)
	assert.NilError(t, report.ReadEndpoints(context.Background(), w, results))
	return report
}

func TestRunCountsWholeAnswers(t *testing.T) {
	url, _, s := startEndpoints(t, engine.Options{})
	w := newWorkload(func(w *Workload) {
		w.URLs, w.Engines, w.Services = []string{url}, []string{url}, []string{url + "/services/shop"}
		w.Orders = Orders{Percent: 30, Service: "shop"}
		w.MaxRequests, w.Arrivals.Rate = 50, 500
	})
	r := runWorkload(t, w)
	assert.Equal(t, r.Outcomes[Whole], 50)
	assert.Equal(t, r.Fairness, 1.0)
	assert.Equal(t, r.Endpoints.Orders, s.Runs().Total)
	assert.Equal(t, r.Endpoints.Doubles, 0)
	assert.Equal(t, r.FirstToken.Count, int64(50-s.Runs().Total))
	assert.Assert(t, r.BetweenToken.Count > 0)

	path := filepath.Join(t.TempDir(), "plot.png")
	assert.NilError(t, r.Plot(path))
	var text bytes.Buffer
	r.WriteText(&text)
	assert.Assert(t, strings.Contains(text.String(), "whole              50"), text.String())
	_, err := json.Marshal(r)
	assert.NilError(t, err)
}

func TestRunClassifiesBadAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults engine.Faults
		want   Outcome
	}{
		{"cut", engine.Faults{CutAfterEvents: 2}, Short},
		{"crossed", engine.Faults{Crossed: true}, Wrong},
		{"hangs", engine.Faults{Hang: true}, Failed},
		{"refuses", engine.Faults{Refuse: true}, Refused},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			url, e, _ := startEndpoints(t, engine.Options{})
			e.SetFaults(tc.faults)
			r := runWorkload(t, newWorkload(func(w *Workload) {
				w.URLs, w.MaxRequests, w.Arrivals.Rate, w.Deadline = []string{url}, 3, 1000, 2*time.Second
			}))
			assert.Equal(t, r.Outcomes[tc.want], 3, "%v", r.Outcomes)
		})
	}
}

func TestRunReportsColdOverload(t *testing.T) {
	url, _, _ := startEndpoints(t, engine.Options{MaxInFlight: 8, ColdInFlight: 1, TokenTime: 5 * time.Millisecond, CollapseTime: time.Millisecond})
	r := runWorkload(t, newWorkload(func(w *Workload) {
		w.URLs, w.Engines = []string{url}, []string{url}
		w.MaxRequests, w.Arrivals.Rate, w.Chat.MinAnswerTokens = 5, 1000, 60
	}))
	assert.Assert(t, r.Endpoints.ColdLoad > 1, "%+v", r.Endpoints)
	assert.Assert(t, r.Endpoints.Overloads > 0)
}

func TestRunBoundsOutstandingRequests(t *testing.T) {
	url, e, _ := startEndpoints(t, engine.Options{})
	e.SetFaults(engine.Faults{Hang: true})
	r := runWorkload(t, newWorkload(func(w *Workload) {
		w.URLs, w.MaxRequests, w.Arrivals.Rate, w.Deadline, w.MaxOutstanding = []string{url}, 10, 5000, 2*time.Second, 2
	}))
	assert.Equal(t, r.Outcomes[NotSent], 8)
	assert.Equal(t, e.Counts().MaxInFlight, 2)
}

func TestReasonOfBrokenStreamAndRefusal(t *testing.T) {
	var r Result
	r.readStream(strings.NewReader("event: error\ndata: {\"error\":{\"type\":\"stream-interrupted\"}}\n\n"), Arrival{}, time.Now())
	assert.Equal(t, r.Outcome, Broken)
	assert.Equal(t, r.Reason, "stream-interrupted")

	recorder := httptest.NewRecorder()
	recorder.Header().Set("Content-Type", problemType)
	recorder.WriteHeader(http.StatusServiceUnavailable)
	_, _ = recorder.WriteString(`{"title":"overloaded","ran":"no"}`)
	var refused Result
	refused.readRefusal(recorder.Result())
	report := Summarize(newWorkload(nil), []Result{refused})
	assert.Equal(t, report.Refusals["overloaded, ran: no"], 1)
}

func TestPlotNeedsAnswers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plot.png")
	assert.ErrorContains(t, Summarize(newWorkload(nil), nil).Plot(path), "nothing to plot")
	single := []Result{{Outcome: Whole, FirstToken: 200 * time.Microsecond}}
	assert.NilError(t, Summarize(newWorkload(nil), single).Plot(path))
}

func TestFairnessIsJainsIndex(t *testing.T) {
	results := []Result{{Account: 0, Outcome: Whole}, {Account: 1, Outcome: Failed, Reason: "deadline"}}
	assert.Equal(t, Summarize(newWorkload(nil), results).Fairness, 0.5)
}

func TestFalseNotRunRefusalsAreCounted(t *testing.T) {
	e := &EndpointReport{}
	ran := map[string]bool{}
	e.addRuns(ran, service.Runs{Orders: []service.Run{{OrderID: "o1", Runs: 2}}})
	e.addRuns(ran, service.Runs{Orders: []service.Run{{OrderID: "o1", Runs: 1}}})
	assert.Equal(t, e.Doubles, 2)
	e.countFalseRefusals(ran, []Arrival{{OrderID: "o1"}}, []Result{{IsOrder: true, Ran: "no"}})
	assert.Equal(t, e.NotRunThatRan, 1)
}

func FuzzParseWorkload(f *testing.F) {
	f.Add([]byte("urls = [\"http://127.0.0.1:8080\"]\n[arrivals]\nrate = 1e9\n"))
	f.Add([]byte("[arrivals]\nrate = nan\nburst = \"1s\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := ParseWorkload("f", data)
		if err == nil {
			assert.Equal(t, len(w.Validate()), 0)
		}
	})
}
