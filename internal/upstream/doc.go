// Package upstream sends requests to endpoints over kept connections. It
// knows what net/http's own client doesn't tell: whether a request certainly
// never left this process, and whether an answer is whole.
package upstream
