package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RetryAfter returns for how long an endpoint that turns a request away asks for
// no more, 0 if it doesn't.
func (r *Response) RetryAfter(now time.Time) time.Duration {
	if r.Status != http.StatusServiceUnavailable {
		return 0
	}
	return retryAfter(r.Header, now)
}

// retryAfter returns for how long an endpoint asks for no requests: the field
// Retry-After in seconds, whole or broken, or as a date (RFC 9110, 10.2.3). It
// is 0 if the field is missing, can't be read or names a time that is over.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return durationOf(seconds)
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return max(0, at.Sub(now))
}

// durationOf returns seconds as a duration, 0 if that makes no sense and the
// longest one if they are too many.
func durationOf(seconds float64) time.Duration {
	switch {
	case math.IsNaN(seconds) || seconds <= 0:
		return 0
	case seconds >= time.Duration(math.MaxInt64).Seconds():
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}
