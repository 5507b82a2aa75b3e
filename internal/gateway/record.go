package gateway

import (
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Record describes one request for operators. It contains no bodies and no
// keys.
type Record struct {
	ID        string
	Account   string
	Target    string // model or service
	Forwarded bool   // received from another entry VM
	Running   bool
	// Problem is the error that ended the request; nil if it was answered.
	Problem *problem.Error
	// Hops are the VMs on the request's path, the endpoint last.
	Hops string
}

// Recorder stores the records of recent requests. It is safe for concurrent use.
type Recorder interface {
	// Put stores a record and replaces an earlier one with the same ID.
	Put(Record)
}

// beginRecord starts the record of an authenticated request.
func (s *Server) beginRecord(c echo.Context, req *request) {
	_, forwarded := c.Get(forwardedKey).(inventory.ClientAccount)
	rec := &Record{ID: req.id(), Account: req.account.Name, Forwarded: forwarded, Running: true}
	c.Set(recordKey, rec)
	s.putRecord(rec)
}

// maxRecordedName limits the name of a model or service in a record, in bytes. Callers
// choose it, and many records are kept.
const maxRecordedName = 128

// setRecordTarget sets the model or service in the request's record. The name is
// copied, since it may be part of a long path.
func (s *Server) setRecordTarget(c echo.Context, name string) {
	if rec, ok := c.Get(recordKey).(*Record); ok {
		rec.Target = strings.Clone(name[:min(len(name), maxRecordedName)])
		s.putRecord(rec)
	}
}

// endRecord completes the record of a request; p is nil if it was answered.
func (s *Server) endRecord(c echo.Context, p *problem.Error) {
	rec, ok := c.Get(recordKey).(*Record)
	if !ok {
		return
	}
	rec.Running = false
	rec.Problem = p
	rec.Hops = c.Response().Header().Get(headerHops)
	s.putRecord(rec)
}

func (s *Server) putRecord(rec *Record) {
	if s.recorder != nil {
		s.recorder.Put(*rec)
	}
}
