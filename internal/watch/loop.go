package watch

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

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
	// VMStart is how long after the start VMs are taken to register.
	VMStart time.Duration
	// RetryPause is the pause after a failed read.
	RetryPause time.Duration
}

// Observer takes in what a Watcher reads. asOf is when the read was sent: the
// news holds everything that was confirmed by then.
type Observer interface {
	Operators(asOf time.Time, news OperatorNews)
	VMs(asOf time.Time, news VMNews)
	// ReadFailed says that the platform could not be read.
	ReadFailed(at time.Time, what string, err error)
}

// Run follows the source until the context ends.
func Run(ctx context.Context, src Source, obs Observer, opts Options) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		followOperators(ctx, src, obs, opts)
		return nil
	})
	g.Go(func() error {
		followVMs(ctx, src, obs, opts)
		return nil
	})
	return g.Wait()
}

func followOperators(ctx context.Context, src Source, obs Observer, opts Options) {
	var version uint64
	for ctx.Err() == nil {
		sent := boottime.Now()
		news, err := src.Operators(ctx, version, opts.OperatorWait)
		switch {
		case errors.Is(err, ErrHistoryGone):
			version = 0
		case err != nil:
			obs.ReadFailed(boottime.Now(), "operators", err)
			sleep(ctx, opts.RetryPause)
		default:
			version = news.Version
			obs.Operators(sent, news)
		}
	}
}

func followVMs(ctx context.Context, src Source, obs Observer, opts Options) {
	var version uint64
	started := boottime.Now()
	for ctx.Err() == nil {
		sent := boottime.Now()
		pause := opts.VMPause
		if sent.Sub(started) < opts.VMStart {
			pause = opts.VMStartPause
		}
		news, err := src.VMs(ctx, version, pause)
		switch {
		case errors.Is(err, ErrHistoryGone):
			version = 0
			continue
		case err != nil:
			obs.ReadFailed(boottime.Now(), "VMs", err)
			sleep(ctx, opts.RetryPause)
			continue
		}
		version = news.Version
		obs.VMs(sent, news)
		sleep(ctx, pause-boottime.Now().Sub(sent))
	}
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
