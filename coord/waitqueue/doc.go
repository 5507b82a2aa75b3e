// Package waitqueue orders the requests of one node that wait for a slot of the
// same model: more urgent ones go first, then those of the client account with less
// work served recently, then the one with the least time left. One request of a rank that has got nothing for long goes before them.
//
// It has no clock, no I/O and no goroutines; the caller serialises the calls.
package waitqueue
