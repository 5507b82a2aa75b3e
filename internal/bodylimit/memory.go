package bodylimit

import "sync"

const (
	// Without a memory limit, request bodies and buffered responses have these
	// limits, in bytes, and together their sum.
	defaultRequests  = 64 << 20
	defaultResponses = defaultBudget

	// Of a memory limit, request bodies and buffered responses may each use the
	// fraction partDivisor, and together totalNumerator/totalDivisor.
	partDivisor    = 4
	totalNumerator = 3
	totalDivisor   = 8
)

// Sizes are the limits of a Memory in bytes. 0 selects a default.
type Sizes struct {
	Requests  int64
	Responses int64
	// Total limits both together.
	Total int64
}

// SizesFor returns the limits for a process whose memory is limited to limit bytes,
// or the defaults if it is 0.
func SizesFor(limit int64) Sizes {
	return Sizes{Requests: limit / partDivisor, Responses: limit / partDivisor, Total: limit / totalDivisor * totalNumerator}
}

// Memory is the memory of a node for what callers and endpoints send.
type Memory struct {
	// Requests is the memory for the headers and bodies of requests.
	Requests *HolderBudget
	// Responses is the memory for responses that are read whole.
	Responses *Budget
	total     *Budget
}

// NewMemory returns a Memory with the given limits.
func NewMemory(s Sizes) *Memory {
	if s.Requests <= 0 {
		s.Requests = defaultRequests
	}
	if s.Responses <= 0 {
		s.Responses = defaultResponses
	}
	if s.Total <= 0 {
		s.Total = s.Requests + s.Responses
	}
	total := NewBudget(s.Total)
	return &Memory{Requests: NewHolderBudget(total.Sub(s.Requests)), Responses: total.Sub(s.Responses), total: total}
}

// Used returns the number of reserved bytes, of requests and responses together.
func (m *Memory) Used() int64 { return m.total.Used() }

// HolderBudget is a budget of which one holder, for example a client account, may
// reserve half. It is safe for concurrent use.
type HolderBudget struct {
	budget *Budget
	mu     sync.Mutex
	held   map[string]int64
}

// NewHolderBudget returns a HolderBudget over a budget.
func NewHolderBudget(b *Budget) *HolderBudget {
	return &HolderBudget{budget: b, held: make(map[string]int64)}
}

// Used returns the number of reserved bytes.
func (h *HolderBudget) Used() int64 { return h.budget.Used() }

// Hold returns an empty reservation of a holder. largest is the size of the largest
// body in bytes, for which the holder's share always suffices.
func (h *HolderBudget) Hold(holder string, largest int64) Reservation {
	return Reservation{budget: h, holder: holder, largest: largest}
}

// Reservation is memory that a holder has reserved. The zero value is empty and can
// only be released. It is not safe for concurrent use.
type Reservation struct {
	budget  *HolderBudget
	holder  string
	largest int64
	n       int64
}

// Size returns the number of reserved bytes.
func (r *Reservation) Size() int64 { return r.n }

// Grow reserves n more bytes. Its error is a *ShortageError.
func (r *Reservation) Grow(n int64) error {
	if n <= 0 {
		return nil
	}
	h := r.budget
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.held[r.holder]
	if limit := h.holderLimit(r.largest); held+n > limit {
		return &ShortageError{Holder: r.holder, Wanted: n, Used: held, Limit: limit}
	}
	if full := h.budget.tryReserve(n); full != nil {
		return &ShortageError{Wanted: n, Used: full.Used(), Limit: full.limit}
	}
	h.held[r.holder] = held + n
	r.n += n
	return nil
}

// holderLimit returns how much one holder may reserve. A body that enlarges its buffer
// holds the old one and the new one at the same time, each of at most largest bytes.
func (h *HolderBudget) holderLimit(largest int64) int64 {
	return max(h.budget.limit/2, 2*largest)
}

// Shrink releases n of the reserved bytes.
func (r *Reservation) Shrink(n int64) {
	if n <= 0 {
		return
	}
	h := r.budget
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[r.holder] -= n
	if h.held[r.holder] <= 0 {
		delete(h.held, r.holder)
	}
	h.budget.Release(n)
	r.n -= n
}

// Release releases all reserved bytes. It may be called more than once.
func (r *Reservation) Release() { r.Shrink(r.n) }
