// Package soak runs entry VMs as processes of their own against stand-ins of
// the platform and injects faults from outside: links that are delayed, reset,
// silenced or cut one way, processes that are paused, killed, stopped and
// started again, a store that is away, silent or loses its answers, endpoints
// that start again, operators' changes in quick succession. Meanwhile it checks
// the promises, by what callers and endpoints see.
//
// The faults are drawn from a seed. CI runs the seeds of regressions and one
// more; by hand:
//
//	go test ./internal/soak -args -seeds 50 -first 1000 -for 20s
package soak
