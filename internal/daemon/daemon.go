package daemon

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
)

// flushTimeout bounds the export of the last spans.
const flushTimeout = 2 * time.Second

// Serve runs an entry daemon with the settings until the context ends. Logs
// go to w.
func Serve(ctx context.Context, set settings.Settings, w io.Writer) error {
	if err := leaseOptions(set).Validate(); err != nil {
		return errors.Annotate(err, "intervals.lease")
	}
	l, err := Listen(set.Listen.Callers, set.Listen.Peers, set.Listen.Operators)
	if err != nil {
		return errors.Trace(err)
	}
	set.Listen.Callers = l.Callers.Addr().String()
	set.Listen.Peers = l.Peers.Addr().String()
	set.Listen.Operators = l.Operators.Addr().String()
	log, err := telemetry.NewLogger(w, string(set.Log.Format), set.Log.Level, set.VM, set.DataCentre)
	if err != nil {
		return errors.Trace(err)
	}
	store, err := loadTLS(set.TLS, log)
	if err != nil {
		return errors.Trace(err)
	}
	tracer, flush, err := telemetry.NewTracer(ctx, telemetry.TraceOptions{
		OTLPEndpoint: set.Trace.OTLPEndpoint, File: set.Trace.File, VM: set.VM, DataCentre: set.DataCentre,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		if err := flush(ctx); err != nil {
			log.Warn("the last spans were not exported", "error", err)
		}
	}()
	log.Info("serving", "callers", set.Listen.Callers, "peers", set.Listen.Peers, "operators", set.Listen.Operators)
	n := New(Options{
		Settings: set, Logger: log, Registry: metrics.NewRegistry(), Tracer: tracer, TLS: store,
		Platform: platform.WithTracing(platform.NewClient(platform.ClientOptions{URLs: set.Platform.URLs, Timeout: set.Platform.Timeout}), tracer),
	})
	return n.Run(ctx, l)
}

// loadTLS reads the files of the settings; nil if none are set.
func loadTLS(set settings.TLS, log *slog.Logger) (*tlsconf.Store, error) {
	if !set.Enabled() {
		return nil, nil
	}
	return tlsconf.Load(tlsconf.Files{CA: set.CA, Cert: set.Cert, Key: set.Key}, log)
}
