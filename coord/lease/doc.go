// Package lease decides which entry VM of a data centre is its coordinator.
//
// The platform's table holds one row per data centre. A holder renews its row
// with conditional writes and may act until the lease's duration has passed
// since before it sent the newest renewal that is known to be written. A
// candidate that is listed in the row takes over once it has seen the row
// unchanged for that duration on its own clock. Clocks are never compared;
// only their rates must agree within Options.DriftPPM.
//
// While the table cannot be reached, a holder extends its lease by promises
// of every listed candidate not to take over for a bounded time.
//
// Machine is a deterministic state machine: time and observations come in
// through Step, and the answers are effects for the embedding program.
package lease
