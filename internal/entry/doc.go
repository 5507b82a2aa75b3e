// Package entry serves callers on an entry VM. It matches each request to a
// route and a client account, places it at an endpoint and returns the
// endpoint's complete response, or an error response that states correctly
// whether the request may have run.
package entry
