package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
)

// Options configure Run.
type Options struct {
	// OperatorWait is the maximum time that a read of operators' rows waits
	// for a change. It bounds the age of the operators' state.
	OperatorWait time.Duration
	// VMInterval is the time between the starts of two reads of VMs, so that
	// one read returns several changes. During VMStartupPeriod it is
	// VMStartupInterval.
	VMInterval, VMStartupInterval time.Duration
	// IsReader reports whether this node reads the platform on behalf of other
	// nodes. A node that follows another one reads only while it gets no updates
	// from a peer, and multiplies its waits and intervals by FollowerFactor.
	IsReader       func() bool
	FollowerFactor time.Duration
	// VMStartupPeriod is the time after the start during which VMs are
	// expected to register for the first time.
	VMStartupPeriod time.Duration
	// RetryPause is the pause after a failed read. A node that isn't the
	// reader waits for FollowerRetryPause instead, because it gets updates from
	// its peers once they can read again.
	RetryPause, FollowerRetryPause time.Duration
	// QuarantineWait is the maximum time that a read of quarantined parts waits
	// for a change, and QuarantineRetryPause the pause after a failed one.
	QuarantineWait, QuarantineRetryPause time.Duration
	// Spread returns what the pauses depend on while peers answer without fresh data.
	// If it is nil, reads are never spread out.
	Spread func() updates.Spread
}

// Observer receives the results of the reads.
type Observer interface {
	// Position returns the revisions that the observer has. Each read requests
	// the changes after them.
	Position() updates.Position
	// HasPeerUpdates reports whether a peer sends updates, so that the platform
	// need not be read.
	HasPeerUpdates() bool
	// Operators and VMs apply an update. asOf is the time at which the read
	// was sent: the update includes every change confirmed by then.
	Operators(asOf time.Time, update updates.Operators)
	VMs(asOf time.Time, update updates.VMs)
	// Quarantine applies an update of the quarantined parts.
	Quarantine(update updates.Quarantine)
	// ReadFailed reports that the platform could not be read.
	ReadFailed(what string, err error)
}

// Run reads from src and passes the updates to obs until the context ends.
func Run(ctx context.Context, src Source, obs Observer, opts Options) error {
	w := &watcher{src: src, obs: obs, opts: opts, started: boottime.Now()}
	w.schedule = updates.NewSchedule(updates.Pauses{Reader: opts.RetryPause, Follower: opts.FollowerRetryPause, Quarantine: opts.QuarantineRetryPause}, rand.Float64)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { w.readRepeatedly(ctx, updates.ListOperators, w.readOperators); return nil })
	g.Go(func() error { w.readRepeatedly(ctx, updates.ListVMs, w.readVMs); return nil })
	g.Go(func() error { w.readRepeatedly(ctx, updates.ListQuarantine, w.readQuarantine); return nil })
	return g.Wait()
}

// watcher is the state of a call of Run.
type watcher struct {
	src     Source
	obs     Observer
	opts    Options
	started time.Time
	// quarantineRevision is the revision of the last read of quarantined parts.
	quarantineRevision updates.Revision

	mu       sync.Mutex
	schedule *updates.Schedule
}

// readRepeatedly repeats a read, except while a peer sends updates. read returns
// the pause until the next read; if full is set, it requests all rows. All rows are
// requested at once when there is no history, but not again and again.
func (w *watcher) readRepeatedly(ctx context.Context, l updates.List, read func(ctx context.Context, full bool) (time.Duration, error)) {
	full := false
	gone := 0 // reads without history since the last one of changes
	for ctx.Err() == nil {
		if wait := w.untilRead(l); wait > 0 {
			sleep(ctx, min(wait, updates.CheckInterval))
			continue
		}
		pause, err := read(ctx, full)
		w.record(l, err)
		switch {
		case errors.Is(err, ErrHistoryGone):
			gone++
		case !full:
			gone = 0
		}
		full = errors.Is(err, ErrHistoryGone)
		if gone > 1 {
			pause = max(pause, w.opts.RetryPause)
		}
		if err != nil && !full && w.spread().IsActive() {
			continue // untilRead has the pause
		}
		sleep(ctx, pause)
	}
}

// spread returns what the pauses depend on while peers have no fresh data.
func (w *watcher) spread() updates.Spread {
	if w.opts.Spread == nil {
		return updates.Spread{}
	}
	return w.opts.Spread()
}

// untilRead returns the time until the next read of a list. It must be called again
// after updates.CheckInterval.
func (w *watcher) untilRead(l updates.List) time.Duration {
	spread, hasPeerUpdates := w.spread(), w.obs.HasPeerUpdates()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.Until(boottime.Now(), l, spread, hasPeerUpdates)
}

// record records the result of a read.
func (w *watcher) record(l updates.List, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.Record(boottime.Now(), l, err != nil && !errors.Is(err, ErrHistoryGone))
}

// readOperators reads the operators' rows once.
func (w *watcher) readOperators(ctx context.Context, full bool) (time.Duration, error) {
	after := w.obs.Position().Operators
	if full {
		after = updates.Revision{}
	}
	sent := boottime.Now()
	update, err := w.src.Operators(ctx, after, w.scale(w.opts.OperatorWait))
	if err != nil {
		return w.handleFailure("operators", err), err
	}
	w.obs.Operators(sent, update)
	if update.Version == 0 {
		return w.opts.RetryPause, nil // a read doesn't wait for changes if nothing has been published yet
	}
	return 0, nil
}

// readVMs reads the VMs' rows once.
func (w *watcher) readVMs(ctx context.Context, full bool) (time.Duration, error) {
	after := w.obs.Position().VMs
	if full {
		after = updates.Revision{}
	}
	sent := boottime.Now()
	pause := w.scale(w.opts.VMInterval)
	if sent.Sub(w.started) < w.opts.VMStartupPeriod {
		pause = w.opts.VMStartupInterval
	}
	update, err := w.src.VMs(ctx, after, pause)
	if err != nil {
		return w.handleFailure("VMs", err), err
	}
	w.obs.VMs(sent, update)
	return pause - boottime.Now().Sub(sent), nil
}

// readQuarantine reads the rows of quarantined parts once.
func (w *watcher) readQuarantine(ctx context.Context, full bool) (time.Duration, error) {
	after := w.quarantineRevision
	if full {
		after = updates.Revision{}
	}
	update, err := w.src.Quarantine(ctx, after, w.opts.QuarantineWait)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if err != nil {
		pause := w.handleFailure("quarantined parts", err)
		if pause > 0 {
			pause = w.opts.QuarantineRetryPause
		}
		return pause, err
	}
	w.quarantineRevision = update.Revision()
	w.obs.Quarantine(update)
	if update.Version == 0 {
		return w.opts.QuarantineWait, nil // a read doesn't wait for changes if the store is empty
	}
	return 0, nil
}

// handleFailure reports a failed read and returns the pause until the next one.
// If the history is gone, all rows are read again at once.
func (w *watcher) handleFailure(what string, err error) time.Duration {
	if errors.Is(err, ErrHistoryGone) {
		return 0
	}
	w.obs.ReadFailed(what, err)
	if w.opts.IsReader() {
		return w.opts.RetryPause
	}
	return w.opts.FollowerRetryPause
}

// scale returns d for a reader, and d times FollowerFactor for other nodes.
func (w *watcher) scale(d time.Duration) time.Duration {
	if w.opts.IsReader() {
		return d
	}
	return d * w.opts.FollowerFactor
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
