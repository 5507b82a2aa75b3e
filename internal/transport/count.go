package transport

import (
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// CountPlatformCalls wraps base and counts its calls in platform_calls_total, by
// the status of the response, or "failed" if there is none.
func CountPlatformCalls(base http.RoundTripper, r metrics.Registry) http.RoundTripper {
	return countingTransport{base, r}
}

type countingTransport struct {
	base     http.RoundTripper
	registry metrics.Registry
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	outcome := "failed"
	if err == nil {
		outcome = strconv.Itoa(resp.StatusCode)
	}
	telemetry.Counter(t.registry, "platform_calls_total", "outcome", outcome).Inc(1)
	return resp, err
}
