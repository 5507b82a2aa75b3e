// Package lease decides which entry VM of a data centre is its coordinator.
//
// The platform's table contains one row per data centre. The holder renews its
// row with conditional writes. Its lease lasts for the lease's duration, counted
// from just before it sent the newest renewal that is known to be written. A
// candidate listed in the row takes over once it has seen the row unchanged for
// that duration on its own clock. Clocks are never compared; only their rates
// must agree within Options.DriftPPM.
//
// While the table cannot be reached, the holder extends its lease by
// collecting promises from every listed candidate not to take over for a
// bounded time.
//
// Machine is a deterministic state machine: Step receives the time and
// an event, and returns the effects that the embedding program must carry out.
package lease
