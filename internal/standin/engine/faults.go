package engine

import (
	"context"
	"sync"
	"time"
)

// Faults are the engine's fault switches. Each new set replaces the previous one;
// the zero value clears all. Switches that affect requests apply to the next
// Times requests, or until cleared if Times is 0.
type Faults struct {
	// CutAfterEvents closes the connection of a stream after that many
	// events, and that of an unstreamed request before its answer is sent.
	CutAfterEvents int `json:"cut_after_events"`
	// AnswerLateMS delays the answer of a running request, in milliseconds.
	AnswerLateMS int `json:"answer_late_ms"`
	// Hang accepts requests and never answers them.
	Hang bool `json:"hang"`
	// Refuse answers 503 without running the request.
	Refuse bool `json:"refuse"`
	// Crossed answers with the text and the attempt ID of another request.
	Crossed bool `json:"crossed"`
	// SlowTokenMS is added to the time of each token, in milliseconds.
	SlowTokenMS int `json:"slow_token_ms"`
	// ColdRestart restarts the engine once: running requests are aborted,
	// and the engine is idle and cold, with a new incarnation.
	ColdRestart bool `json:"cold_restart"`
	// PauseMS pauses the whole engine once, for that many milliseconds.
	PauseMS int `json:"pause_ms"`
	Times   int `json:"times"`
}

// affectsRequests reports whether a switch that affects requests is set.
func (f Faults) affectsRequests() bool {
	return f.CutAfterEvents > 0 || f.AnswerLateMS > 0 || f.Hang || f.Refuse || f.Crossed || f.SlowTokenMS > 0
}

// faultSwitches holds the fault switches and the ends of the current pause and
// collapse.
type faultSwitches struct {
	mu        sync.Mutex
	faults    Faults
	remaining int // requests to which the switches still apply, if Times is set
	// pausedUntil applies to the whole engine, collapsedUntil to requests only.
	pausedUntil    time.Time
	collapsedUntil time.Time
}

func (s *faultSwitches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.remaining = f.Times
	if f.PauseMS > 0 {
		s.pausedUntil = time.Now().Add(time.Duration(f.PauseMS) * time.Millisecond)
	}
}

// takeForRequest returns the switches that apply to a request that starts now, and
// counts it against Times.
func (s *faultSwitches) takeForRequest() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Times == 0 || !f.affectsRequests() {
		return f
	}
	if s.remaining == 0 {
		return Faults{}
	}
	s.remaining--
	return f
}

// collapse stalls requests for d from now.
func (s *faultSwitches) collapse(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collapsedUntil = time.Now().Add(d)
}

// isCollapsed reports whether requests are stalled after an overload.
func (s *faultSwitches) isCollapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.collapsedUntil)
}

// waitPause waits until the engine isn't paused. It returns the error of ctx if
// that ends first.
func (s *faultSwitches) waitPause(ctx context.Context) error {
	return s.wait(ctx, func() time.Time { return s.pausedUntil })
}

// waitRequest waits until requests are neither paused nor stalled after an
// overload. It returns the error of ctx if that ends first.
func (s *faultSwitches) waitRequest(ctx context.Context) error {
	return s.wait(ctx, func() time.Time {
		if s.pausedUntil.After(s.collapsedUntil) {
			return s.pausedUntil
		}
		return s.collapsedUntil
	})
}

// wait waits for the time returned by until, which is called with mu held. If the
// time is moved meanwhile, wait waits for the new one.
func (s *faultSwitches) wait(ctx context.Context, until func() time.Time) error {
	for {
		s.mu.Lock()
		remaining := time.Until(until())
		s.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err()
		}
		if err := sleep(ctx, remaining); err != nil {
			return err
		}
	}
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
