package watch

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// ErrHistoryGone means that the platform does not have the changes after a revision:
// it no longer keeps them, or it came back from an older copy. All rows must be read
// again.
var ErrHistoryGone = errors.New("platform: there are no changes since that revision; read all rows again")

// Source reads the published rows. If after is zero, a read returns all rows.
// Otherwise it waits for changes after that revision, and returns without any
// once wait has passed. Errors other than ErrHistoryGone mean that the platform
// could not be read.
type Source interface {
	Operators(ctx context.Context, after updates.Revision, wait time.Duration) (updates.Operators, error)
	VMs(ctx context.Context, after updates.Revision, wait time.Duration) (updates.VMs, error)
	Quarantine(ctx context.Context, after updates.Revision, wait time.Duration) (updates.Quarantine, error)
}
