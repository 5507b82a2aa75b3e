// Package httpstatus says what HTTP statuses tell callers about their requests.
package httpstatus

import "net/http"

// PromisesNotRun reports whether a status tells the caller that its request has not
// run and never will, so that even one that must not run twice may be sent again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
