// Package soak runs entry VMs as separate processes against stand-ins of the
// platform and injects faults from outside: links that are delayed, reset,
// silent or cut in one direction; processes that are paused, killed, stopped and
// restarted; a store that is unavailable, silent or loses its answers; endpoints
// that restart; and rapid changes by operators. It then checks the system's
// guarantees against what callers and endpoints observed.
//
// TestSoakSilence makes sound endpoints silent for a while, and TestSoakRestore
// brings the store back from a copy some seconds old. Both run beside changes of the
// configuration and, for half of the seeds, beside other faults, and check more: that
// answers are whole, that configurations are in force in time and never go back, and
// how often the nodes call the store.
//
// The faults are drawn from a seed. CI runs the regression seeds and one more.
// To run other seeds:
//
//	go test ./internal/soak -args -seeds 50 -first 1000 -for 20s
package soak
