package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/meter"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
)

// EndpointReport sums the counts of all stand-ins since each of them started.
type EndpointReport struct {
	// ColdLoad is the largest ratio of a cold endpoint's requests in flight to
	// its limit. It must not exceed 1.
	ColdLoad  float64 `json:"cold_load"`
	Overloads uint64  `json:"overloads"`
	Cancelled uint64  `json:"cancelled"`
	// Orders counts runs of orders, and Doubles those beyond the first run of
	// each order.
	Orders  int `json:"orders"`
	Doubles int `json:"doubles"`
	// NotRunThatRan counts orders that were refused with "ran: no" but did run.
	NotRunThatRan int `json:"not_run_that_ran"`
}

// ReadEndpoints reads the counts of the workload's stand-ins and adds them to
// the report. It does nothing if the workload names no stand-ins.
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
	r.Endpoints.countFalseRefusals(ran, Schedule(w), results)
	return nil
}

func (e *EndpointReport) addCounts(c meter.Counts) {
	e.Overloads += c.Overloads
	if c.ColdLimit > 0 {
		e.ColdLoad = max(e.ColdLoad, float64(c.MaxColdInFlight)/float64(c.ColdLimit))
	}
}

// addRuns adds the runs of one service. ran holds the orders that ran at the
// services added before, since an order may have run at two of them.
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

// countFalseRefusals counts the orders that were refused as not run but did
// run.
func (e *EndpointReport) countFalseRefusals(ran map[string]bool, arrivals []Arrival, results []Result) {
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
		return fmt.Errorf("reading the counts of a stand-in; check engines and services in the workload: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered status %d; check engines and services in the workload", url, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(dst)
}
