// Package engine is a stand-in for a model engine. It has the control interface
// of coord/member, an OpenAI-compatible API whose answers are derived from the
// prompt, concurrency limits, and fault switches.
package engine

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/standin/meter"
)

// Paths of the stand-in's own control interface.
const (
	FaultsPath = "/faults"         // POST Faults
	CountsPath = "/control/counts" // GET, answers Counts
)

const (
	defaultWarmAfter    = 8
	defaultCollapseTime = time.Second
)

// Options configure an Engine.
type Options struct {
	VM            string
	ChecksFencing bool
	// LoadTime is the time between a join and state Ready.
	LoadTime time.Duration
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// ReportLag is the maximum age of the load figures in reports.
	ReportLag time.Duration
	// MaxInFlight and ColdInFlight limit the concurrent requests while the
	// engine is warm and cold; 0 means no limit. The engine is warm after
	// WarmAfter completions; 0 means 8.
	MaxInFlight  int
	ColdInFlight int
	WarmAfter    int
	// CollapseTime is how long requests stall after an overload; 0 means 1 s.
	CollapseTime time.Duration
	// Standalone makes the engine also serve requests without a group header.
	Standalone bool
}

// Counts are the engine's counters.
type Counts struct {
	meter.Counts
	Orders uint64 `json:"orders"`
	// Fenced counts orders refused because their fence is older than the newest one seen.
	Fenced uint64 `json:"fenced"`
	// Misdirected counts requests for another group or generation, or at a
	// rank other than 0.
	Misdirected uint64 `json:"misdirected"`
	// Cancelled counts requests that ended because the client disconnected.
	Cancelled uint64 `json:"cancelled"`
	// Resumed counts streams that were resumed after a given event.
	Resumed uint64 `json:"resumed"`
}

// Engine is the stand-in engine. It implements http.Handler.
type Engine struct {
	*echo.Echo
	opts     Options
	member   *membership
	meter    *meter.Meter
	switches faultSwitches

	misdirected atomic.Uint64
	cancelled   atomic.Uint64
	resumed     atomic.Uint64

	load struct {
		sync.Mutex
		at     time.Time
		report member.Report
	}
	previous struct {
		sync.Mutex
		attempt string
		request Request
	}
}

// New returns an idle, cold engine.
func New(opts Options) *Engine {
	if opts.WarmAfter == 0 {
		opts.WarmAfter = defaultWarmAfter
	}
	if opts.CollapseTime == 0 {
		opts.CollapseTime = defaultCollapseTime
	}
	limits := meter.Options{MaxInFlight: opts.MaxInFlight, ColdInFlight: opts.ColdInFlight, WarmAfter: uint64(opts.WarmAfter)}
	e := &Engine{Echo: echo.New(), opts: opts, member: newMembership(opts), meter: meter.New(limits)}
	e.GET(endpoint.ReportPath, e.getReport, e.delayWhilePaused)
	e.POST(endpoint.OrderPath, e.postOrder, e.delayWhilePaused)
	e.POST("/v1/chat/completions", e.chat, e.delayWhilePaused)
	e.POST("/v1/completions", e.completion, e.delayWhilePaused)
	e.POST(FaultsPath, e.postFaults)
	e.GET(CountsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, e.Counts()) })
	return e
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	orders, fenced := e.member.orderCounts()
	return Counts{
		Counts: e.meter.Counts(), Orders: orders, Fenced: fenced, Misdirected: e.misdirected.Load(),
		Cancelled: e.cancelled.Load(), Resumed: e.resumed.Load(),
	}
}

// SetFaults replaces the fault switches and carries out a cold restart if set.
func (e *Engine) SetFaults(f Faults) {
	e.switches.set(f)
	if f.ColdRestart {
		e.member.restart()
		e.meter.Cool()
	}
}

// Report returns the engine's status report. Its load figures may be up to
// ReportLag old.
func (e *Engine) Report() member.Report {
	report := e.member.report()
	lagging := e.laggingLoad()
	report.InFlight = lagging.InFlight
	report.Completed = lagging.Completed
	report.StepLatency = e.opts.TokenTime
	return report
}

// laggingLoad returns the load figures, which are refreshed once they are
// ReportLag old.
func (e *Engine) laggingLoad() member.Report {
	e.load.Lock()
	defer e.load.Unlock()
	if now := time.Now(); now.Sub(e.load.at) >= e.opts.ReportLag {
		e.load.at = now
		e.load.report = member.Report{InFlight: e.meter.InFlight(), Completed: e.meter.Counts().Completed}
	}
	return e.load.report
}

// Order carries out an order. It returns false if the order was refused because
// its fence is too old.
func (e *Engine) Order(o member.Order) bool {
	accepted, loaded := e.member.order(o)
	if loaded {
		e.meter.Cool()
	}
	return accepted
}

func (e *Engine) getReport(c echo.Context) error {
	return c.JSON(http.StatusOK, e.Report())
}

func (e *Engine) postOrder(c echo.Context) error {
	var o member.Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	status := http.StatusOK
	if !e.Order(o) {
		status = http.StatusConflict
	}
	return c.JSON(status, e.Report())
}

func (e *Engine) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	e.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// delayWhilePaused is middleware that delays a call while the engine is paused.
// It doesn't wait for the end of an overload, which must not affect the control
// interface.
func (e *Engine) delayWhilePaused(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := e.switches.waitPause(c.Request().Context()); err != nil {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}
