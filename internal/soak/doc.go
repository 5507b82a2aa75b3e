// Package soak runs entry VMs as separate processes against stand-ins of the
// platform and injects faults from outside: links that are delayed, reset,
// silent or cut in one direction; processes that are paused, killed, stopped and
// restarted; a store that is unavailable, silent or loses its answers; endpoints
// that restart; and rapid changes by operators. It then checks the system's
// guarantees against what callers and endpoints observed.
//
// The faults are drawn from a seed. CI runs the regression seeds and one more.
// To run other seeds:
//
//	go test ./internal/soak -args -seeds 50 -first 1000 -for 20s
package soak
