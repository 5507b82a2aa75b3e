package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"github.com/pimentoshore/pimentoshore/internal/node"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
	"github.com/pimentoshore/pimentoshore/platform"
)

// entryCommand returns the command that serves callers on an entry VM of the
// users' platform.
func entryCommand() *cobra.Command {
	var file string
	var check bool
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Serves callers on an entry VM of the users' platform",
		Example: "  pimentoshored entry --settings /etc/pimentoshore/settings.toml\n" +
			"  pimentoshored entry --check --settings settings.toml",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := settings.LoadEntry(file)
			if err != nil {
				return err
			}
			if check {
				cmd.Println(file + " is valid")
				return nil
			}
			return serveEntry(cmd.Context(), file, set)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "/etc/pimentoshore/settings.toml", "settings file (TOML)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit: 0 if they are valid, else 2")
	return cmd
}

// logFlushTimeout bounds the time to write the remaining log lines at exit.
const logFlushTimeout = 500 * time.Millisecond

func serveEntry(ctx context.Context, file string, set settings.Entry) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	plain, err := telemetry.NewLogger(out, string(set.Log.Format), set.Log.Level, set.VM, set.DataCentre)
	if err != nil {
		return err
	}
	log := slog.New(telemetry.NewRateLimitedHandler(plain.Handler()))
	client := upstream.New(nil)
	registry := metrics.NewRegistry()
	store := platform.NewStore(set.Store, registry, func(table, key string, err error) {
		log.Warn("row skipped", "table", table, "key", key, "error", err)
	})
	store.OnRestored(func(from, to uint64) { log.Warn("store came back older", "era", to, "before", from) })
	engines := platform.NewEngines(client)
	n, err := node.New(set, log, registry, client, node.Backends{
		Table: store, Source: store.Published(), Quarantine: store, Engines: engines, Orders: engines,
		Protocol: platform.Protocol(), ReadyPath: platform.ReadyPath,
	})
	if err != nil {
		return err
	}
	go reload(ctx, hup, file, n)
	return n.Run(ctx)
}

// reload reads the settings file again on each hangup signal until ctx ends. If
// the file cannot be read or is invalid, the current settings stay in force.
func reload(ctx context.Context, hup <-chan os.Signal, file string, n *node.Node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		set, err := settings.LoadEntry(file)
		n.Reload(set, err)
	}
}
