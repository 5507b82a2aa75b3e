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
