package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/meter"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

// Histograms count microseconds.
const (
	minMicros       = 1
	maxMicros       = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// AccountReport is one client account's part.
type AccountReport struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Whole counts whole, right answers within the deadline.
	Whole int `json:"whole"`
	// Served is Whole over Offered.
	Served float64 `json:"served"`
}

// EndpointReport is what stand-ins counted, over all of them. It reaches
// back to their start.
type EndpointReport struct {
	// ColdLoad is the largest load on a cold endpoint over what it bears; it
	// must not pass 1.
	ColdLoad  float64 `json:"cold_load"`
	Overloads uint64  `json:"overloads"`
	Cancelled uint64  `json:"cancelled"`
	// Orders counts runs of orders, Doubles those beyond each order's first.
	Orders  int `json:"orders"`
	Doubles int `json:"doubles"`
	// NotRunThatRan counts orders refused with "ran: no" that did run.
	NotRunThatRan int `json:"not_run_that_ran"`
}

// Report sums a run up.
type Report struct {
	Offered  int             `json:"offered"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refusals are by problem kind and promise.
	Refusals map[string]int `json:"refusals"`
	Failures map[string]int `json:"failures"`
	// FirstToken counts from the scheduled arrival.
	FirstToken   Quantiles       `json:"first_token"`
	BetweenToken Quantiles       `json:"between_tokens"`
	SendLate     Quantiles       `json:"send_late"`
	Accounts     []AccountReport `json:"accounts"`
	// Fairness is Jain's index over the accounts' served parts: 1 if all
	// are served alike, 1/n if one of n is served alone.
	Fairness  float64         `json:"fairness"`
	Endpoints *EndpointReport `json:"endpoints,omitempty"`

	firstToken, between *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, histogramDigits)
}

// Summarize makes the report of a run's results.
func Summarize(w Workload, results []Result) *Report {
	r := &Report{
		Offered: len(results), Outcomes: map[Outcome]int{}, Refusals: map[string]int{}, Failures: map[string]int{},
		firstToken: newHistogram(), between: newHistogram(), Accounts: make([]AccountReport, len(w.Accounts)),
	}
	for i, a := range w.Accounts {
		r.Accounts[i].Name = a.Name
	}
	late := newHistogram()
	for _, result := range results {
		r.add(result)
		record(late, result.Late)
	}
	r.FirstToken, r.BetweenToken, r.SendLate = quantiles(r.firstToken), quantiles(r.between), quantiles(late)
	r.Fairness = r.fairness()
	return r
}

func (r *Report) add(result Result) {
	r.Outcomes[result.Outcome]++
	account := &r.Accounts[result.Account]
	account.Offered++
	switch result.Outcome {
	case Whole:
		account.Whole++
	case Refused:
		r.Refusals[fmt.Sprintf("%s, ran: %s", result.Reason, result.Ran)]++
	case Failed, Broken:
		r.Failures[result.Reason]++
	}
	if result.FirstToken > 0 {
		record(r.firstToken, result.FirstToken)
	}
	for _, d := range result.Between {
		record(r.between, d)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = h.RecordValue(micros)
}

// milliseconds converts a histogram's value.
func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: milliseconds(h.ValueAtQuantile(50)), P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
	}
}

// fairness fills the accounts' served parts and returns Jain's index of
// those that offered anything.
func (r *Report) fairness() float64 {
	var sum, squares float64
	n := 0
	for i := range r.Accounts {
		a := &r.Accounts[i]
		if a.Offered == 0 {
			continue
		}
		a.Served = float64(a.Whole) / float64(a.Offered)
		sum += a.Served
		squares += a.Served * a.Served
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(n) * squares)
}

// ReadEndpoints adds what the workload's stand-ins counted.
func (r *Report) ReadEndpoints(ctx context.Context, w Workload, results []Result) error {
	if len(w.Engines)+len(w.Services) == 0 {
		return nil
	}
	r.Endpoints = &EndpointReport{}
	for _, url := range w.Engines {
		var counts engine.Counts
		if err := getJSON(ctx, url+engine.CountsPath, &counts); err != nil {
			return err
		}
		r.Endpoints.addCounts(counts.Counts)
		r.Endpoints.Cancelled += counts.Cancelled
	}
	ran := map[string]bool{}
	for _, url := range w.Services {
		var counts meter.Counts
		var runs service.Runs
		if err := getJSON(ctx, url+service.CountsPath, &counts); err != nil {
			return err
		}
		if err := getJSON(ctx, url+service.RunsPath, &runs); err != nil {
			return err
		}
		r.Endpoints.addCounts(counts)
		r.Endpoints.addRuns(ran, runs)
	}
	r.Endpoints.checkPromises(ran, Schedule(w), results)
	return nil
}

func (e *EndpointReport) addCounts(c meter.Counts) {
	e.Overloads += c.Overloads
	if c.ColdLimit > 0 {
		e.ColdLoad = max(e.ColdLoad, float64(c.MaxColdInFlight)/float64(c.ColdLimit))
	}
}

// addRuns counts doubles over all services, since an order may have run at
// two of them.
func (e *EndpointReport) addRuns(ran map[string]bool, runs service.Runs) {
	for _, run := range runs.Orders {
		e.Orders += run.Runs
		e.Doubles += run.Runs - 1
		if ran[run.OrderID] {
			e.Doubles++
		}
		ran[run.OrderID] = true
	}
}

// checkPromises counts orders that were refused as not run and did run.
func (e *EndpointReport) checkPromises(ran map[string]bool, arrivals []Arrival, results []Result) {
	for i, result := range results {
		if result.IsOrder && result.Ran == "no" && ran[arrivals[i].OrderID] {
			e.NotRunThatRan++
		}
	}
}

const countsTimeout = 5 * time.Second

func getJSON(ctx context.Context, url string, dst any) error {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("reading a stand-in's counts; check engines and services in the workload: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered status %d; check engines and services in the workload", url, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(dst)
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "requests offered     %d\n", r.Offered)
	for _, outcome := range []Outcome{Whole, Refused, Broken, Short, Wrong, Failed, NotSent} {
		fmt.Fprintf(w, "  %-18s %d\n", outcome, r.Outcomes[outcome])
	}
	writeCounts(w, "refusals", r.Refusals)
	writeCounts(w, "failures", r.Failures)
	writeQuantiles(w, "first token", r.FirstToken)
	writeQuantiles(w, "between tokens", r.BetweenToken)
	writeQuantiles(w, "sent late by", r.SendLate)
	fmt.Fprintln(w, "accounts             offered  whole  served")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "  %-18s %7d %6d  %6.3f\n", a.Name, a.Offered, a.Whole, a.Served)
	}
	fmt.Fprintf(w, "fairness (Jain)      %.3f\n", r.Fairness)
	if e := r.Endpoints; e != nil {
		fmt.Fprintf(w, "cold load            %.2f of what a cold endpoint bears\n", e.ColdLoad)
		fmt.Fprintf(w, "overloads            %d\ncancelled            %d\n", e.Overloads, e.Cancelled)
		fmt.Fprintf(w, "orders run           %d, doubles %d, refused as not run but ran %d\n", e.Orders, e.Doubles, e.NotRunThatRan)
	}
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintln(w, title)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %-40s %d\n", strings.TrimSpace(key), counts[key])
	}
}

func writeQuantiles(w io.Writer, title string, q Quantiles) {
	fmt.Fprintf(w, "%-20s p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms (%d)\n", title, q.P50, q.P95, q.P99, q.Max, q.Count)
}
