package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/standin/engine"
	"github.com/pimentoshore/pimentoshore/internal/standin/service"
	"github.com/pimentoshore/pimentoshore/internal/standin/table"
)

const (
	standinHeaderTimeout = 5 * time.Second
	standinStopTimeout   = 2 * time.Second
)

func (a *app) standinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in for the platform, a model engine or a plain service",
		Example: "  pimentoshore standin platform --listen 127.0.0.1:9000\n  pimentoshore standin engine --vm praha-a-1 --listen 127.0.0.1:9101",
		Args:    cobra.NoArgs,
		RunE:    requireSubcommand,
	}
	cmd.AddCommand(a.standinPlatformCommand(), a.standinEngineCommand(), a.standinServiceCommand())
	return cmd
}

// listenFlag adds the --listen flag.
func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "IP address and port; port 0 takes a free one")
}

func (a *app) standinPlatformCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the platform's table service in memory",
		Example: "  pimentoshore standin platform --listen 127.0.0.1:9000 --lag 3s",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	lag := cmd.Flags().Duration("lag", 0, "age of the VM list")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return a.serveStandin(cmd.Context(), *listen, table.New(table.Options{Lag: *lag}))
	}
	return cmd
}

func (a *app) standinEngineCommand() *cobra.Command {
	var opts engine.Options
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a model engine that answers by rule",
		Example: "  pimentoshore standin engine --vm praha-a-1 --listen 127.0.0.1:9101 --token 20ms --max-in-flight 16 --cold-in-flight 2",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	cmd.Flags().StringVar(&opts.VM, "vm", "", "name of the VM")
	cmd.Flags().BoolVar(&opts.ChecksFencing, "checks-fencing", false, "refuse orders older than the newest")
	cmd.Flags().DurationVar(&opts.LoadTime, "load", time.Second, "time to load a model")
	cmd.Flags().DurationVar(&opts.TokenTime, "token", 10*time.Millisecond, "time per token")
	cmd.Flags().DurationVar(&opts.ReportLag, "report-lag", 0, "age of the load in reports")
	cmd.Flags().DurationVar(&opts.CollapseTime, "collapse", 0, "how long it stalls after an overload (default 1s)")
	cmd.Flags().BoolVar(&opts.Standalone, "standalone", false, "serve requests that name no group")
	limitFlags(cmd, &opts.MaxInFlight, &opts.ColdInFlight, &opts.WarmAfter)
	_ = cmd.MarkFlagRequired("vm")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return a.serveStandin(cmd.Context(), *listen, engine.New(opts))
	}
	return cmd
}

func (a *app) standinServiceCommand() *cobra.Command {
	var opts service.Options
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a plain service that takes orders and counts their runs",
		Example: "  pimentoshore standin service --vm praha-shop-1 --listen 127.0.0.1:9201",
		Args:    cobra.NoArgs,
	}
	listen := listenFlag(cmd)
	cmd.Flags().StringVar(&opts.VM, "vm", "", "name of the VM")
	cmd.Flags().DurationVar(&opts.RunTime, "run", 0, "time that an order takes")
	limitFlags(cmd, &opts.MaxInFlight, &opts.ColdInFlight, &opts.WarmAfter)
	_ = cmd.MarkFlagRequired("vm")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return a.serveStandin(cmd.Context(), *listen, service.New(opts))
	}
	return cmd
}

func limitFlags(cmd *cobra.Command, maxInFlight, cold, warmAfter *int) {
	cmd.Flags().IntVar(maxInFlight, "max-in-flight", 0, "concurrent requests that it can serve when warm; 0 for no limit")
	cmd.Flags().IntVar(cold, "cold-in-flight", 0, "concurrent requests that it can serve when cold; 0 for no limit")
	cmd.Flags().IntVar(warmAfter, "warm-after", 0, "completions after which it is warm (default 8; a service 4)")
}

// serveStandin serves a handler until ctx ends. It prints the listening address,
// which a caller that asked for port 0 cannot know otherwise.
func (a *app) serveStandin(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "listening; choose another address with --listen")
	}
	fmt.Fprintf(a.Out, "listening on %s\n", listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Trace(err)
	case <-ctx.Done():
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinStopTimeout)
		defer cancel()
		if server.Shutdown(stopCtx) != nil {
			_ = server.Close()
		}
		return nil
	}
}
