package catalog

import (
	"fmt"
	"time"
)

// Bounds of the numbers of a configuration. They are far beyond sensible values and
// keep sums and products of them in range.
const (
	// MaxVersion is the highest version of a configuration.
	MaxVersion = 1<<53 - 1

	maxTime = 30 * 24 * time.Hour
	// maxCount bounds weights, rates, attempts and other numbers without a unit.
	maxCount     = 1 << 30
	maxGroupSize = 1 << 10
	maxBytes     = 1 << 40
)

// InvalidError means that a configuration has a number out of range.
type InvalidError struct {
	// Key names the number, and Value is what it is.
	Key   string
	Value any
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration: %s is %v, which is out of range; correct it and publish a new version", e.Key, e.Value)
}

// Validate returns an InvalidError if a number is out of range.
func (c *Catalog) Validate() error {
	v := &validator{}
	checkRange(v, "version", c.Version, 0, MaxVersion)
	for i := range c.spec.Routes {
		v.checkRoute(&c.spec.Routes[i])
	}
	for i := range c.spec.Services {
		v.checkService(&c.spec.Services[i])
	}
	l := c.Limits
	checkRange(v, "limits: header bytes", l.MaxHeaderBytes, 0, maxCount)
	checkRange(v, "limits: body bytes", l.MaxBodyBytes, 0, maxBytes)
	checkRange(v, "limits: header timeout", l.HeaderTimeout, 0, maxTime)
	checkRange(v, "limits: idle timeout", l.IdleTimeout, 0, maxTime)
	if v.fault == nil {
		return nil
	}
	return v.fault
}

// validator holds the first fault of a configuration.
type validator struct{ fault *InvalidError }

// number is a type of the numbers of a configuration.
type number interface {
	~int | ~int64 | ~float64
}

// checkRange records a fault if a number is out of range or is no number.
func checkRange[T number](v *validator, key string, value, least, most T) {
	inRange := value >= least && value <= most // false for NaN
	if v.fault == nil && !inRange {
		v.fault = &InvalidError{Key: key, Value: value}
	}
}

func (v *validator) checkRoute(r *Route) {
	key := "route " + r.Name + ": "
	checkRange(v, key+"number of backends", len(r.Backends), 1, maxCount)
	for _, b := range r.Backends {
		checkRange(v, key+"weight of service "+b.Service, b.Weight, 0, maxCount)
	}
	checkRange(v, key+"timeout", r.Timeout, 0, maxTime)
	checkRange(v, key+"objective", r.Objective, 0, maxTime)
	checkRange(v, key+"objective for pauses", r.PauseObjective, 0, maxTime)
	checkRange(v, key+"attempts", r.MaxAttempts, 1, maxCount)
	if v.fault == nil && r.Kind != Idempotent && r.Kind != Once && r.Kind != Stream {
		v.fault = &InvalidError{Key: key + "kind", Value: r.Kind}
	}
}

func (v *validator) checkService(s *Service) {
	key := "service " + s.Name + ": "
	checkRange(v, key+"connections", s.MaxConns, 0, maxCount)
	checkRange(v, key+"requests a second while cold", s.ColdPerSecond, 0, maxCount)
	checkRange(v, key+"time for which endpoints are cold", s.ColdTime, 0, maxTime)
	if s.Engine != nil {
		v.checkEngine(key, s.Engine)
	}
}

func (v *validator) checkEngine(key string, e *Engine) {
	checkRange(v, key+"slots", e.Slots, 0, maxCount)
	checkRange(v, key+"loads a second", e.LoadsPerSecond, 0, maxCount)
	checkRange(v, key+"concurrent loads", e.ConcurrentLoads, 0, maxCount)
	checkRange(v, key+"forming time", e.FormTime, 0, maxTime)
	checkRange(v, key+"report lag", e.ReportLag, 0, maxTime)
	checkRange(v, key+"mean prompt", e.MeanPrompt, 0, maxCount)
	checkRange(v, key+"mean answer", e.MeanAnswer, 0, maxCount)
	checkRange(v, key+"step time", e.StepTime, 0, maxTime)
	checkRange(v, key+"step time for each request", e.RequestTime, 0, maxTime)
	checkRange(v, key+"step time for 1,000 tokens of context", e.ContextTime, 0, maxTime)
	checkRange(v, key+"tokens read a second", e.ReadRate, 0, maxCount)
	checkRange(v, key+"time of a million pairs", e.PairTime, 0, maxTime)
	checkRange(v, key+"chunk", e.Chunk, 0, maxCount)
	checkRange(v, key+"stride", e.Stride, 0, maxCount)
	checkRange(v, key+"token capacity", e.TokenCapacity, 0, maxCount)
	for _, m := range e.Models {
		key := key + "model " + m.Name + ": "
		checkRange(v, key+"group size", m.GroupSize, 1, maxGroupSize)
		checkRange(v, key+"pace", m.Pace, 0, maxCount)
		checkRange(v, key+"share", m.Share, 0, maxCount)
		checkRange(v, key+"load time", m.LoadTime, 0, maxTime)
		checkRange(v, key+"warm load time", m.WarmTime, 0, maxTime)
	}
}
