// Package platform is the client of the platform's transactional table
// service and its list of VMs.
package platform

import (
	"context"
	"errors"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// Errors of the table service. Each says what is known about a write.
var (
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("platform: a condition of the transaction failed; read the rows again and retry")
	// ErrUnavailable means that nothing was written.
	ErrUnavailable = errors.New("platform: the table service is unavailable; retry later")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("platform: the answer was lost; read the row back and look for the write's token")
)

// Types of rows and transactions, shared with the state machines.
type (
	// Row is one row of the table.
	Row = table.Row
	// Condition requires a row to be at a revision.
	Condition = table.Condition
	// Write sets or deletes a row.
	Write = table.Write
	// Txn is applied whole or not at all.
	Txn = table.Txn
)

// OutcomeOf says what an error of Commit tells about the transaction.
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

// VMStatus is the platform's lagging view of one VM.
type VMStatus struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Table is the transactional table service.
type Table interface {
	// Get reads rows; a missing one has revision 0. All come from one
	// snapshot of the table.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// List reads the rows whose keys start with prefix, in key order,
	// beginning after the key `after`, at most limit rows.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the revision of its writes.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// VMs returns the lagging list of live and leaving VMs.
	VMs(ctx context.Context) ([]VMStatus, error)
}

// Paths of the table service's HTTP interface. Each takes a POST with the
// request type of the same name and answers JSON: 409 for a failed
// condition, 503 when nothing was written.
const (
	GetPath    = "/v1/get"
	ListPath   = "/v1/list"
	CommitPath = "/v1/commit"
	VMsPath    = "/v1/vms"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ListRequest asks for rows by prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowsAnswer answers GetRequest and ListRequest.
type RowsAnswer struct {
	Rows []Row `json:"rows"`
}

// CommitAnswer answers Txn.
type CommitAnswer struct {
	Revision uint64 `json:"revision"`
}

// VMsAnswer answers a request for the VM list.
type VMsAnswer struct {
	VMs []VMStatus `json:"vms"`
}
