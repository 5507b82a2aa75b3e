package transport

import (
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// CountPlatformCalls counts the calls that pass through base in the registry,
// by the answer's status, or "failed" where there is none.
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
