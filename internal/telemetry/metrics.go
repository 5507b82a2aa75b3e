package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "pimentoshore_"

// Name returns a registry name in the Prometheus text format. Labels are given as
// pairs of name and value; the values must not contain quotes or newlines.
func Name(metric string, labels ...string) string {
	if len(labels) == 0 {
		return metricPrefix + metric
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return metricPrefix + metric + "{" + strings.Join(pairs, ",") + "}"
}

// Counter returns the registry's counter of that name, registering it if needed.
func Counter(r metrics.Registry, metric string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(Name(metric, labels...), r)
}

// Gauge returns the registry's gauge of that name, registering it if needed.
func Gauge(r metrics.Registry, metric string, labels ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(Name(metric, labels...), r)
}

// Timer returns the registry's timer of that name, registering it if needed.
func Timer(r metrics.Registry, metric string, labels ...string) metrics.Timer {
	return metrics.GetOrRegisterTimer(Name(metric, labels...), r)
}

// quantiles are the quantiles that WriteMetrics prints for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes the metrics of the registry in the Prometheus text format,
// sorted by name. Timers are given in seconds.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	var lines []string
	r.Each(func(name string, m any) {
		lines = append(lines, metricLines(name, m)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

func metricLines(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		return timerLines(name, m.Snapshot())
	}
	return nil
}

func timerLines(name string, t metrics.Timer) []string {
	lines := []string{fmt.Sprintf("%s %d", withSuffix(name, "_count"), t.Count())}
	for i, v := range t.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))
		lines = append(lines, fmt.Sprintf("%s %g", withLabel(name, quantile), v/1e9))
	}
	return lines
}

func withSuffix(name, suffix string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + suffix
	}
	return base + suffix + "{" + labels
}

func withLabel(name, label string) string {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return base + "{" + label + "}"
	}
	return base + "{" + label + "," + labels
}
