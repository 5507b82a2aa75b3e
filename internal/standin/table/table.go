// Package table is a stand-in for the platform's table service. It serves the
// HTTP interface of internal/platform from an in-memory table, with fault
// switches.
package table

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
)

// Paths of the stand-in's control interface.
const (
	FaultsPath = "/faults" // POST Faults
	CountsPath = "/counts" // GET, answers memtable.Counts
	SetVMsPath = "/vms"    // POST platform.VMsAnswer, replaces the VM list
)

// Faults is the JSON form of memtable.Faults; times are in milliseconds.
type Faults struct {
	Down        bool `json:"down"`
	SlowMS      int  `json:"slow_ms"`
	LoseAnswers int  `json:"lose_answers"`
	LagMS       int  `json:"lag_ms"`
}

// Options configure a Server.
type Options struct {
	// Table contains the rows; nil means a new, empty table.
	Table *memtable.Table
	// Lag is the initial delay after which readers see a new VM list.
	Lag time.Duration
}

// Server is the stand-in for the table service. It implements http.Handler.
type Server struct {
	*echo.Echo
	table *memtable.Table
}

// New returns a Server.
func New(opts Options) *Server {
	if opts.Table == nil {
		opts.Table = memtable.New(memtable.Options{})
	}
	if opts.Lag > 0 {
		opts.Table.SetFaults(memtable.Faults{Lag: opts.Lag})
	}
	s := &Server{Echo: echo.New(), table: opts.Table}
	s.POST(platform.GetPath, s.get)
	s.POST(platform.ListPath, s.list)
	s.POST(platform.CommitPath, s.commit)
	s.POST(platform.VMsPath, s.vms)
	s.POST(FaultsPath, s.setFaults)
	s.POST(SetVMsPath, s.setVMs)
	s.GET(CountsPath, s.counts)
	return s
}

// Table returns the server's table, with which tests set rows and fault switches.
func (s *Server) Table() *memtable.Table { return s.table }

func (s *Server) get(c echo.Context) error {
	var req platform.GetRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	rows, err := s.table.Get(c.Request().Context(), req.Keys...)
	return answer(c, platform.RowsAnswer{Rows: rows}, err)
}

func (s *Server) list(c echo.Context) error {
	var req platform.ListRequest
	if err := c.Bind(&req); err != nil {
		return err
	}
	rows, err := s.table.List(c.Request().Context(), req.Prefix, req.After, req.Limit)
	return answer(c, platform.RowsAnswer{Rows: rows}, err)
}

// commit commits a transaction. Like a real service, it completes the transaction
// even if the caller disconnects.
func (s *Server) commit(c echo.Context) error {
	var txn platform.Txn
	if err := c.Bind(&txn); err != nil {
		return err
	}
	revision, err := s.table.Commit(context.WithoutCancel(c.Request().Context()), txn)
	return answer(c, platform.CommitAnswer{Revision: revision}, err)
}

func (s *Server) vms(c echo.Context) error {
	vms, err := s.table.VMs(c.Request().Context())
	return answer(c, platform.VMsAnswer{VMs: vms}, err)
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.table.SetFaults(memtable.Faults{
		Down:        f.Down,
		Slow:        time.Duration(f.SlowMS) * time.Millisecond,
		LoseAnswers: f.LoseAnswers,
		Lag:         time.Duration(f.LagMS) * time.Millisecond,
	})
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) setVMs(c echo.Context) error {
	var req platform.VMsAnswer
	if err := c.Bind(&req); err != nil {
		return err
	}
	s.table.SetVMs(req.VMs)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) counts(c echo.Context) error {
	return c.JSON(http.StatusOK, s.table.Counts())
}

// answer sends body, or the status for the table's error. ErrUnknown, which stands
// for a lost answer, closes the connection without an answer.
func answer(c echo.Context, body any, err error) error {
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, body)
	case errors.Is(err, platform.ErrConflict):
		return c.NoContent(http.StatusConflict)
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler)
	default:
		return c.NoContent(http.StatusServiceUnavailable)
	}
}
