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

// Progress counts the requests of a run that were sent and have ended, and all
// that are scheduled.
type Progress struct {
	Sent, Ended, Total int
}

// Run sends the requests of a workload's schedule and returns the results in
// order of arrival. It calls progress at intervals unless that is nil. The run
// ends when the last request has ended, at the latest one deadline after the
// last arrival. If ctx ends before, only the results of the requests that were
// due until then are returned.
func Run(ctx context.Context, w Workload, progress func(Progress)) []Result {
	arrivals := Schedule(w)
	r := &runner{
		workload: w, results: make([]Result, len(arrivals)), slots: make(chan struct{}, w.MaxOutstanding),
		sender: &sender{workload: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnsPerHost}}},
	}
	stop := r.startProgress(progress, len(arrivals))
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
	r.wg.Wait()
	return r.results
}

type runner struct {
	workload Workload
	sender   *sender
	results  []Result
	slots    chan struct{}
	wg       sync.WaitGroup

	mu          sync.Mutex
	sent, ended int
}

// dispatch sends one request in a new goroutine, or records it as not sent if
// MaxOutstanding requests are in flight.
func (r *runner) dispatch(ctx context.Context, i int, a Arrival, due time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.results[i] = Result{Account: a.Account, IsOrder: a.IsOrder, Outcome: NotSent}
		return
	}
	r.addProgress(1, 0)
	result := &r.results[i]
	r.wg.Go(func() {
		*result = r.sender.send(ctx, i, a, due)
		<-r.slots
		r.addProgress(0, 1)
	})
}

func (r *runner) addProgress(sent, ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent += sent
	r.ended += ended
}

// startProgress calls progress every progressInterval until stop is called.
func (r *runner) startProgress(progress func(Progress), total int) (stop func()) {
	if progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
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
		wg.Wait()
	}
}

// waitUntil waits until a time and reports whether ctx was still active then.
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
