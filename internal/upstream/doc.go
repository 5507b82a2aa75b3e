// Package upstream is an HTTP/1.1 client for endpoints with connection reuse.
// Unlike the client of net/http it reports whether a request certainly never
// left this process, and whether a response is complete.
package upstream
