// Package telemetry sets up logs, metrics and traces of the daemon.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/juju/errors"
)

// Log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// NewLogger returns a logger that adds the node's VM and data centre to each
// line. The level is one of the names of package slog, such as "info"; others are
// an error.
func NewLogger(w io.Writer, format, level, vm, dataCentre string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.NotValidf("log level %q (use debug, info, warn or error)", level)
	}
	opts := &slog.HandlerOptions{Level: l}
	var h slog.Handler = slog.NewTextHandler(w, opts)
	if format == FormatJSON {
		h = slog.NewJSONHandler(w, opts)
	}
	return slog.New(h).With("vm", vm, "data_centre", dataCentre), nil
}
