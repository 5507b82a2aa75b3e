// Package meter counts the requests in flight at a stand-in against what it
// can bear.
package meter

import "sync"

// Options are the limits of an endpoint.
type Options struct {
	// MaxInFlight and ColdInFlight are the concurrent requests that the
	// endpoint bears warm and cold; 0 means no limit.
	MaxInFlight  int
	ColdInFlight int
	// WarmAfter is the number of completions after which it is warm.
	WarmAfter uint64
}

// Counts are what a Meter has seen.
type Counts struct {
	Runs      uint64 `json:"runs"`
	Completed uint64 `json:"completed"`
	Overloads uint64 `json:"overloads"`
	// MaxInFlight and MaxColdInFlight are the largest numbers of concurrent
	// requests, at any time and while cold.
	MaxInFlight     int `json:"max_in_flight"`
	MaxColdInFlight int `json:"max_cold_in_flight"`
	// Limit and ColdLimit are what the endpoint bears.
	Limit     int `json:"limit"`
	ColdLimit int `json:"cold_limit"`
}

// Meter is safe for concurrent use.
type Meter struct {
	opts Options

	mu       sync.Mutex
	inFlight int
	warmth   uint64 // completions since the endpoint was last cold
	counts   Counts
}

// New returns the meter of a cold endpoint.
func New(opts Options) *Meter {
	return &Meter{opts: opts, counts: Counts{Limit: opts.MaxInFlight, ColdLimit: opts.ColdInFlight}}
}

// Begin counts a request and reports whether the endpoint bears it.
func (m *Meter) Begin() (bearable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight++
	m.counts.MaxInFlight = max(m.counts.MaxInFlight, m.inFlight)
	limit := m.opts.MaxInFlight
	if m.cold() {
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

// End counts the end of a request that Begin counted.
func (m *Meter) End(completed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	if completed {
		m.warmth++
		m.counts.Completed++
	}
}

// Cool makes the endpoint cold.
func (m *Meter) Cool() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.warmth = 0
}

// InFlight returns the number of requests begun and not ended.
func (m *Meter) InFlight() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inFlight
}

// Counts returns what was seen so far.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

func (m *Meter) cold() bool { return m.warmth < m.opts.WarmAfter }
