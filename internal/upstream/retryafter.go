package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns how long the endpoint asks clients to wait, according to the
// Retry-After header of a 503 response. It is 0 for other responses or without
// such a header.
func (r *Response) RetryAfter(now time.Time) time.Duration {
	if r.Status != http.StatusServiceUnavailable {
		return 0
	}
	return retryAfter(r.Header, now)
}

// retryAfter parses the Retry-After header: a number of seconds, possibly with a
// fraction, or a date (RFC 9110, 10.2.3). It returns 0 if the header is missing,
// is malformed or names a time in the past.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return secondsToDuration(seconds)
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return max(0, at.Sub(now))
}

// secondsToDuration converts seconds to a duration. It returns 0 for NaN and
// negative values and the longest duration for values out of range.
func secondsToDuration(seconds float64) time.Duration {
	switch {
	case math.IsNaN(seconds) || seconds <= 0:
		return 0
	case seconds >= time.Duration(math.MaxInt64).Seconds():
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}
