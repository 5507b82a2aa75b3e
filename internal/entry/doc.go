// Package entry serves callers on an entry VM: it matches a request to its
// route and account, places it at an endpoint, and brings the endpoint's
// whole answer back, or an answer of its own that says truthfully whether the
// request may have run.
package entry
