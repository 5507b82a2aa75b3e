package engine

import (
	"context"
	"sync"
	"time"
)

// Faults are the engine's fault switches. They replace the earlier ones; the
// zero value clears all. Switches on requests hold for the next Times
// requests, or until cleared if Times is 0.
type Faults struct {
	// CutAfterEvents closes a stream's connection after that many events,
	// and that of a whole answer before it is sent.
	CutAfterEvents int `json:"cut_after_events"`
	// AnswerLateMS delays the answer of a request that runs.
	AnswerLateMS int `json:"answer_late_ms"`
	// Hang accepts requests and never answers.
	Hang bool `json:"hang"`
	// Refuse answers 503 without running.
	Refuse bool `json:"refuse"`
	// Crossed answers with another request's text and attempt.
	Crossed bool `json:"crossed"`
	// SlowTokenMS adds to the time of each token.
	SlowTokenMS int `json:"slow_token_ms"`
	// ColdRestart makes the engine start anew, once: running requests die,
	// and it is idle and cold under another incarnation.
	ColdRestart bool `json:"cold_restart"`
	// PauseMS stops the whole engine for a time, once.
	PauseMS int `json:"pause_ms"`
	Times   int `json:"times"`
}

// onRequests reports whether a switch on requests is set.
func (f Faults) onRequests() bool {
	return f.CutAfterEvents > 0 || f.AnswerLateMS > 0 || f.Hang || f.Refuse || f.Crossed || f.SlowTokenMS > 0
}

// switches holds the fault switches and the times until which the engine
// stands still.
type switches struct {
	mu     sync.Mutex
	faults Faults
	left   int // requests that the switches still hold for, if Times is set
	// pausedUntil stops everything, collapsedUntil the requests only.
	pausedUntil    time.Time
	collapsedUntil time.Time
}

func (s *switches) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.left = f.Times
	if f.PauseMS > 0 {
		s.pausedUntil = time.Now().Add(time.Duration(f.PauseMS) * time.Millisecond)
	}
}

// take returns the switches that hold for a request that starts now.
func (s *switches) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Times == 0 || !f.onRequests() {
		return f
	}
	if s.left == 0 {
		return Faults{}
	}
	s.left--
	return f
}

// collapse makes the requests stand still for d from now.
func (s *switches) collapse(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collapsedUntil = time.Now().Add(d)
}

// collapsed reports whether the requests stand still after an overload.
func (s *switches) collapsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.collapsedUntil)
}

// waitPause returns once the engine isn't paused or ctx has ended.
func (s *switches) waitPause(ctx context.Context) error {
	return s.wait(ctx, func() time.Time { return s.pausedUntil })
}

// waitRequest returns once requests don't stand still or ctx has ended.
func (s *switches) waitRequest(ctx context.Context) error {
	return s.wait(ctx, func() time.Time {
		if s.pausedUntil.After(s.collapsedUntil) {
			return s.pausedUntil
		}
		return s.collapsedUntil
	})
}

// wait returns once the time that until reads under the lock has passed.
func (s *switches) wait(ctx context.Context, until func() time.Time) error {
	for {
		s.mu.Lock()
		left := time.Until(until())
		s.mu.Unlock()
		if left <= 0 {
			return ctx.Err()
		}
		if err := sleep(ctx, left); err != nil {
			return err
		}
	}
}

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
