package node

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// readyServer returns the server for readiness checks.
func (n *Node) readyServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(n.backends.ReadyPath, func(c echo.Context) error {
		if reason := n.notReadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
}

// notReadyReason returns why callers must not be sent to this node, or "" if it
// is ready.
func (n *Node) notReadyReason() string {
	select {
	case <-n.stopping:
		return "stopping"
	default:
	}
	view := n.state.View()
	if view == nil {
		return "no configuration has been read yet"
	}
	if boottime.Now().Sub(view.AsOf) > n.cfg.Bounds.KeysValid-keyValidityMargin {
		return "the configuration is too old"
	}
	if n.connections.Full() {
		return "no room for more connections"
	}
	listed := false
	n.state.Locked(func(k entry.LockedState) { listed = k.Listed })
	if !listed {
		return "the list of endpoints has not been read yet"
	}
	return ""
}

// required returns 1 if requests need a key, else 0.
func required(c *catalog.Catalog) int64 {
	if c.Keys() == catalog.KeysRequired {
		return 1
	}
	return 0
}

// serveMetrics serves the metrics as text until the context ends.
func (n *Node) serveMetrics(ctx context.Context) error {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		n.state.Locked(func(st entry.LockedState) {
			telemetry.Gauge(n.registry, "quarantined_parts_number").Update(int64(len(st.Quarantine.Parts())))
			telemetry.Gauge(n.registry, "listed_vms_number").Update(int64(st.VMs.Listed()))
		})
		if view := n.state.View(); view != nil {
			telemetry.Gauge(n.registry, "configuration_number").Update(view.Catalog.Version)
			telemetry.Gauge(n.registry, "valid_keys_number").Update(int64(view.Catalog.KeyCount()))
			telemetry.Gauge(n.registry, "keys_required_number").Update(required(view.Catalog))
			telemetry.Gauge(n.registry, "configuration_age_seconds").Update(int64(boottime.Now().Sub(view.AsOf).Seconds()))
		}
		telemetry.Gauge(n.registry, "request_memory_bytes").Update(n.memory.Requests.Used())
		telemetry.WriteMetrics(c.Response(), n.registry)
		return nil
	})
	server := &http.Server{Addr: n.cfg.Listen.Metrics, Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Warn("metrics are not served", "error", err, "retry", "at the next start")
	}
	return nil
}
