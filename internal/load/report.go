package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, which record microseconds.
const (
	minMicros       = 1
	maxMicros       = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Quantiles summarizes the distribution of a duration, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// AccountReport counts the requests of one client account.
type AccountReport struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Whole counts the complete and correct answers within the deadline.
	Whole int `json:"whole"`
	// Served is Whole divided by Offered.
	Served float64 `json:"served"`
}

// Report summarizes a run.
type Report struct {
	Offered  int             `json:"offered"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Refusals counts refusals by the kind of problem and by whether the
	// request ran, as the refusal states it.
	Refusals map[string]int `json:"refusals"`
	Failures map[string]int `json:"failures"`
	// FirstToken is measured from the scheduled arrival.
	FirstToken   Quantiles       `json:"first_token"`
	BetweenToken Quantiles       `json:"between_tokens"`
	SendLate     Quantiles       `json:"send_late"`
	Accounts     []AccountReport `json:"accounts"`
	// Fairness is Jain's index over the Served values of the accounts: 1 if all
	// are equal, 1/n if only one of n accounts is served.
	Fairness  float64         `json:"fairness"`
	Endpoints *EndpointReport `json:"endpoints,omitempty"`

	firstToken, betweenTokens *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, histogramDigits)
}

// Summarize returns the report on the results of a run.
func Summarize(w Workload, results []Result) *Report {
	r := &Report{
		Offered: len(results), Outcomes: map[Outcome]int{}, Refusals: map[string]int{}, Failures: map[string]int{},
		firstToken: newHistogram(), betweenTokens: newHistogram(), Accounts: make([]AccountReport, len(w.Accounts)),
	}
	for i, a := range w.Accounts {
		r.Accounts[i].Name = a.Name
	}
	late := newHistogram()
	for _, result := range results {
		r.add(result)
		record(late, result.Late)
	}
	r.FirstToken, r.BetweenToken, r.SendLate = quantiles(r.firstToken), quantiles(r.betweenTokens), quantiles(late)
	r.Fairness = r.computeFairness()
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
		record(r.betweenTokens, d)
	}
}

// record adds d to h, limited to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = h.RecordValue(micros)
}

// milliseconds converts the value of a histogram.
func milliseconds(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), P50: milliseconds(h.ValueAtQuantile(50)), P95: milliseconds(h.ValueAtQuantile(95)),
		P99: milliseconds(h.ValueAtQuantile(99)), Max: milliseconds(h.Max()),
	}
}

// computeFairness sets Served of each account and returns Jain's index over the
// accounts that offered requests.
func (r *Report) computeFairness() float64 {
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
