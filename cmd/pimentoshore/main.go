// Command pimentoshore is the operators' command line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pimentoshore/pimentoshore/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], cli.Options{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, StartDaemon: startDaemon,
	})
	stop()
	os.Exit(code)
}
