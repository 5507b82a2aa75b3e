package gateway

import (
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Record is what operators may ask about one request. It holds neither
// bodies nor keys.
type Record struct {
	ID        string
	Account   string
	Target    string // model or service
	Forwarded bool   // another entry VM has sent it
	Running   bool
	// Problem ended the request; nil if it was answered.
	Problem *problem.Error
	// Hops are the VMs that it passed, the endpoint last.
	Hops string
}

// Recorder keeps records of recent requests. It is safe for concurrent use.
type Recorder interface {
	// Put keeps a record in place of an earlier one of the same ID.
	Put(Record)
}

// begin starts the record of an authenticated request.
func (s *Server) begin(c echo.Context, req *request) {
	_, forwarded := c.Get(forwardedKey).(inventory.ClientAccount)
	rec := &Record{ID: req.id(), Account: req.account.Name, Forwarded: forwarded, Running: true}
	c.Set(recordKey, rec)
	s.put(rec)
}

// setTarget names the model or service that the request is for.
func (s *Server) setTarget(c echo.Context, name string) {
	if rec, ok := c.Get(recordKey).(*Record); ok {
		rec.Target = name
		s.put(rec)
	}
}

// conclude ends the record of a request; p is nil if it was answered.
func (s *Server) conclude(c echo.Context, p *problem.Error) {
	rec, ok := c.Get(recordKey).(*Record)
	if !ok {
		return
	}
	rec.Running = false
	rec.Problem = p
	rec.Hops = c.Response().Header().Get(headerHops)
	s.put(rec)
}

func (s *Server) put(rec *Record) {
	if s.recorder != nil {
		s.recorder.Put(*rec)
	}
}
