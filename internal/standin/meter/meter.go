// Package meter counts the requests in flight at a stand-in and compares them
// with its concurrency limits.
package meter

import "sync"

// Options are the limits of an endpoint.
type Options struct {
	// MaxInFlight and ColdInFlight limit the concurrent requests while the
	// endpoint is warm and cold; 0 means no limit.
	MaxInFlight  int
	ColdInFlight int
	// WarmAfter is the number of completions after which a cold endpoint is warm.
	WarmAfter uint64
}

// Counts are the counters of a Meter.
type Counts struct {
	Runs      uint64 `json:"runs"`
	Completed uint64 `json:"completed"`
	Overloads uint64 `json:"overloads"`
	// MaxInFlight and MaxColdInFlight are the largest numbers of concurrent
	// requests, at any time and while cold.
	MaxInFlight     int `json:"max_in_flight"`
	MaxColdInFlight int `json:"max_cold_in_flight"`
	// Limit and ColdLimit are the concurrency limits, warm and cold.
	Limit     int `json:"limit"`
	ColdLimit int `json:"cold_limit"`
}

// Meter counts the requests of one endpoint. It is safe for concurrent use.
type Meter struct {
	opts Options

	mu                 sync.Mutex
	inFlight           int
	completedSinceCold uint64 // completions since the endpoint was last cold
	counts             Counts
}

// New returns a Meter for a cold endpoint.
func New(opts Options) *Meter {
	return &Meter{opts: opts, counts: Counts{Limit: opts.MaxInFlight, ColdLimit: opts.ColdInFlight}}
}

// Begin counts a request and reports whether it is within the limit. If not, it
// counts as an overload. Either way, End must be called for it.
func (m *Meter) Begin() (admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.counts.MaxInFlight = max(m.counts.MaxInFlight, m.inFlight)
	limit := m.opts.MaxInFlight
	if m.isCold() {
		m.counts.MaxColdInFlight = max(m.counts.MaxColdInFlight, m.inFlight)
		limit = m.opts.ColdInFlight
	}
	if limit > 0 && m.inFlight > limit {
		m.counts.Overloads++
		return false
	}
	m.counts.Runs++
	return true
}

// End counts the end of a request, whether Begin admitted it or not.
func (m *Meter) End(completed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	if completed {
		m.completedSinceCold++
		m.counts.Completed++
	}
}

// Cool makes the endpoint cold, as after a restart or a load of weights.
func (m *Meter) Cool() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completedSinceCold = 0
}

// InFlight returns the number of requests that have begun and not ended.
func (m *Meter) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// Counts returns the current counters.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func (m *Meter) isCold() bool { return m.completedSinceCold < m.opts.WarmAfter }
