// Package budget divides a limit on concurrent requests among several nodes.
//
// A Ledger, run by one coordinator at a time, grants parts of the limit. Each
// node keeps its parts in Shares and starts requests only within them. The sum
// of what the nodes hold for one incarnation of an endpoint never exceeds the
// limit of that incarnation, whatever messages are lost, delayed or repeated
// and whichever processes restart:
//
//   - A node's share grows only when the node accepts a Grant, and it accepts
//     grants in the order of their fences. Between grants the share can only
//     shrink.
//   - The ledger assumes for each node the maximum of its last report and of
//     every grant that it may still accept. It raises shares only within the
//     rest of the limit.
//   - A new ledger raises no share until each possible holder has reported
//     under its term or is known to be gone.
//   - Each grant contains the node's part of the cold limit, which applies right
//     after an endpoint has started. A node that learns of a new incarnation
//     drops to that part at once. By the same accounting,
//     these parts add up to no more than the cold limit.
//
// Grants do not expire, so nodes keep serving while there is no coordinator.
//
// The embedding program must drop usages, reports and answers that are more
// than 10 seconds old. It must also send a full Usage from time to time to
// make up for lost ones. Grants may arrive at any age. A request must name the
// incarnation of its Ticket, so that an endpoint that has restarted does not
// run it.
package budget
