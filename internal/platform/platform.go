// Package platform is the client of the platform's transactional table
// service and its list of VMs.
package platform

import (
	"context"
	"errors"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// Errors of the table service. Each one defines what is known about a write.
var (
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("platform: a condition of the transaction failed; read the rows again and retry")
	// ErrUnavailable means that nothing was written.
	ErrUnavailable = errors.New("platform: the table service is unavailable; retry later")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("platform: the response was lost; read the row back and look for the write's token")
)

// Types of rows and transactions, shared with the state machines.
type (
	// Row is one row of the table.
	Row = table.Row
	// Condition requires that a row is at a given revision.
	Condition = table.Condition
	// Write sets or deletes a row.
	Write = table.Write
	// Txn is a transaction. It is applied atomically.
	Txn = table.Txn
)

// OutcomeOf returns the outcome of the transaction for an error of Commit.
func OutcomeOf(err error) table.Outcome {
	switch {
	case err == nil:
		return table.Applied
	case errors.Is(err, ErrConflict):
		return table.Conflict
	case errors.Is(err, ErrUnavailable):
		return table.NotWritten
	}
	return table.Unknown
}

// VMStatus is the platform's view of one VM, which lags behind its actual state.
type VMStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns the rows of the keys, all from one snapshot of the table. A
	// missing row has revision 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List returns at most limit rows whose keys start with prefix, in key
	// order, beginning after the key `after`.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the revision of its writes.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// VMs returns the live and the leaving VMs. The list lags behind the actual
	// state.
	VMs(ctx context.Context) ([]VMStatus, error)
}

// Paths of the table service's HTTP interface. Each accepts a POST with the
// request type of the same name and returns JSON. The status is 409 if a
// condition failed and 503 if nothing was written.
const (
	GetPath    = "/v1/get"
	ListPath   = "/v1/list"
	CommitPath = "/v1/commit"
	VMsPath    = "/v1/vms"
)

// GetRequest requests rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest requests rows by key prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowsAnswer is the response to GetRequest and ListRequest.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// CommitAnswer is the response to Txn.
type CommitAnswer struct {
	Revision uint64 `json:"revision"`
}

// VMsAnswer is the response to a request for the VM list.
type VMsAnswer struct {
	VMs []VMStatus `json:"vms"`
}
