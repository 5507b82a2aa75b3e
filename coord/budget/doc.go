// Package budget divides a limit of concurrent requests over several nodes.
//
// A Ledger, run by one coordinator at a time, grants parts of the limit; each
// node keeps its parts in Shares and takes work only within them. The sum of
// what the nodes hold for one incarnation of an endpoint never exceeds what
// that incarnation bears, whatever messages are lost, delayed or repeated and
// whichever processes restart:
//
//   - What a node holds grows only by accepting a Grant, and it accepts grants
//     in the order of their fences. Between grants it can only fall.
//   - The ledger counts a node with the largest of what it last reported and
//     of every grant that it may still accept. It grants growth only within
//     what is left of the limit.
//   - A new ledger grants no growth until each possible holder has reported
//     under its term or is known to be gone.
//   - Each grant carries the node's part of the cold limit. A node that learns
//     of a new incarnation falls to that part at once; these parts add up to
//     no more than the cold limit by the same accounting.
//
// Grants do not expire, so nodes keep serving while the coordinator is away.
//
// The embedding program has to drop usages, reports and answers that are more
// than 10 seconds old, and to send a full Usage from time to time, which
// repairs what lost ones would have told. Grants may arrive at any age. A
// request has to name the incarnation of its Ticket, so that an endpoint that
// has restarted does not run it.
package budget
