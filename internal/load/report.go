package load

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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
