package node

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// readyServer answers whether callers may be sent here.
func (n *Node) readyServer() *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(n.backends.ReadyPath, func(c echo.Context) error {
		if reason := n.unready(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	return &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
}

// unready says why callers should go elsewhere, or "".
func (n *Node) unready() string {
	select {
	case <-n.stopping:
		return "stopping"
	default:
	}
	view := n.state.View()
	if view == nil {
		return "no configuration is known yet"
	}
	if boottime.Now().Sub(view.AsOf) > n.set.Bounds.KeysValid-keysMargin {
		return "the configuration is too old"
	}
	listed := false
	n.state.Locked(func(k entry.LockedState) { listed = k.Listed })
	if !listed {
		return "no endpoints are known yet"
	}
	return ""
}

// serveMetrics serves the metrics as text until the context ends.
func (n *Node) serveMetrics(ctx context.Context) error {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/metrics", func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
		if view := n.state.View(); view != nil {
			telemetry.Gauge(n.registry, "configuration_number").Update(view.Catalog.Version)
			telemetry.Gauge(n.registry, "configuration_age_seconds").Update(int64(boottime.Now().Sub(view.AsOf).Seconds()))
		}
		telemetry.WriteMetrics(c.Response(), n.registry)
		return nil
	})
	server := &http.Server{Addr: n.set.Listen.Metrics, Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.ListenAndServe()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Warn("metrics are not served", "error", err, "retry", "at the next start")
	}
	return nil
}
