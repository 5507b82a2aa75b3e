package service

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/internal/endpoint"
)

// postOrder runs an order, subject to the fault switches and the concurrency limit.
func (s *Service) postOrder(c echo.Context) error {
	c.Response().Header().Set(endpoint.HeaderIncarnation, s.incarnation)
	c.Response().Header().Set(endpoint.HeaderAttempt, c.Request().Header.Get(endpoint.HeaderAttempt))
	var order Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	faults := s.takeFaults()
	if faults.Refuse {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the service does not accept orders")
	}
	admitted := s.meter.Begin()
	var once sync.Once
	end := func(completed bool) { once.Do(func() { s.meter.End(completed) }) }
	defer end(false)
	if !admitted {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the service is overloaded")
	}
	ctx := c.Request().Context()
	if faults.Hang {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	receipt := s.run(order, c.Request().Header)
	if faults.DieAfterRunning {
		end(true)
		panic(http.ErrAbortHandler)
	}
	wait(ctx, s.opts.RunTime+time.Duration(faults.AnswerLateMS)*time.Millisecond)
	end(true)
	return c.JSON(http.StatusOK, receipt)
}

// run carries out an order and counts the run. The order is identified by its ID,
// or by its idempotency key if it has none.
func (s *Service) run(order Order, header http.Header) Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := header.Get(HeaderIdempotencyKey)
	id := cmp.Or(order.OrderID, key, uuid.NewString())
	order.OrderID = id
	run, ok := s.runs[id]
	if !ok {
		run = &Run{OrderID: id, IdempotencyKey: key}
		s.runs[id] = run
	}
	run.Runs++
	run.Attempts = append(run.Attempts, header.Get(endpoint.HeaderAttempt))
	receipt := Receipt{Order: order, Status: "accepted", VM: s.opts.VM, Run: run.Runs}
	s.receipts[id] = receipt
	return receipt
}

func (s *Service) getOrder(c echo.Context) error {
	c.Response().Header().Set(endpoint.HeaderIncarnation, s.incarnation)
	c.Response().Header().Set(endpoint.HeaderAttempt, c.Request().Header.Get(endpoint.HeaderAttempt))
	s.mu.Lock()
	receipt, ok := s.receipts[c.Param("id")]
	s.mu.Unlock()
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "order not found")
	}
	return c.JSON(http.StatusOK, receipt)
}

// takeFaults returns the switches that apply to an order that arrives now, and
// counts it against Times.
func (s *Service) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Times == 0 {
		return s.faults
	}
	if s.remaining == 0 {
		return Faults{}
	}
	s.remaining--
	return s.faults
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
