package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	maxConnsPerHost = 4096
	// progressInterval is the time between progress lines.
	progressInterval = 2 * time.Second
)

// Progress tells how far a run is.
type Progress struct {
	Sent, Ended, Total int
}

// Run sends a workload's schedule and returns the results in order of
// arrival. Progress may be nil. The run ends once the last request has
// ended, at the latest one deadline after the last arrival.
func Run(ctx context.Context, w Workload, progress func(Progress)) []Result {
	arrivals := Schedule(w)
	r := &runner{
		workload: w, results: make([]Result, len(arrivals)), slots: make(chan struct{}, w.MaxOutstanding),
		sender: &sender{workload: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerHost}}},
	}
	stop := r.report(progress, len(arrivals))
	defer stop()
	start := time.Now()
	for i, a := range arrivals {
		due := start.Add(a.At)
		if !waitUntil(ctx, due) {
			r.results = r.results[:i]
			break
		}
		r.dispatch(ctx, i, a, due)
	}
	r.running.Wait()
	return r.results
}

type runner struct {
	workload Workload
	sender   *sender
	results  []Result
	slots    chan struct{}
	running  sync.WaitGroup

	mu          sync.Mutex
	sent, ended int
}

// dispatch sends one request beside the others, unless too many wait.
func (r *runner) dispatch(ctx context.Context, i int, a Arrival, due time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.results[i] = Result{Account: a.Account, IsOrder: a.IsOrder, Outcome: NotSent}
		return
	}
	r.count(1, 0)
	result := &r.results[i]
	r.running.Go(func() {
		*result = r.sender.send(ctx, i, a, due)
		<-r.slots
		r.count(0, 1)
	})
}

func (r *runner) count(sent, ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += sent
	r.ended += ended
}

// report calls progress at intervals until stop is called.
func (r *runner) report(progress func(Progress), total int) (stop func()) {
	if progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporting sync.WaitGroup
	reporting.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.mu.Lock()
				p := Progress{Sent: r.sent, Ended: r.ended, Total: total}
				r.mu.Unlock()
				progress(p)
			}
		}
	})
	return func() {
		close(done)
		reporting.Wait()
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
