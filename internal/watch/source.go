package watch

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// ErrHistoryGone means that the changes after a version are no longer kept:
// the whole has to be read again.
var ErrHistoryGone = errors.New("platform: the changes since that version are gone; read the rows whole")

// OperatorNews is what operators have put in force.
type OperatorNews struct {
	// Version is where the next read goes on.
	Version uint64
	// Catalog is nil if it has not changed.
	Catalog *catalog.Catalog
	// Whole is whether Evacuated names all data centres that are to get no
	// work; otherwise it holds the changes alone.
	Whole     bool
	Evacuated map[string]bool
}

// VMNews is what the platform lists of endpoint VMs.
type VMNews struct {
	// Version is where the next read goes on.
	Version uint64
	// Whole is whether Rows are all VMs; otherwise they are the changed ones.
	Whole   bool
	Rows    []fleet.Row
	Removed []string
}

// Source reads what is published. A read with a version of 0 returns the
// whole; another waits for a change after that version, and returns without
// one when the wait has passed. Errors other than ErrHistoryGone mean that
// the platform could not be read.
type Source interface {
	Operators(ctx context.Context, after uint64, wait time.Duration) (OperatorNews, error)
	VMs(ctx context.Context, after uint64, wait time.Duration) (VMNews, error)
}
