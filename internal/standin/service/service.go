// Package service is a stand-in for a plain service that accepts orders, each of
// which must run at most once. It counts every run, so that a test can detect
// orders that ran more than once.
package service

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/standin/meter"
)

// Paths of the stand-in's HTTP interface.
const (
	OrdersPath = "/orders"         // POST Order, answers Receipt; GET /orders/{id}
	FaultsPath = "/faults"         // POST Faults
	CountsPath = "/control/counts" // GET, answers meter.Counts
	RunsPath   = "/control/runs"   // GET, answers Runs
)

// HeaderIdempotencyKey is the header with which a caller identifies a request.
const HeaderIdempotencyKey = "Idempotency-Key"

const defaultWarmAfter = 4

// Options configure a Service.
type Options struct {
	VM string
	// RunTime is the duration of each order.
	RunTime time.Duration
	// MaxInFlight and ColdInFlight limit the concurrent orders while the
	// service is warm and cold; 0 means no limit. The service is warm after
	// WarmAfter completions; 0 means 4.
	MaxInFlight  int
	ColdInFlight int
	WarmAfter    int
}

// Order is the body of an order request.
type Order struct {
	OrderID  string `json:"order_id"`
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Receipt is the answer to an order.
type Receipt struct {
	Order
	Status string `json:"status"`
	VM     string `json:"vm"`
	// Run is the number of this run of the order, starting at 1.
	Run int `json:"run"`
}

// Run records how often one order ran, and the attempt ID of each run.
type Run struct {
	OrderID        string   `json:"order_id"`
	IdempotencyKey string   `json:"idempotency_key,omitempty"`
	Runs           int      `json:"runs"`
	Attempts       []string `json:"attempts"`
}

// Runs is the log of all orders, sorted by ID. Doubles counts the runs beyond the
// first of each order.
type Runs struct {
	Total   int   `json:"total"`
	Doubles int   `json:"doubles"`
	Orders  []Run `json:"orders"`
}

// Faults are the service's fault switches. Each new set replaces the previous one;
// the zero value clears all. The switches apply to the next Times orders, or until
// cleared if Times is 0.
type Faults struct {
	// DieAfterRunning runs the order and closes the connection without an answer.
	DieAfterRunning bool `json:"die_after_running"`
	// AnswerLateMS delays the answer of an order that has run, in milliseconds.
	AnswerLateMS int `json:"answer_late_ms"`
	// Refuse answers 503 without running the order.
	Refuse bool `json:"refuse"`
	// Hang accepts orders but neither runs nor answers them.
	Hang  bool `json:"hang"`
	Times int  `json:"times"`
}

// Service is the stand-in service. It implements http.Handler.
type Service struct {
	*echo.Echo
	opts        Options
	incarnation string
	meter       *meter.Meter

	mu        sync.Mutex
	faults    Faults
	remaining int // orders to which the switches still apply, if Times is set
	receipts  map[string]Receipt
	runs      map[string]*Run
}

// New returns a cold service without orders.
func New(opts Options) *Service {
	if opts.WarmAfter == 0 {
		opts.WarmAfter = defaultWarmAfter
	}
	limits := meter.Options{MaxInFlight: opts.MaxInFlight, ColdInFlight: opts.ColdInFlight, WarmAfter: uint64(opts.WarmAfter)}
	s := &Service{
		Echo: echo.New(), opts: opts, incarnation: uuid.NewString(), meter: meter.New(limits),
		receipts: map[string]Receipt{}, runs: map[string]*Run{},
	}
	s.POST(OrdersPath, s.postOrder)
	s.GET(OrdersPath+"/:id", s.getOrder)
	s.POST(FaultsPath, s.postFaults)
	s.GET(endpoint.ReportPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Report()) })
	s.GET(CountsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.meter.Counts()) })
	s.GET(RunsPath, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	return s
}

// Report returns the service's status report. Its state is always Ready.
func (s *Service) Report() member.Report {
	return member.Report{
		VM: s.opts.VM, Incarnation: s.incarnation, State: member.Ready,
		InFlight: s.meter.InFlight(), Completed: s.meter.Counts().Completed,
	}
}

// Runs returns the log of orders.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := Runs{Orders: make([]Run, 0, len(s.runs))}
	for _, run := range s.runs {
		copied := *run
		copied.Attempts = slices.Clone(run.Attempts)
		log.Orders = append(log.Orders, copied)
		log.Total += run.Runs
		log.Doubles += run.Runs - 1
	}
	slices.SortFunc(log.Orders, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.OrderID, b.OrderID), cmp.Compare(a.IdempotencyKey, b.IdempotencyKey))
	})
	return log
}

// Counts returns the current counters.
func (s *Service) Counts() meter.Counts { return s.meter.Counts() }

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.remaining = f.Times
}

func (s *Service) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
