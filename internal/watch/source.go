package watch

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// ErrHistoryGone means that the platform no longer keeps the changes after a
// version, so that all rows must be read again.
var ErrHistoryGone = errors.New("platform: the changes since that version are no longer kept; read all rows again")

// Source reads the published rows. If after is 0, a read returns all rows.
// Otherwise it waits for changes after that version, and returns without any
// once wait has passed. Errors other than ErrHistoryGone mean that the platform
// could not be read.
type Source interface {
	Operators(ctx context.Context, after uint64, wait time.Duration) (updates.Operators, error)
	VMs(ctx context.Context, after uint64, wait time.Duration) (updates.VMs, error)
	Quarantine(ctx context.Context, after uint64, wait time.Duration) (updates.Quarantine, error)
}
