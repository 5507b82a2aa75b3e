package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pimentoshore/pimentoshore/internal/daemon"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// startDaemon runs an entry daemon of the demo in this process until stop is
// called. stop returns after the daemon has shut down gracefully.
func startDaemon(ctx context.Context, s settings.Settings) (address string, stop func(), err error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := daemon.Serve(ctx, s, os.Stderr); err != nil {
			fmt.Fprintf(os.Stderr, "daemon %s: %v\n", s.VM, err)
		}
	}()
	stop = func() {
		cancel()
		<-done
	}
	return s.Listen.Callers, stop, nil
}
