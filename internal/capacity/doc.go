// Package capacity computes the cost of each role of the system at a given size
// and formats it as a page. The costs are derived from slopes, the costs of
// single events, messages and rows, which the tests of this package measure on
// the real state machines and encodings.
package capacity
