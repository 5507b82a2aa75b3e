package watch

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
)

// Options set the pace of a Watcher.
type Options struct {
	// OperatorWait bounds the age of what is known of operators' changes: a
	// read waits at most so long for one.
	OperatorWait time.Duration
	// VMPause is the time between the starts of two reads of VMs, in which
	// changes collect. While VMs register for the first time it is
	// VMStartPause.
	VMPause, VMStartPause time.Duration
	// First reports whether this node reads for others, too. Where it does
	// not, and reads since it can't ask, waits and pauses are OwnFactor times
	// as long.
	First     func() bool
	OwnFactor time.Duration
	// VMStart is how long after the start VMs are taken to register.
	VMStart time.Duration
	// RetryPause is the pause after a failed read, and OwnRetryPause that of a
	// node that isn't First: it hears from others once they can read again.
	RetryPause, OwnRetryPause time.Duration
}

// Observer takes in what a Watcher reads.
type Observer interface {
	// Position is what is known already; each read goes on from there.
	Position() news.Position
	// HasPeerUpdates reports whether others tell what is new, so that nothing need be
	// read from the platform.
	HasPeerUpdates() bool
	// Operators and VMs take news in. asOf is when the read was sent: the news
	// hold everything that was confirmed by then.
	Operators(asOf time.Time, n news.Operators)
	VMs(asOf time.Time, n news.VMs)
	// ReadFailed says that the platform could not be read.
	ReadFailed(what string, err error)
}

// Run follows the source until the context ends.
func Run(ctx context.Context, src Source, obs Observer, opts Options) error {
	w := &watcher{src: src, obs: obs, opts: opts, started: boottime.Now()}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { w.follow(ctx, w.operators); return nil })
	g.Go(func() error { w.follow(ctx, w.vms); return nil })
	return g.Wait()
}

type watcher struct {
	src     Source
	obs     Observer
	opts    Options
	started time.Time
}

// follow repeats a read for as long as nobody else tells what it would bring.
// A read returns the pause until the next one; whole asks for everything.
func (w *watcher) follow(ctx context.Context, read func(ctx context.Context, whole bool) (time.Duration, error)) {
	whole := false
	for ctx.Err() == nil {
		if w.obs.HasPeerUpdates() {
			sleep(ctx, toldPause)
			continue
		}
		pause, err := read(ctx, whole)
		whole = errors.Is(err, ErrHistoryGone)
		sleep(ctx, pause)
	}
}

// toldPause is the time between two looks at whether others still tell.
const toldPause = 100 * time.Millisecond

func (w *watcher) operators(ctx context.Context, whole bool) (time.Duration, error) {
	after := w.obs.Position().Operators
	if whole {
		after = 0
	}
	sent := boottime.Now()
	n, err := w.src.Operators(ctx, after, w.pace(w.opts.OperatorWait))
	if err != nil {
		return w.failed("operators", err), err
	}
	w.obs.Operators(sent, n)
	if n.Version == 0 {
		return w.opts.RetryPause, nil // nothing is published yet, so that no read waits
	}
	return 0, nil
}

func (w *watcher) vms(ctx context.Context, whole bool) (time.Duration, error) {
	after := w.obs.Position().VMs
	if whole {
		after = 0
	}
	sent := boottime.Now()
	pause := w.pace(w.opts.VMPause)
	if sent.Sub(w.started) < w.opts.VMStart {
		pause = w.opts.VMStartPause
	}
	n, err := w.src.VMs(ctx, after, pause)
	if err != nil {
		return w.failed("VMs", err), err
	}
	w.obs.VMs(sent, n)
	return pause - boottime.Now().Sub(sent), nil
}

// failed returns the pause after a failed read.
func (w *watcher) failed(what string, err error) time.Duration {
	if errors.Is(err, ErrHistoryGone) {
		return 0
	}
	w.obs.ReadFailed(what, err)
	if w.opts.First() {
		return w.opts.RetryPause
	}
	return w.opts.OwnRetryPause
}

func (w *watcher) pace(d time.Duration) time.Duration {
	if w.opts.First() {
		return d
	}
	return d * w.opts.OwnFactor
}

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
